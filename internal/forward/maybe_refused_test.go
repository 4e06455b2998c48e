package forward

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/http1"
)

// Guards against a response without a length that looks complete, or counts against its
// endpoint, although it is not known whether the endpoint or the path has ended.
func TestUnframedResponseBeforeUnconfirmedRefusalIsBrokenOff(t *testing.T) {
	for name, refused := range map[string]bool{"refused": true, "listens": false} {
		t.Run(name, func(t *testing.T) {
			s := &site{}
			s.listen(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\nConnection: close\r\n\r\ngood")
			f := newTestForwarder(s)
			dials := 0
			f.Pool = http1.NewPool(clockwork.NewRealClock(), func(ctx context.Context, address string) (net.Conn, error) {
				if dials++; dials > 1 && refused {
					return nil, errors.Wrap(http1.ErrMaybeRefused, address)
				}
				return http1.Dial(ctx, address)
			})
			err := f.Do(context.Background(), trialRequest(), Sink{
				Head: func(int, http.Header, int64) {},
				Body: func([]byte) error { return nil },
			})
			if (err != nil) != refused {
				t.Errorf("got %v", err)
			}
			if f.Quarantine.HasTerminated(endpointName(0)) {
				t.Error("the endpoint counts as terminated")
			}
		})
	}
}
