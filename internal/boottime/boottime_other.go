//go:build !linux

package boottime

import "time"

// System is the machine's clock. Other systems than Linux have no name for one
// that counts suspension; daemons run on Linux, and this serves development.
type System struct{}

var start = time.Now()

// Now returns the time since the program's start.
func (System) Now() time.Duration { return time.Since(start) }
