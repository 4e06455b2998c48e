package http1

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against treating an endpoint that can't be reached as terminated, and
// a terminated endpoint as reachable.
func TestEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := newTestPool()
	address := l.Addr().String()
	if p.HasTerminated(context.Background(), address) {
		t.Error("an endpoint that listens is reported as terminated")
	}
	if len(p.idle[address]) != 1 {
		t.Error("the connection was not kept")
	}
	if !p.Alive(address) || len(p.idle[address]) != 1 {
		t.Error("an endpoint with an idle connection is not reported as alive, or the connection was not kept")
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	_ = l.Close()
	for p.Alive(address) {
		time.Sleep(time.Millisecond)
	}
	if !p.HasTerminated(context.Background(), address) {
		t.Error("an endpoint that refuses connections is not reported as terminated")
	}
	p.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Nanosecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if p.HasTerminated(context.Background(), address) {
		t.Error("an endpoint that can't be reached is reported as terminated")
	}
}
