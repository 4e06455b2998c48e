package endpoint

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// probeTimeout limits the connection attempt with which HasTerminated probes an
// address.
const probeTimeout = 300 * time.Millisecond

// IsConnectionRefused reports whether err means that nothing listens at an
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// HasTerminated reports whether nothing listens any longer at the address of a
// URL.
func HasTerminated(ctx context.Context, rawURL string) bool {
	u, err := url.Parse(rawURL)
	if err != nil {
		return false
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return IsConnectionRefused(err)
	}
	_ = c.Close()
	return false
}
