package order_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/order"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

type script struct {
	Name string `json:"name"`
	// Checks is whether the engine checks fencing numbers.
	Checks bool   `json:"checks"`
	Steps  []step `json:"steps"`
}

type step struct {
	On       string         `json:"on"`
	Do       string         `json:"do"`
	Model    string         `json:"model"`
	Adapters []string       `json:"adapters"`
	By       table.Duration `json:"by"`
	// Count is the expected number of orders that took effect, or of leases
	// acquired minus leases lost.
	Count       int                    `json:"count"`
	Error       string                 `json:"error"`
	Faults      standin.PlatformFaults `json:"faults"`
	OrderFaults standin.OrderFaults    `json:"orderFaults"`
}

// Guards against an engine that never reaches its wanted state, and against a
// late order of a former lease holder that overwrites a newer one. An operator
// changes the adapters of an engine while daemons take over from each other,
// pause and lose replies.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/orders.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, s.Checks)
			for i, step := range s.Steps {
				r.step(fmt.Sprintf("step %d (%s %s)", i+1, step.Do, step.On), step)
			}
			r.checkFences()
		})
	}
}

// harness is a platform, one engine and two daemons.
type harness struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	platform *standin.Platform
	client   *platform.Client
	orders   *standin.Orders
	table    *table.Table
	daemons  map[string]*testDaemon
}

// testDaemon is the part of a daemon that sends orders.
type testDaemon struct {
	reconciler *order.Reconciler
	metrics    *metric.Registry
	ownsGroup  bool
	paused     bool
	// stateDelay is how long the daemon is paused after it has read the
	// engine's state.
	stateDelay time.Duration
	// pendingOrder sends the order that the daemon was about to send when it
	// was paused.
	pendingOrder func() error
}

var errPaused = errors.New("paused")

func newHarness(t *testing.T, checks bool) *harness {
	r := &harness{t: t, clock: clockwork.NewFakeClock(), platform: standin.NewPlatform(), orders: standin.NewOrders(checks, nil), daemons: map[string]*testDaemon{}}
	store := httptest.NewServer(r.platform.Handler())
	t.Cleanup(store.Close)
	mux := http.NewServeMux()
	r.orders.Handle(mux)
	engines := httptest.NewServer(mux)
	t.Cleanup(engines.Close)
	r.table = &table.Table{Endpoints: []table.Endpoint{{Name: "e", Kind: table.KindEngine, Pool: "m", URL: engines.URL, ChecksFence: checks}}}
	// The platform client waits on the real clock between retries.
	r.client = platform.NewClient(store.URL, &http.Transport{}, time.Minute)
	for _, name := range []string{"a", "b"} {
		r.daemons[name] = r.newDaemon()
	}
	return r
}

func (r *harness) newDaemon() *testDaemon {
	client := engine.NewClient(endpoint.NewSender(endpoint.NewTransport()))
	d := &testDaemon{metrics: metric.NewRegistry()}
	d.reconciler = &order.Reconciler{
		Clock:     r.clock,
		Metrics:   d.metrics,
		OwnsGroup: func(order.Group) bool { return d.ownsGroup },
		Table:     func() *table.Table { return r.table },
		State: func(ctx context.Context, e *table.Endpoint) (engine.State, error) {
			state, err := client.State(ctx, e)
			r.clock.Advance(d.stateDelay)
			return state, err
		},
		Order: func(ctx context.Context, e *table.Endpoint, o engine.Order) error {
			if d.paused {
				d.pendingOrder = func() error { return client.Order(context.WithoutCancel(ctx), e, o) }
				return errPaused
			}
			return client.Order(ctx, e, o)
		},
		NewHolder: func() *lease.Holder { return lease.NewHolder(r.clock, r.client, d.metrics) },
	}
	return d
}

func (r *harness) step(name string, s step) {
	r.t.Helper()
	d := r.daemons[s.On]
	switch s.Do {
	case "wants":
		r.table.Endpoints[0].Adapters = s.Adapters
	case "mine":
		d.ownsGroup = true
	case "notMine":
		d.ownsGroup = false
	case "pause":
		d.paused = true
	case "slowState":
		d.stateDelay = s.By.Std()
	case "wake":
		r.resume(name, d, s)
	case "step":
		d.reconciler.ReconcileGroup(r.t.Context(), order.GroupOf(&r.table.Endpoints[0]))
	case "advance":
		r.clock.Advance(s.By.Std())
	case "faults":
		r.platform.SetFaults(s.Faults)
	case "orderFaults":
		r.orders.SetFaults(s.OrderFaults)
	case "untilUp":
		for {
			if _, err := r.client.Read(r.t.Context(), platform.Key{Table: "t", Key: "k"}); err == nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	default:
		r.check(name, s, d)
	}
}

// resume lets a paused daemon send its pending order.
func (r *harness) resume(name string, d *testDaemon, s step) {
	r.t.Helper()
	d.paused = false
	if d.pendingOrder == nil {
		r.t.Fatalf("%s: the daemon has no pending order", name)
	}
	err := d.pendingOrder()
	if s.Error == "oldFence" && !errors.Is(err, engine.ErrStaleFence) || s.Error == "" && err != nil {
		r.t.Errorf("%s: unexpected error %v", name, err)
	}
}

func (r *harness) check(name string, s step, d *testDaemon) {
	r.t.Helper()
	switch s.Do {
	case "state":
		got := r.orders.State()
		if got.Model != s.Model || !slices.Equal(got.Adapters, s.Adapters) {
			r.t.Fatalf("%s: the engine's state is %+v", name, got)
		}
	case "orders":
		if n := len(r.orders.Taken()); n != s.Count {
			r.t.Fatalf("%s: %d orders took effect, want %d", name, n, s.Count)
		}
	case "leases":
		if n := d.metrics.Count("lease.orders.taken") - d.metrics.Count("lease.orders.lost"); n != int64(s.Count) {
			r.t.Fatalf("%s: %d leases, want %d", name, n, s.Count)
		}
	default:
		r.t.Fatalf("%s: unknown step", name)
	}
}

// checkFences checks that an engine that checks fencing numbers accepted no
// order with a smaller number after one with a larger number.
func (r *harness) checkFences() {
	var last uint64
	for _, o := range r.orders.Taken() {
		if r.orders.ChecksFence && o.Fence < last {
			r.t.Errorf("order with fencing number %d took effect after one with %d", o.Fence, last)
		}
		last = o.Fence
	}
}

// Guards against overloading the weight store when engines of many groups load
// a new model at the same time. No more than WeightSlots loads may run at once,
// and all engines must finish loading.
func TestWeightSlots(t *testing.T) {
	const engines = 12
	clock := clockwork.NewFakeClock()
	p := standin.NewPlatform()
	store := httptest.NewServer(p.Handler())
	t.Cleanup(store.Close)
	client := platform.NewClient(store.URL, &http.Transport{}, time.Minute)
	weights := &standin.Weights{}
	tab := &table.Table{}
	var all []*standin.Orders
	for i := range engines {
		o := standin.NewOrders(true, weights)
		mux := http.NewServeMux()
		o.Handle(mux)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		all = append(all, o)
		tab.Endpoints = append(tab.Endpoints, table.Endpoint{
			Name: table.EndpointName(fmt.Sprint(i)), Kind: table.KindEngine, Pool: "m", URL: server.URL, ChecksFence: true,
		})
	}
	calls := engine.NewClient(endpoint.NewSender(endpoint.NewTransport()))
	metrics := metric.NewRegistry()
	r := &order.Reconciler{
		Clock: clock, Metrics: metrics, OwnsGroup: func(order.Group) bool { return true }, Table: func() *table.Table { return tab },
		State: calls.State, Order: calls.Order, NewHolder: func() *lease.Holder { return lease.NewHolder(clock, client, metrics) },
	}
	loaded := func() int {
		n := 0
		for _, o := range all {
			if s := o.State(); s.Model == "m" && !s.Loading {
				n++
			}
		}
		return n
	}
	for round := 0; loaded() < engines; round++ {
		if round == 2000 {
			t.Fatalf("%d of %d engines loaded", loaded(), engines)
		}
		for g := range order.Group(order.Groups) {
			r.ReconcileGroup(t.Context(), g)
		}
		clock.Advance(2 * time.Second)
		if round%3 == 2 {
			weights.Finish()
		}
	}
	total, most := weights.Counts()
	if most > order.WeightSlots || total != engines {
		t.Errorf("%d loads, %d at once; want %d and at most %d", total, most, engines, order.WeightSlots)
	}
}
