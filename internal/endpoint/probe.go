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

// HasTerminated reports whether nothing listens any longer at the address of a URL. If
// it refuses connections, one of the others must accept one, unless there are none:
// otherwise it may be this daemon's path to all endpoints that refuses.
func HasTerminated(ctx context.Context, rawURL string, others []string) bool {
	if !IsConnectionRefused(probe(ctx, rawURL)) {
		return false
	}
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(others))
	for _, other := range others {
		go func() { results <- probe(ctx, other) }()
	}
	for range others {
		if <-results == nil {
			return true
		}
	}
	return false
}

// probe opens a connection to the address of a URL and closes it.
func probe(ctx context.Context, rawURL string) error {
	u, err := url.Parse(rawURL)
	if err != nil {
		return errors.Wrap(err, "parse URL of endpoint")
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return err
	}
	return c.Close()
}
