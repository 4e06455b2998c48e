package duty_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/duty"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/truetime"
	"github.com/beechhead/beechhead/internal/usage"
	wire "github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	simLength = 5 * time.Second
	simDue    = 10 * time.Second
	simTurn   = 3 * time.Second
	simTick   = 100 * time.Millisecond
)

var errCut = errors.New("no connection")

// promptClock is a fake clock whose timers fire at once.
type promptClock struct{ clockwork.Clock }

func (promptClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// world simulates daemons, a store and the API of the duties in one goroutine.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	boot    *boottime.Fake
	store   *standin.Store
	api     *standin.Duties
	daemons []*simDaemon
	// late holds the calls that will be carried out later.
	late []lateCall
	// acts are the accepted calls.
	acts []act
	// truth is the number of requests that began, by window.
	truth map[usage.Window]uint32
	// fault probabilities of a call.
	loseReply, delay, pause float64
	// marked is the state to which the store is restored next.
	marked time.Time
	// hideRestore keeps daemons from noticing that the store was restored.
	hideRestore bool
}

type lateCall struct {
	at   time.Duration
	call func()
}

type act struct {
	host membership.HostID
	at   time.Duration
}

type simDaemon struct {
	w           *world
	id          membership.HostID
	incarnation uint64
	// frozen daemons do nothing, cut ones reach neither store nor API, and
	// alone ones no other daemon.
	frozenUntil, cutUntil, aloneUntil time.Duration
	// storeCutUntil is the time until which the daemon does not reach the store.
	storeCutUntil time.Duration
	clockJump     time.Duration
	tenure        *duty.Tenure
	exchange      *duty.Exchange
	reporter      *duty.Reporter
}

func newWorld(t *testing.T, seed uint64, hosts int, checksFence bool) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), boot: &boottime.Fake{}, store: standin.NewStore(), api: standin.NewDuties(),
		truth: map[usage.Window]uint32{},
	}
	w.api.ChecksFence = checksFence
	w.boot.Advance(time.Hour)
	for i := range hosts {
		d := &simDaemon{w: w, id: membership.HostID(fmt.Sprintf("host-%d", i))}
		w.daemons = append(w.daemons, d)
		d.start()
	}
	return w
}

// start starts the daemon anew, without any of its earlier state.
func (d *simDaemon) start() {
	w := d.w
	d.incarnation++
	metrics := metric.NewRegistry()
	clock := promptClock{clockwork.NewFakeClock()}
	client := platform.NewClientWith(clock, "http://store", roundTripper(d.callStore), time.Minute, metrics).WithWire(wire.StoreProtocol())
	now := truetime.NewClock(w.boot, func() time.Time { return time.Unix(0, int64(w.boot.Now()+d.clockJump)) })
	ledger := usage.NewLedger(simLength)
	holder := lease.NewHolder(clock, client, metrics)
	holder.Boot, holder.Terms = w.boot, duty.Terms(simTurn)
	renewer := lease.NewRenewer(holder, duty.LeaseName)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	d.tenure = &duty.Tenure{
		Clock: clock, Boot: w.boot, Logger: logger, Metrics: metrics,
		Self: func() membership.HostID { return d.id }, Hosts: w.hosts, Renewer: renewer, ChecksFence: w.api.ChecksFence,
	}
	api := wire.DutyAPI("http://api", &http.Client{Transport: roundTripper(d.callAPI)})
	d.reporter = &duty.Reporter{
		Clock: clock, Logger: logger, Metrics: metrics, Tenure: d.tenure, Ledger: ledger, Now: now.Now,
		Sources: w.sources,
		Read: func(ctx context.Context) ([]platform.FeedRow, error) {
			rows, err := client.Snapshot(ctx, duty.TableUsage)
			return rows.Rows, err
		},
		Fix: renewer.Renew, Send: api.ReportUsage, Length: simLength, Due: simDue,
	}
	d.tenure.WhileHeld = d.reporter.Step
	d.exchange = &duty.Exchange{
		Clock: clock, Boot: w.boot, Time: now, Self: d.host, Hosts: w.hosts,
		Counter: usage.NewCounter(simLength, now.Now), Ledger: ledger,
		Demand: autoscale.NewMeter(), Totals: autoscale.NewTotals(), Tenure: d.tenure,
		Send: d.send, Length: simLength,
	}
	d.tenure.Heard()
}

func (d *simDaemon) host() membership.Host {
	return membership.Host{ID: d.id, Incarnation: d.incarnation, State: membership.Ready, PeerAddress: string(d.id)}
}

func (w *world) hosts() *membership.Snapshot {
	var all []membership.Host
	for _, d := range w.daemons {
		all = append(all, d.host())
	}
	return membership.NewSnapshot(all)
}

func (w *world) sources() (all []usage.Source) {
	for _, h := range w.hosts().All() {
		all = append(all, usage.Source{Host: string(h.ID), Incarnation: h.Incarnation})
	}
	return all
}

// send delivers a datagram to daemons that are reached.
func (d *simDaemon) send(addresses []string, r *peerv1.DutyReport) {
	now := d.w.boot.Now()
	for _, other := range d.w.daemons {
		if !slices.Contains(addresses, string(other.id)) || now < d.aloneUntil || now < other.aloneUntil || now < other.frozenUntil {
			continue
		}
		other.exchange.Receive(r)
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// serve lets a handler answer a request whose body was read before.
func serve(h http.Handler, r *http.Request, body []byte) *http.Response {
	again := r.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, again)
	return rec.Result()
}

func (d *simDaemon) callStore(r *http.Request) (*http.Response, error) {
	w := d.w
	body, _ := io.ReadAll(r.Body)
	if w.boot.Now() < max(d.cutUntil, d.storeCutUntil) {
		return nil, errCut
	}
	handler := w.store.Handler()
	write := r.Method == http.MethodPost
	if write && w.rand.Float64() < w.delay {
		w.later(1+5*w.rand.Float64(), func() { _ = serve(handler, r, body).Body.Close() })
		return nil, errCut
	}
	resp := serve(handler, r, body)
	if write && w.rand.Float64() < w.loseReply {
		return nil, errCut
	}
	return resp, nil
}

// callAPI calls the platform. The call may be carried out late, its answer may be
// lost, and the daemon may be paused right before it is sent.
func (d *simDaemon) callAPI(r *http.Request) (*http.Response, error) {
	w := d.w
	body, _ := io.ReadAll(r.Body)
	if w.api.ChecksFence && w.rand.Float64() < w.pause {
		w.pauseDaemon(d, 2*time.Second+time.Duration(w.rand.Int64N(int64(8*time.Second))))
	}
	if w.boot.Now() < d.cutUntil {
		return nil, errCut
	}
	deliver := func() *http.Response {
		resp := serve(w.api, r, body)
		if resp.StatusCode == http.StatusOK {
			w.acts = append(w.acts, act{d.id, w.boot.Now()})
		}
		return resp
	}
	if w.rand.Float64() < w.delay {
		w.later(2+10*w.rand.Float64(), func() { _ = deliver().Body.Close() })
		return nil, errCut
	}
	resp := deliver()
	if w.rand.Float64() < w.loseReply {
		return nil, errCut
	}
	return resp, nil
}

func (w *world) later(seconds float64, call func()) {
	w.late = append(w.late, lateCall{w.boot.Now() + time.Duration(seconds*float64(time.Second)), call})
}

// pauseDaemon lets time pass for all daemons but one that is within a call.
func (w *world) pauseDaemon(d *simDaemon, t time.Duration) {
	pause := w.pause
	w.pause = 0
	d.frozenUntil = w.boot.Now() + t
	w.run(t)
	w.pause = pause
}

// run lets time pass.
func (w *world) run(t time.Duration) {
	for end := w.boot.Now() + t; w.boot.Now() < end; {
		w.boot.Advance(simTick)
		now := w.boot.Now()
		w.late = slices.DeleteFunc(w.late, func(l lateCall) bool {
			if l.at <= now {
				l.call()
			}
			return l.at <= now
		})
		for _, d := range w.daemons {
			if now < d.frozenUntil {
				continue
			}
			d.exchange.Counter.Add("account")
			w.truth[usage.WindowOf(now, simLength)]++
			d.step()
		}
	}
}

// step runs the daemon's loops in any order.
func (d *simDaemon) step() {
	loops := []func(){
		d.exchange.Step,
		func() { d.tenure.Step(context.Background()) },
		func() { d.reporter.SendDue(context.Background()) },
	}
	for _, i := range d.w.rand.Perm(len(loops)) {
		loops[i]()
	}
}

// disturb causes a random fault.
func (w *world) disturb() {
	d := w.daemons[w.rand.IntN(len(w.daemons))]
	if w.rand.IntN(2) == 0 {
		for _, one := range w.daemons {
			if _, ok := one.tenure.Held(); ok {
				d = one
			}
		}
	}
	until := w.boot.Now() + time.Duration(w.rand.Int64N(int64(12*time.Second)))
	switch w.rand.IntN(7) {
	case 0:
		d.frozenUntil = until
	case 1:
		d.cutUntil = until
	case 2:
		d.aloneUntil = until
	case 3:
		d.start()
	case 4:
		for _, one := range w.daemons {
			one.cutUntil = until
		}
	case 5:
		d.clockJump = time.Duration(w.rand.Int64N(int64(4*time.Second))) - 2*time.Second
	case 6:
		if w.marked.IsZero() || w.rand.IntN(2) == 0 {
			w.marked = time.Now()
			return
		}
		w.restore()
	}
}

// restore restores the store from a copy. Daemons notice it when they read.
func (w *world) restore() {
	w.store.Restore(time.Since(w.marked))
	w.marked = time.Time{}
	if w.hideRestore {
		return
	}
	for _, d := range w.daemons {
		d.reporter.BeginEra()
	}
}

// handlerTransport answers requests by a handler in the same process.
type handlerTransport struct{ http.Handler }

// RoundTrip answers a request.
func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result(), nil
}
