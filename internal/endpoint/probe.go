package endpoint

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// probeTimeout limits the connection attempt with which Ended probes an
// address.
const probeTimeout = 300 * time.Millisecond

// Refused reports whether err means that nothing listens at an address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Ended reports whether nothing listens any longer at the address of a URL.
func Ended(ctx context.Context, rawURL string) bool {
	u, err := url.Parse(rawURL)
	if err != nil {
		return false
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return Refused(err)
	}
	_ = c.Close()
	return false
}
