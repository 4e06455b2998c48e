//go:build !linux

package endpoint

import (
	"syscall"
	"time"
)

// SetUserTimeout does nothing where the system has no such option; keepalives
// and progress deadlines remain.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }
