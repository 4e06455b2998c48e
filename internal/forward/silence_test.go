package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// silenceScript is a test case of testdata/silence.json.
type silenceScript struct {
	Name             string
	Kind             string
	Attempts, Budget int
	// Endpoints holds what each endpoint does with a request, in the order in which they
	// are granted; see scriptedEndpoint.play for the steps.
	Endpoints []string
	// Want holds the ids of the events that the caller receives, or "whole", or "long" and
	// the number of buffers that a long body fills.
	Want string
	// Sent is the number of endpoints that received the request, Aborted the names of
	// those whose response was aborted, BudgetLeft what is left of the budget.
	Sent       int
	Aborted    string
	BudgetLeft int
	// Again names an endpoint that the last attempt does not exclude.
	Again string
	// Broken reports whether the response breaks off.
	Broken bool
}

const (
	longBody   = 3 * maxBuffered
	streamHead = "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	wholeBody  = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwhole"
	failedBody = "HTTP/1.1 500 Oops\r\nSigned: 1\r\nContent-Length: 4\r\n\r\noops"
	notFound   = "HTTP/1.1 404 Not Found\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nnope"
)

// scriptedEndpoint answers requests on pipes.
type scriptedEndpoint struct {
	steps []string
	// sent and aborted are written by play and read after all goroutines have ended.
	sent, aborted bool
}

// play reads a request and sends the response.
func (e *scriptedEndpoint) play(c net.Conn) {
	defer func() { _ = c.Close() }()
	buf := make([]byte, 4096)
	n, _ := c.Read(buf)
	if n == 0 {
		return
	}
	e.sent = true
	last := 0
	if _, after, ok := strings.Cut(string(buf[:n]), "Last: "); ok {
		last, _ = strconv.Atoi(strings.TrimSpace(strings.SplitN(after, "\r\n", 2)[0]))
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, c)
	}()
	for _, step := range e.steps {
		if !e.step(c, gone, step, last) {
			e.aborted = true
			return
		}
		if step == "reset" {
			return
		}
	}
}

// step returns false if the response was aborted.
func (e *scriptedEndpoint) step(c net.Conn, gone <-chan struct{}, step string, last int) bool {
	word, arg, _ := strings.Cut(step, " ")
	out := map[string]string{"head": streamHead, "end": "0\r\n\r\n", "whole": wholeBody, "failure": failedBody, "notFound": notFound}[word]
	id, _ := strconv.Atoi(arg)
	switch {
	case word == "event" && id > last, word == "repeat":
		event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
		out = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	case word == "hang":
		<-gone
		return false
	case word == "wait":
		d, _ := time.ParseDuration(arg)
		select {
		case <-gone:
			return false
		case <-bubbleclock.After(d):
		}
	case word == "longStart":
		out = fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", longBody, strings.Repeat("x", 2*maxBuffered))
	case word == "longEnd":
		out = strings.Repeat("x", longBody-2*maxBuffered)
	}
	_, err := io.WriteString(c, out)
	return err == nil
}

// Guards against ending a response for its endpoint's silence alone, and against waiting
// for a silent endpoint while another one could go on.
func TestSilentEndpoints(t *testing.T) {
	data, err := os.ReadFile("testdata/silence.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []silenceScript
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, tt := range scripts {
		t.Run(tt.Name, func(t *testing.T) { synctest.Test(t, tt.play) })
	}
}

// silentSite returns a forwarder to scripted endpoints. The function end waits until all
// have ended.
func silentSite(scripts []string) (f *Forwarder, endpoints []*scriptedEndpoint, end func()) {
	s := &site{}
	var wg sync.WaitGroup
	for i, steps := range scripts {
		s.urls = append(s.urls, "http://"+string(endpointName(i)))
		endpoints = append(endpoints, &scriptedEndpoint{steps: strings.Split(steps, ", ")})
	}
	f = newTestForwarder(s)
	f.Clock = bubbleclock.New()
	f.BootClock = boottime.FromClock(f.Clock)
	f.Pool = http1.NewPool(f.Clock, func(_ context.Context, address string) (net.Conn, error) {
		here, there := net.Pipe()
		e := endpoints[address[0]-'a']
		if e.steps[0] == "refuse" {
			<-bubbleclock.After(http1.DialTimeout)
			return nil, errors.New("refused")
		}
		wg.Go(func() { e.play(there) })
		return here, nil
	})
	return f, endpoints, func() {
		<-bubbleclock.After(2 * recheckDelay)
		f.Pool.CloseIdleIf(func(string) bool { return true })
		wg.Wait()
		s.linkClosed = true
		s.closeLink()
		synctest.Wait()
	}
}

func (tt *silenceScript) request(f *Forwarder) *Request {
	kinds := map[string]catalog.Kind{"safe": catalog.Safe, "unsafe": catalog.Unsafe, "stream": catalog.Stream, "onceStream": catalog.Stream}
	now := f.BootClock.Now()
	return &Request{
		ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
		Kind: kinds[tt.Kind], Resumable: tt.Kind == "stream", Attempts: tt.Attempts,
		StartTarget: time.Millisecond, GapTarget: time.Millisecond,
		ReceivedAt: now, Deadline: now + 20*time.Second, MaySend: func() *outcome.Refusal { return nil },
	}
}

func (tt *silenceScript) play(t *testing.T) {
	f, endpoints, end := silentSite(tt.Endpoints)
	budget := &fixedBudget{left: tt.Budget}
	f.Budget = func(table.Pool) Budget { return budget }
	var excluded []table.EndpointName
	reserve := f.Reserve
	f.Reserve = func(ctx context.Context, r placement.Request) (*placement.Grant, error) {
		excluded = r.Excluded
		return reserve(ctx, r)
	}
	var body strings.Builder
	heads := 0
	err := f.Do(context.Background(), tt.request(f), Sink{
		Head: func(int, http.Header, int64) { heads++ },
		Body: func(p []byte) error { body.Write(p); return nil },
	})
	end()
	sent, aborted := 0, ""
	for i, e := range endpoints {
		if e.sent {
			sent++
		}
		if e.aborted {
			aborted += string(endpointName(i))
		}
	}
	if heads != 1 || errors.Is(err, ErrTruncated) != tt.Broken {
		t.Errorf("the caller received %d heads, %v", heads, err)
	}
	if got := summary(body.String()); got != tt.Want {
		t.Errorf("the caller received %q, %v, want %q", got, err, tt.Want)
	}
	if sent != tt.Sent || aborted != tt.Aborted {
		t.Errorf("%d endpoints received the request and %q were aborted, want %d and %q", sent, aborted, tt.Sent, tt.Aborted)
	}
	if tt.Again != "" && slices.Contains(excluded, table.EndpointName(tt.Again)) {
		t.Errorf("the last attempt excludes %s: %v", tt.Again, excluded)
	}
	if want := tt.BudgetLeft; want > 0 && budget.left != want {
		t.Errorf("%d retries are left, want %d", budget.left, want)
	}
}

// summary returns what a caller has received in the form of silenceScript.Want.
func summary(body string) string {
	if n := len(body) / maxBuffered; n > 0 {
		return fmt.Sprintf("long %d", n)
	}
	var ids []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	if ids == nil {
		return body
	}
	return strings.Join(ids, " ")
}

// Guards against requests that go on at endpoints after their caller has left.
func TestCallerLeavesWhileEndpointsAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tt := &silenceScript{Kind: "stream", Attempts: 3}
		f, endpoints, end := silentSite([]string{"head, event 1, hang", "head, hang", "head, hang"})
		f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 9} }
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-bubbleclock.After(5 * time.Second)
			leave()
		}()
		err := f.Do(ctx, tt.request(f), Sink{Head: func(int, http.Header, int64) {}, Body: func([]byte) error { return nil }})
		if !errors.Is(err, ErrTruncated) {
			t.Errorf("error %v, want %v", err, ErrTruncated)
		}
		end()
		for i, e := range endpoints {
			if !e.sent || !e.aborted {
				t.Errorf("endpoint %s: received %v, aborted %v", endpointName(i), e.sent, e.aborted)
			}
		}
	})
}

// Guards against breaking off a stream for a second attempt that was not sent: its slot was
// refused after the first one had failed, or was cancelled late.
func TestHedgeThatIsNotSentDecidesNothing(t *testing.T) {
	for name, second := range map[string]func(ctx context.Context) error{
		"refused": func(context.Context) error {
			<-bubbleclock.After(300 * time.Millisecond)
			return outcome.NotRunError(outcome.ReasonShed, "no slot")
		},
		"cancelled late": func(ctx context.Context) error {
			<-ctx.Done()
			<-bubbleclock.After(time.Millisecond)
			return ctx.Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt := &silenceScript{Kind: "stream", Attempts: 2}
				first := map[string]string{"refused": "reset", "cancelled late": "event 2, reset"}[name]
				f, _, end := silentSite([]string{"head, event 1, wait 1300ms, " + first, "head, event 2, event 3, end"})
				f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 9} }
				reserve, n := f.Reserve, 0
				f.Reserve = func(ctx context.Context, r placement.Request) (*placement.Grant, error) {
					if n++; n == 2 {
						return nil, second(ctx)
					}
					return reserve(ctx, r)
				}
				if got, err := receive(f, tt.request(f)); err != nil || summary(got) != "1 2 3" {
					t.Errorf("received %q, %v", summary(got), err)
				}
				end()
			})
		})
	}
}

// receive runs a request and returns the body that its caller receives.
func receive(f *Forwarder, r *Request) (string, error) {
	var body strings.Builder
	err := f.Do(context.Background(), r, Sink{
		Head: func(int, http.Header, int64) {},
		Body: func(p []byte) error { body.Write(p); return nil },
	})
	return body.String(), err
}

// Guards against a caller that reads slowly and keeps the slot of a superseded attempt.
func TestSlowCallerKeepsNoSupersededSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tt := &silenceScript{Kind: "stream", Attempts: 2}
		f, endpoints, end := silentSite([]string{"head, event 1, wait 1500ms, event 2, end", "head, hang"})
		f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 9} }
		calls, over := 0, false
		err := f.Do(context.Background(), tt.request(f), Sink{
			Head: func(int, http.Header, int64) {},
			Body: func([]byte) error {
				if calls++; calls == 2 {
					<-bubbleclock.After(5 * time.Second)
					over = !f.activities.IsAwaited("b")
				}
				return nil
			},
		})
		end()
		if err != nil || !endpoints[1].sent || !over {
			t.Errorf("%v; the superseded attempt was sent %v and has ended %v while the caller reads", err, endpoints[1].sent, over)
		}
	})
}

// Guards against logging that a quarantined request is kept back each time that another
// endpoint is looked for while its own one is silent.
func TestQuarantinedRequestIsLoggedOnce(t *testing.T) {
	for name, quarantined := range map[string]func(f *Forwarder, r *Request, endpoint table.EndpointName){
		"request": func(f *Forwarder, r *Request, endpoint table.EndpointName) {
			f.Quarantine.RecordTermination(r.Fingerprint, endpoint)
		},
		"part": func(f *Forwarder, r *Request, endpoint table.EndpointName) {
			f.Parts.RecordTermination(r.partKeys(), endpoint)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt := &silenceScript{Kind: "stream", Attempts: 2}
				f, _, end := silentSite([]string{"head, event 1, wait 9s, event 2, end", "head, event 2, end"})
				var log strings.Builder
				f.Logger = slog.New(slog.NewTextHandler(&log, nil))
				f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 9} }
				f.MayTry = func(table.Pool) bool { return false }
				r := tt.request(f)
				r.Parts = []placement.Part{{ID: 1}, {ID: 2}}
				err := f.Do(context.Background(), r, Sink{
					Head: func(int, http.Header, int64) {},
					Body: func([]byte) error {
						for _, endpoint := range []table.EndpointName{"x", "y", "z"} {
							quarantined(f, r, endpoint)
						}
						return nil
					},
				})
				end()
				if n := strings.Count(log.String(), "request kept back"); err != nil || n != 1 {
					t.Errorf("%v; the request was logged as kept back %d times, want once", err, n)
				}
				if n := f.Metrics.Count("quarantine.partRefused"); n > 1 {
					t.Errorf("the request was counted as kept back %d times", n)
				}
			})
		})
	}
}

// Guards against refusing to continue a stream since no endpoint has answered a probe while
// all of them are paused, though each would answer a moment later.
func TestStreamIsContinuedAfterAPauseOfAllEndpoints(t *testing.T) {
	for name, endpoints := range map[string]int{"fewer than failed attempts allowed": 1, "some": 3, "more": 6} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const pause = 2600 * time.Millisecond
				f, end := pausedSite(endpoints, pause)
				r := (&silenceScript{Kind: "stream", Attempts: 2}).request(f)
				r.LastEvent, r.Resumes = "1", "q"
				if got, err := receive(f, r); err != nil || summary(got) != "2" {
					t.Errorf("received %q, %v, want event 2", summary(got), err)
				}
				end()
			})
		})
	}
}

// pausedSite returns a forwarder to endpoints that read nothing for a while, and then
// answer probes and streams that go on at event 2. The function end waits until all have
// ended.
func pausedSite(endpoints int, pause time.Duration) (f *Forwarder, end func()) {
	s := &site{}
	for i := range endpoints {
		s.urls = append(s.urls, "http://"+string(endpointName(i)))
	}
	f = newTestForwarder(s)
	f.Clock = bubbleclock.New()
	f.BootClock = boottime.FromClock(f.Clock)
	f.Budget = func(table.Pool) Budget { return &fixedBudget{} }
	f.LookupVersion = func(context.Context, *Request) (table.SoftwareVersion, *outcome.Refusal) { return "v1", nil }
	f.Protocol.ReportTarget = "/report"
	f.Protocol.ReadReport = func(*table.Endpoint, int, http.Header, []byte) (same, known bool) { return true, true }
	goesOn := f.Clock.Now().Add(pause)
	var wg sync.WaitGroup
	f.Pool = http1.NewPool(f.Clock, func(context.Context, string) (net.Conn, error) {
		here, there := net.Pipe()
		wg.Go(func() {
			defer func() { _ = there.Close() }()
			<-bubbleclock.After(goesOn.Sub(f.Clock.Now()))
			buf := make([]byte, 4096)
			for {
				n, err := there.Read(buf)
				switch {
				case err != nil:
					return
				case strings.HasPrefix(string(buf[:n]), "GET /report "):
					_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				default:
					_, _ = io.WriteString(there, streamHead+"f\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n")
				}
			}
		})
		return here, nil
	})
	reserve := f.Reserve
	f.Reserve = func(ctx context.Context, r placement.Request) (*placement.Grant, error) {
		for i := range endpoints {
			if !slices.Contains(r.Excluded, endpointName(i)) {
				s.next = i
				return reserve(ctx, r)
			}
		}
		return nil, outcome.NotRunError(outcome.ReasonNoEndpoint, "all are excluded")
	}
	return f, func() {
		<-bubbleclock.After(pause + 2*recheckDelay)
		f.Pool.CloseIdleIf(func(string) bool { return true })
		wg.Wait()
		s.linkClosed = true
		s.closeLink()
		synctest.Wait()
	}
}
