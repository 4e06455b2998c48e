//go:build !linux

package endpoint

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

var errNoTCPInfo = errors.New("acknowledgements are not known on this system")

func acknowledgement(syscall.RawConn) (awaited bool, since time.Duration, err error) {
	return false, 0, errNoTCPInfo
}

func isClosed(syscall.RawConn) bool { return false }
