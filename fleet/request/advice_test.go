package request

import (
	"testing"
	"time"
)

// A pause that cannot be read, or of hours, must neither be ignored nor take an upstream
// out for good.
func TestAnAbsurdPauseIsBounded(t *testing.T) {
	for text, want := range map[string]struct {
		pause    time.Duration
		ordinary bool
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
		pause, ordinary := ParsePause(text)
		if pause != want.pause || ordinary != want.ordinary {
			t.Errorf("%q: %v, %v", text, pause, ordinary)
		}
	}
}
