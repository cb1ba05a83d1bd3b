// Package clock reads a clock that cannot be set and that keeps running while the VM is
// suspended. Ages for which a guarantee is given are measured with it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Its values may be compared only with values of the
// same clock, not with the wall clock.
type Clock func() time.Time

// Boot is the Clock that counts the time since the VM booted, suspension included
// (CLOCK_BOOTTIME).
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Unix(now.Unix())
}
