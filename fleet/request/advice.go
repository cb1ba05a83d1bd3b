package request

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// DefaultPause is used for a Retry-After value that cannot be parsed.
	DefaultPause = time.Second
	// MaxPause bounds a pause, so that a wrong value does not take an upstream out of
	// service indefinitely.
	MaxPause = time.Minute
)

// Advice is what an upstream's answer says about the upstream's own availability.
type Advice struct {
	// Leaving is set if the upstream is about to shut down and wants no further
	// requests (drain advice).
	Leaving bool
	// Pause is how long the upstream wants no requests from this process; 0 is no
	// pause.
	Pause time.Duration
	// Limit is the request rate that the upstream takes from the whole fleet.
	Limit RateLimit
	// Invalid is a header value that was invalid and had to be replaced; empty if there
	// is none.
	Invalid string
}

// IsZero reports whether the answer says nothing of the upstream's availability.
func (a Advice) IsZero() bool { return a == Advice{} }

// ParsePause parses the value of a Retry-After header: seconds, possibly with a
// fraction. It returns DefaultPause if the value is anything else and MaxPause if it is
// longer than that; valid is false in both cases.
func ParsePause(text string) (pause time.Duration, valid bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil, math.IsNaN(seconds), seconds < 0:
		return DefaultPause, false
	case seconds > MaxPause.Seconds():
		return MaxPause, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// PauseAdvice returns the advice of the values of the Retry-After header. A header that
// occurs twice is ambiguous and gives DefaultPause.
func PauseAdvice(values []string) Advice {
	switch len(values) {
	case 0:
		return Advice{}
	case 1:
	default:
		return Advice{Pause: DefaultPause, Invalid: "Retry-After comes twice"}
	}
	pause, valid := ParsePause(values[0])
	if valid {
		return Advice{Pause: pause}
	}
	return Advice{Pause: pause, Invalid: "Retry-After: " + values[0]}
}
