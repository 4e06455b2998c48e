package forward

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// script is a test case of testdata/attempts.json: what the endpoints do, in the
// order in which they are tried, and what the caller and the endpoints receive.
type script struct {
	Name      string
	Kind      string
	Resumable bool
	Attempts  int
	// Endpoints holds the response of each endpoint. "" resets the connection,
	// "ends" closes the listener and resets the connection, and "nobody" means
	// that nothing listens at the address.
	Endpoints []string
	// Versions holds the software version of each endpoint; nil means that all have
	// the same one.
	Versions []string
	// Budget is the number of retries that the retry budget allows.
	Budget int
	// Want is the body that the caller receives, after the status text if the
	// status is not 200. For a refusal, it is "notRun" or "unknown"; for a
	// truncated response, "broken " and the body received so far.
	Want string
	// Sent is the number of endpoints that received the request.
	Sent int
	// Objective is the target time to the response in nanoseconds. LateLine
	// reports whether a log line about a late response is expected.
	Objective time.Duration
	LateLine  bool
	// Left is the number of endpoints, from the first, that stop accepting work
	// while the connection is opened. KeyEnds reports whether the caller's key
	// is revoked in that time.
	Left    int
	KeyEnds bool
}

// usable returns the function Forwarder.Usable of the test case. It returns false
// for the endpoints counted by Left from its second call for an endpoint on.
func (tt *script) usable() func(*table.Endpoint) bool {
	asked := map[table.EndpointName]int{}
	return func(e *table.Endpoint) bool {
		asked[e.Name]++
		return asked[e.Name] < 2 || int(e.Name[0]-'a') >= tt.Left
	}
}

// maySend returns the function Request.MaySend of the test case. If KeyEnds is
// set, it refuses from its second call on.
func (tt *script) maySend() func() *outcome.Refusal {
	asked := 0
	return func() *outcome.Refusal {
		asked++
		if tt.KeyEnds && asked > 1 {
			return outcome.NotRunError(outcome.ReasonStaleTable, "the key may be gone")
		}
		return nil
	}
}

// fixedBudget allows a fixed number of retries.
type fixedBudget struct{ left int }

func (*fixedBudget) Add() {}

func (b *fixedBudget) Take() bool {
	b.left--
	return b.left >= 0
}

func (b *fixedBudget) Return() { b.left++ }

// site is a set of scripted endpoints, whose slots are granted in order.
type site struct {
	mu   sync.Mutex
	next int
	sent int
	urls []string
	// versions is as in script.
	versions []string
	// closeLink closes the link to the coordinator. It is nil before the link is opened
	// and after it was closed; linkClosed reports the latter.
	closeLink  func()
	linkClosed bool
}

// listen starts an endpoint that sends the given response on each connection; see
// script.Endpoints for special values.
func (s *site) listen(t *testing.T, answer string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.urls = append(s.urls, "http://"+l.Addr().String())
	if answer == "nobody" {
		_ = l.Close()
		return
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			if n, _ := c.Read(buf); n == 0 {
				_ = c.Close()
				continue
			}
			s.mu.Lock()
			s.sent++
			s.mu.Unlock()
			switch answer {
			case "ends":
				_ = l.Close()
				fallthrough
			case "":
				_ = c.(*net.TCPConn).SetLinger(0)
			default:
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
}

// reserve returns a function that reserves a slot on the next endpoint with the
// placer p, or refuses the request when no endpoint is left.
func (s *site) reserve(p *placement.Placer) func(context.Context, placement.Request) (*placement.Grant, error) {
	return func(ctx context.Context, r placement.Request) (*placement.Grant, error) {
		if s.next >= len(s.urls) {
			return nil, outcome.NotRunError(outcome.ReasonShed, "no more endpoints")
		}
		return p.Reserve(ctx, r)
	}
}

// placer returns a placer whose coordinator grants a slot on each endpoint in
// turn.
func (s *site) placer() *placement.Placer {
	clock := clockwork.NewRealClock()
	view := membership.NewView(clock, membership.Host{ID: "a", Incarnation: 1, State: membership.Ready})
	dial := func(_ membership.Host, handle func(*peerv1.ReservationsResponse)) placement.Link {
		q := peer.NewLocalStream(func(req *peerv1.ReservationsRequest) {
			resp := &peerv1.ReservationsResponse{Acked: req.GetBatch()}
			for _, r := range req.GetReserves() {
				resp.Grants = append(resp.Grants, &peerv1.Grant{Sequence: r.GetSequence(), Endpoint: s.take()})
			}
			handle(resp)
		}, func() {})
		s.closeLink = q.Close
		if s.linkClosed {
			q.Close()
		}
		return placement.Link{Send: q.Send, Done: q.Done(), Close: q.Close}
	}
	p := placement.NewPlacer(clock, view, dial, metric.NewRegistry(), 32, "")
	t := &table.Table{Classes: []table.Class{{Name: "c", Pools: []table.Pool{"p"}}}}
	for i, url := range s.urls {
		version := "v1"
		if s.versions != nil {
			version = s.versions[i]
		}
		t.Endpoints = append(t.Endpoints, table.Endpoint{Name: endpointName(i), Pool: "p", URL: url, SoftwareVersion: table.SoftwareVersion(version)})
	}
	t.BuildIndex()
	p.Configure(t)
	return p
}

func endpointName(i int) table.EndpointName { return table.EndpointName(string(rune('a' + i))) }

// take returns the name of the next endpoint.
func (s *site) take() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	return string(endpointName(s.next - 1))
}

var testWire = Protocol{
	Header: func(s Attempt) http.Header {
		return http.Header{"Id": {s.Request.ID}, "Last": {s.LastEvent}}
	},
	ReadHead: func(status int, h http.Header) ResponseInfo {
		return ResponseInfo{NotRun: h.Get("Not-Run") != "", OtherProcess: status == http.StatusMisdirectedRequest, Signed: h.Get("Signed") != ""}
	},
	ImpliesNotRun: func(status int) bool { return status == http.StatusServiceUnavailable },
}

var testKinds = map[string]catalog.Kind{"safe": catalog.Safe, "unsafe": catalog.Unsafe, "stream": catalog.Stream}

// newTestForwarder returns a forwarder to the endpoints of a site, without retries.
func newTestForwarder(s *site) *Forwarder {
	clock := clockwork.NewRealClock()
	return &Forwarder{
		Clock:      clock,
		BootClock:  boottime.System{},
		Logger:     slog.New(slog.DiscardHandler),
		Metrics:    metric.NewRegistry(),
		Pool:       http1.NewPool(clock, http1.Dial),
		Protocol:   testWire,
		Reserve:    s.reserve(s.placer()),
		Usable:     func(*table.Endpoint) bool { return true },
		PathLost:   func(string) bool { return false },
		Notices:    newTestNotices(clock),
		Budget:     func(table.Pool) Budget { return &fixedBudget{} },
		Quarantine: quarantine.NewList(clock),
		Parts:      quarantine.NewParts(clock),

		BeginStream: func(*Request, table.SoftwareVersion) func() { return func() {} },
	}
}

func TestAttempts(t *testing.T) {
	data, err := os.ReadFile("testdata/attempts.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, tt := range scripts {
		t.Run(tt.Name, func(t *testing.T) {
			got, sent := tt.play(t)
			if got != tt.Want || sent != tt.Sent {
				t.Errorf("caller received %q and %d endpoints the request, want %q and %d", got, sent, tt.Want, tt.Sent)
			}
		})
	}
}

// play runs the test case. It returns the result for the caller in the form of
// script.Want, and the number of endpoints that received the request.
func (tt *script) play(t *testing.T) (got string, sent int) {
	s := &site{versions: tt.Versions}
	for _, answer := range tt.Endpoints {
		s.listen(t, answer)
	}
	boot := boottime.System{}
	var log strings.Builder
	f := newTestForwarder(s)
	f.Logger = slog.New(slog.NewTextHandler(&log, nil))
	f.Usable = tt.usable()
	f.Budget = func(table.Pool) Budget { return &fixedBudget{left: tt.Budget} }
	now := boot.Now()
	var body strings.Builder
	err := f.Do(context.Background(), &Request{
		ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
		Kind: testKinds[tt.Kind], Resumable: tt.Resumable, Attempts: tt.Attempts,
		StartTarget: tt.Objective,
		ReceivedAt:  now, Deadline: now + 20*time.Second,
		MaySend: tt.maySend(),
	}, Sink{
		Head: func(status int, _ http.Header, _ int64) {
			if status != http.StatusOK {
				body.WriteString(http.StatusText(status) + " ")
			}
		},
		Body: func(p []byte) error { body.Write(p); return nil },
	})
	if late := strings.Contains(log.String(), "answered late"); late != tt.LateLine {
		t.Errorf("log line about a late response: %v, want %v", late, tt.LateLine)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		return body.String(), s.sent
	case errors.Is(err, ErrTruncated):
		return "broken " + body.String(), s.sent
	}
	return string(outcome.FromError(err).Outcome), s.sent
}
