package endpoint

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// endedTimeout bounds the question whether an endpoint has ended.
const endedTimeout = 300 * time.Millisecond

// Refused tells whether an error says that nobody listens at an address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Ended tells whether nobody listens any longer at the address of a URL.
func Ended(ctx context.Context, rawURL string) bool {
	u, err := url.Parse(rawURL)
	if err != nil {
		return false
	}
	dialer := net.Dialer{Timeout: endedTimeout}
	c, err := dialer.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return Refused(err)
	}
	_ = c.Close()
	return false
}
