package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is the clock of the machine, CLOCK_BOOTTIME.
type System struct{}

// Now returns the time since the machine's start.
func (System) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39. Without it, a daemon can't
		// determine the age of its facts.
		panic("boottime: " + err.Error())
	}
	return time.Duration(t.Nano())
}
