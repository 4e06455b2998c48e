package standin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/tunnel"
)

// isEchoed reports whether a connection returns what it is sent, as it should or not.
func isEchoed(c net.Conn, want bool) bool {
	within := brief
	if want {
		within = long
	}
	return echoes(c, within) == nil
}

func TestProxyBreaksItsPath(t *testing.T) {
	relay, _ := echoRelay(t)
	for _, tt := range []struct {
		state                        PathState
		opens, refuses, keepsOpenOne bool
	}{
		{PathWorks, true, false, true},
		{PathHangs, false, false, false},
		{PathResets, false, false, false},
		{PathRefuses, false, true, true},
		{PathSwallows, true, false, false},
	} {
		t.Run(string(tt.state), func(t *testing.T) {
			p, err := NewProxy("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			dial := func(within time.Duration) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(t.Context(), within)
				defer cancel()
				return tunnel.DialProxy(ctx, http1.Dial, p.Address(), relay.Address())
			}
			before, err := dial(long)
			if err != nil || !isEchoed(before, true) {
				t.Fatal("no connection:", err)
			}
			defer func() { _ = before.Close() }()
			p.SetState(tt.state)
			within := long
			if tt.state == PathHangs {
				within = brief
			}
			c, err := dial(within)
			if err == nil {
				defer func() { _ = c.Close() }()
			}
			if opens := err == nil; opens != tt.opens || endpoint.IsConnectionRefused(err) != tt.refuses {
				t.Errorf("a new connection: %v", err)
			}
			if err == nil && isEchoed(c, tt.keepsOpenOne) != tt.keepsOpenOne {
				t.Error("a new connection passes on what it should not, or not what it should")
			}
			if isEchoed(before, tt.keepsOpenOne) != tt.keepsOpenOne {
				t.Errorf("the open connection works: %v, want %v", !tt.keepsOpenOne, tt.keepsOpenOne)
			}
			p.SetState(PathWorks)
			after, err := dial(long)
			if err != nil || !isEchoed(after, true) {
				t.Error("no connection after the path works again:", err)
				return
			}
			_ = after.Close()
		})
	}
}
