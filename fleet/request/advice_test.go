package request

import (
	"testing"
	"time"
)

// Guards against a Retry-After value that cannot be parsed being ignored, and against
// one of hours taking an upstream out of service indefinitely.
func TestInvalidOrExcessivePauseIsReplaced(t *testing.T) {
	for text, want := range map[string]struct {
		pause time.Duration
		valid bool
	}{
		"0.35":                          {350 * time.Millisecond, true},
		" 2 ":                           {2 * time.Second, true},
		"0":                             {0, true},
		"-3":                            {DefaultPause, false},
		"NaN":                           {DefaultPause, false},
		"soon":                          {DefaultPause, false},
		"Fri, 04 Dec 2026 12:00:00 GMT": {DefaultPause, false},
		"7200":                          {MaxPause, false},
		"1e300":                         {MaxPause, false},
		"Inf":                           {MaxPause, false},
	} {
		pause, valid := ParsePause(text)
		if pause != want.pause || valid != want.valid {
			t.Errorf("ParsePause(%q) = %v, %v", text, pause, valid)
		}
	}
}
