package request

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// DefaultPause is taken for a pause whose length cannot be read.
	DefaultPause = time.Second
	// MaxPause bounds a pause, so that a wrong value does not take an upstream out
	// for good.
	MaxPause = time.Minute
)

// Advice is what an upstream says of itself in an answer.
type Advice struct {
	// Leaving is set if the upstream is about to end and wants no further request.
	Leaving bool
	// Pause is how long the upstream wants nothing from this process; 0 is no pause.
	Pause time.Duration
	// Odd is a value that could not be taken as it stands; empty if there is none.
	Odd string
}

// None reports whether the advice says nothing.
func (a Advice) None() bool { return a == Advice{} }

// ParsePause reads the value of Retry-After: seconds, which may have a fraction. Of any
// other value the pause is DefaultPause, and none is longer than MaxPause; ordinary is
// false for both.
func ParsePause(text string) (pause time.Duration, ordinary bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil, math.IsNaN(seconds), seconds < 0:
		return DefaultPause, false
	case seconds > MaxPause.Seconds():
		return MaxPause, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// PauseAdvice is the advice of a Retry-After header. A header that comes twice says
// nothing certain.
func PauseAdvice(values []string) Advice {
	switch len(values) {
	case 0:
		return Advice{}
	case 1:
	default:
		return Advice{Pause: DefaultPause, Odd: "Retry-After comes twice"}
	}
	pause, ordinary := ParsePause(values[0])
	if ordinary {
		return Advice{Pause: pause}
	}
	return Advice{Pause: pause, Odd: "Retry-After: " + values[0]}
}
