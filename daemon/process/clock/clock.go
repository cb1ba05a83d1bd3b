// Package clock reads time that also runs while the VM is suspended and that
// nobody sets. Ages that a promise depends on are taken from it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells time. Its times can be compared with each other only.
type Clock func() time.Time

// Boot is the Clock that counts from the VM's start, suspension included.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The kernel of every supported VM has this clock.
		panic(err)
	}
	return time.Unix(now.Unix())
}
