package tunnel

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/membership"
)

// echo is an endpoint that sends back what it receives until it is told to end:
// "end" closes the connection in order, "reset" resets it.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveEcho(c)
		}
	}()
	return l.Addr().String()
}

func serveEcho(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, line)
		switch line {
		case "end\n":
			return
		case "reset\n":
			reset(c)
			return
		}
	}
}

// way opens a connection in a given manner.
func way(manner string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		switch manner {
		case "hangs":
			<-ctx.Done()
			return nil, ctx.Err()
		case "refuses", "refusesAll":
			return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
		}
		return http1.Dial(ctx, address)
	}
}

// newHost starts a daemon that serves tunnels in a given manner.
func newHost(t *testing.T, id int, manner string, asked *atomic.Int64) (membership.Host, *Server) {
	t.Helper()
	s := &Server{
		Dial:       way(manner),
		IsEndpoint: func(string) bool { return manner != "unknown" },
		HasPath:    func() bool { return manner != "noPath" },

		ReachesOther: func(context.Context, string) bool { return manner != "refusesAll" },
		OnHead:       func(string, []byte) {},
		Count:        func(string) {},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		s.Wrap(http.NotFoundHandler()).ServeHTTP(w, r)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	if manner == "down" {
		server.Close()
	}
	h := membership.Host{ID: membership.HostID(fmt.Sprint("host-", id)), Zone: "z", PeerAddress: server.Listener.Addr().String()}
	return h, s
}

func newDialer(direct string, hosts ...membership.Host) *Dialer {
	return &Dialer{
		Clock:    clockwork.NewRealClock(),
		Direct:   way(direct),
		Through:  Through(http1.Dial),
		Hosts:    func() []membership.Host { return hosts },
		Zone:     "z",
		OnLost:   func(string, string) {},
		OnCutOff: func(bool) {},
		Count:    func(string) {},

		Alone:        func() bool { return len(hosts) == 0 },
		ReachesOther: func(context.Context, string) bool { return false },
	}
}

// Guards against a daemon that takes the loss of its own path for the end of an
// endpoint, or the end of an endpoint for the loss of its path.
func TestDial(t *testing.T) {
	data, err := os.ReadFile("testdata/dial.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		Name, Direct, Want string
		ReachesOther       bool
		Hosts              []string
		NoneReady          bool
		Asked              *int
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, tt := range scripts {
		t.Run(tt.Name, func(t *testing.T) {
			address := echo(t)
			var asked atomic.Int64
			var hosts []membership.Host
			for i, manner := range tt.Hosts {
				h, _ := newHost(t, i, manner, &asked)
				hosts = append(hosts, h)
			}
			d := newDialer(tt.Direct, hosts...)
			d.ReachesOther = func(context.Context, string) bool { return tt.ReachesOther }
			d.Alone = func() bool { return len(hosts) == 0 && !tt.NoneReady }
			c, err := d.Dial(t.Context(), address)
			if got := describe(c, err); got != tt.Want {
				t.Errorf("got %s (%v), want %s", got, err, tt.Want)
			}
			if got := int(asked.Load()); tt.Asked != nil && got != *tt.Asked {
				t.Errorf("%d daemons asked, want %d", got, *tt.Asked)
			}
		})
	}
}

// Guards against a daemon that was paused and takes a sound endpoint for one that does not
// answer, since its timers have expired.
func TestPausedDaemonDialsAgain(t *testing.T) {
	for _, paused := range []bool{false, true} {
		address := echo(t)
		clock := clockwork.NewFakeClock()
		dials := 0
		d := newDialer("works")
		d.Clock = clock
		d.Direct = func(ctx context.Context, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				return http1.Dial(ctx, address)
			}
			if paused {
				clock.Advance(2 * time.Second)
			}
			return nil, os.ErrDeadlineExceeded
		}
		c, err := d.Dial(t.Context(), address)
		if (err == nil) != paused {
			t.Errorf("paused: %v; %d dials, error %v", paused, dials, err)
		}
		if c != nil {
			_ = c.Close()
		}
	}
}

func describe(c net.Conn, err error) string {
	switch _, tunneled := c.(*Conn); {
	case tunneled:
		return "via"
	case err == nil:
		return "direct"
	case errors.Is(err, http1.ErrUnconfirmed):
		return "unconfirmed"
	case endpoint.IsConnectionRefused(err):
		return "refused"
	}
	return "failed"
}

func openTunnel(t *testing.T) (*Conn, *Server) {
	t.Helper()
	var asked atomic.Int64
	h, s := newHost(t, 0, "works", &asked)
	c, err := newDialer("refuses", h).Dial(t.Context(), echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*Conn), s
}

// Guards against a response without a length that looks complete although its
// connection, or the daemon that carries it, has failed.
func TestOnlyAnOrderlyEndIsEOF(t *testing.T) {
	long := strings.Repeat("x", 3*maxFrame) + "\n"
	for last, want := range map[string]error{"end\n": nil, "reset\n": io.ErrUnexpectedEOF} {
		c, _ := openTunnel(t)
		for _, line := range []string{"one\n", long, last} {
			if _, err := io.WriteString(c, line); err != nil {
				t.Fatal(err)
			}
		}
		got, err := io.ReadAll(c)
		switch {
		case want == nil && (err != nil || string(got) != "one\n"+long+last):
			t.Errorf("orderly end: %d bytes, %v", len(got), err)
		case want != nil && err == nil:
			t.Errorf("reset: the end looks orderly")
		}
	}
	// The daemon that carries the connection ends without a word.
	near, far := net.Pipe()
	go func() {
		_ = writeFrame(far, append(make([]byte, frameHeaderSize), "half"...))
		_ = far.Close()
	}()
	if got, err := io.ReadAll(&Conn{Conn: near}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("end of the carrier: %q, %v", got, err)
	}
}

// Guards against tunnels that stay open after their daemon has closed them, so
// that engines go on working and planned stops wait.
func TestTunnelEndsWithItsUser(t *testing.T) {
	c, s := openTunnel(t)
	if s.Open() != 1 {
		t.Fatalf("%d tunnels open, want 1", s.Open())
	}
	_ = c.Close()
	for end := time.Now().Add(30 * time.Second); s.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the tunnel stays open")
		}
	}
}

// Guards against a daemon that carries a response for another one and misses what
// the endpoint announces in it.
func TestHeadsOfCarriedResponsesAreSeen(t *testing.T) {
	c, s := openTunnel(t)
	heads := make(chan string, 4)
	s.OnHead = func(_ string, head []byte) { heads <- string(head) } // no request has been sent yet
	r := bufio.NewReader(c)
	for _, line := range []string{"one\n", "two\n"} {
		if _, err := io.WriteString(c, line); err != nil {
			t.Fatal(err)
		}
		if got, err := r.ReadString('\n'); got != line {
			t.Fatalf("got %q, %v", got, err)
		}
		if got := <-heads; got != line {
			t.Errorf("head %q, want %q", got, line)
		}
	}
}

// Guards against one lost address that makes a daemon count as cut off because it
// was cut off, or had lost another address, long before.
func TestLossesExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDialer("refuses")
	d.Clock = clock
	begun := 0
	d.OnCutOff = func(cutOff bool) {
		if cutOff {
			begun++
		}
	}
	via := &membership.Host{ID: "host-1"}
	lose := func(address string, want bool) {
		t.Helper()
		d.recordLost(address, via)
		if d.IsCutOff() != want {
			t.Errorf("after the loss of %s: cut off %v", address, !want)
		}
	}
	lose("a", false)
	clock.Advance(lossLifetime)
	lose("b", false)
	lose("c", true)
	clock.Advance(lossLifetime)
	lose("d", false)
	lose("e", true)
	if begun != 2 {
		t.Errorf("cut off %d times, want 2", begun)
	}
}

// Guards against a daemon that keeps asking others after its path has returned.
func TestDirectPathIsUsedAgain(t *testing.T) {
	var asked atomic.Int64
	h, _ := newHost(t, 0, "works", &asked)
	d := newDialer("refuses", h)
	var cutOff []bool
	d.OnCutOff = func(b bool) { cutOff = append(cutOff, b) }
	first, second := echo(t), echo(t)
	for _, address := range []string{first, first, second} {
		c, err := d.Dial(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	if !d.IsCutOff() || !d.IsLost(first) || !d.IsLost(second) {
		t.Error("two lost addresses do not make a daemon cut off")
	}
	// The way through the other daemon may win a race now and then.
	d.Direct = way("works")
	d.Hosts = func() []membership.Host { return nil }
	d.hosts = hostHistory{}
	c, err := d.Dial(t.Context(), first)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	if d.IsCutOff() || d.IsLost(first) || len(cutOff) != 2 || cutOff[1] {
		t.Errorf("cut off after a direct connection: %v, changes %v", d.IsCutOff(), cutOff)
	}
}
