//go:build !linux

package endpoint

import (
	"syscall"
	"time"
)

// SetUserTimeout does nothing on systems without this option. TCP keep-alives
// and progress deadlines still apply.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }
