//go:build !linux

package boottime

import "time"

// System is the monotonic clock of the program. Systems other than Linux have no
// common clock that includes suspension. Daemons run on Linux; this one is for
// development only.
type System struct{}

var start = time.Now()

// Now returns the time since the program's start.
func (System) Now() time.Duration { return time.Since(start) }
