package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is the machine's clock.
type System struct{}

// Now returns the time since the machine's start.
func (System) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has the clock since 2.6.39; a daemon without it could not
		// tell how old its facts are.
		panic("boottime: " + err.Error())
	}
	return time.Duration(t.Nano())
}
