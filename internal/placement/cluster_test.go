package placement

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// cluster is a set of hosts whose messages and clock the test controls.
type cluster struct {
	t     *testing.T
	clock *clockwork.FakeClock
	nodes []*node
}

// node is one host with an entry daemon and a coordinator.
type node struct {
	cluster     *cluster
	info        membership.Host
	view        *membership.View
	coordinator *cell.Coordinator
	placer      *Placer
	metrics     *metric.Registry
	dead        bool
	// cutOff hosts receive no heartbeats and exchange no messages with others.
	cutOff bool
	// A paused host is cut off and does nothing.
	paused bool

	mu    sync.Mutex
	links []*fakeLink
}

// fakeLink is a link that queues messages until the test delivers them.
type fakeLink struct {
	from, to *node
	session  *cell.Session
	handle   func(*peerv1.ReservationsResponse)
	// A silent link drops all messages without closing; a slow one keeps them
	// queued.
	silent, slow bool

	mu        sync.Mutex
	requests  []*peerv1.ReservationsRequest
	responses []*peerv1.ReservationsResponse
	done      chan struct{}
	closed    bool
}

const (
	testPool  table.Pool      = "model"
	testClass table.ClassName = "top"
)

// newCluster returns hosts with a table of one pool, whose engine runs one request.
func newCluster(t *testing.T, hosts int) *cluster {
	t.Helper()
	return newClusterWith(t, hosts, cell.DefaultSize, testTable(1, 0))
}

// testTable returns a table with one pool of engines that run one request each, and
// one class with the given queue limit.
func testTable(engines, queue int) *table.Table {
	tbl := &table.Table{Classes: []table.Class{{
		Name: testClass, Weight: 1, Pools: []table.Pool{testPool}, MaxWait: table.Duration(time.Minute), Idempotent: true,
		Limits: table.Limits{Queue: queue},
	}}}
	for i := range engines {
		tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{
			Name: table.EndpointName(fmt.Sprint("engine-", i)), Kind: table.KindEngine, Pool: testPool, Region: "r", Concurrency: 1,
		})
	}
	return tbl
}

func newClusterWith(t *testing.T, hosts, cellSize int, tbl *table.Table) *cluster {
	t.Helper()
	s := &cluster{t: t, clock: clockwork.NewFakeClock()}
	for i := range hosts {
		id := membership.HostID("host-" + string(rune('0'+i)))
		n := &node{cluster: s, metrics: metric.NewRegistry(), info: membership.Host{ID: id, Incarnation: uint64(i + 1), State: membership.Ready, Region: "r"}}
		n.view = membership.NewView(s.clock, n.info)
		n.coordinator = cell.NewCoordinator(s.clock, id, cellSize, settings.PolicyCells)
		n.view.OnGone = func(h membership.Host) { n.coordinator.DropHost(string(h.ID), h.Incarnation) }
		n.placer = NewPlacer(s.clock, n.view, n.dial, n.metrics, cellSize, settings.PolicyCells)
		n.placer.OnShareChange = n.coordinator.SetShare
		n.coordinator.Configure(tbl)
		n.placer.Configure(tbl)
		s.nodes = append(s.nodes, n)
	}
	s.run(time.Second)
	return s
}

func (n *node) dial(host membership.Host, handle func(*peerv1.ReservationsResponse)) Link {
	to := n.cluster.node(host.ID)
	w := &fakeLink{from: n, to: to, handle: handle, done: make(chan struct{})}
	if to.dead {
		w.close()
	}
	w.session = to.coordinator.Attach(
		&peerv1.Hello{Host: string(n.info.ID), Incarnation: n.info.Incarnation},
		func(resp *peerv1.ReservationsResponse) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.responses = append(w.responses, resp)
		},
	)
	n.mu.Lock()
	n.links = append(n.links, w)
	n.mu.Unlock()
	send := func(req *peerv1.ReservationsRequest) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.requests = append(w.requests, req)
	}
	return Link{Send: send, Done: w.done, Close: w.close}
}

func (w *fakeLink) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.done)
	}
}

// deliver delivers the queued messages and reports whether there were any.
func (w *fakeLink) deliver() bool {
	if w.slow {
		return false
	}
	w.mu.Lock()
	requests, responses := w.requests, w.responses
	w.requests, w.responses = nil, nil
	lost := w.silent || w.from.paused || w.to.paused || w.closed || w.from.dead || w.to.dead || w.from.cutOff != w.to.cutOff || (w.from.cutOff && w.from != w.to)
	w.mu.Unlock()
	if lost {
		return false
	}
	if len(requests) > 0 {
		// Merges the queued requests into one batch, as a stream would.
		batch := &peerv1.ReservationsRequest{}
		for _, req := range requests {
			proto.Merge(batch, req)
		}
		w.session.Handle(batch)
	}
	for _, resp := range responses {
		w.handle(resp)
	}
	return len(requests)+len(responses) > 0
}

func (s *cluster) node(id membership.HostID) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.info.ID == id })
	return s.nodes[i]
}

// ranked returns the hosts in the order in which they are preferred as coordinator
// of the pool's only cell.
func (s *cluster) ranked() []*node {
	var hosts []membership.Host
	for _, n := range s.nodes {
		hosts = append(hosts, n.info)
	}
	var ranked []*node
	for _, h := range membership.Rank("model@r/0", hosts) {
		ranked = append(ranked, s.node(h.ID))
	}
	return ranked
}

// deliverAll delivers messages until none is queued.
func (s *cluster) deliverAll() {
	for moved := true; moved; {
		moved = false
		for _, n := range s.nodes {
			n.mu.Lock()
			links := slices.Clone(n.links)
			n.mu.Unlock()
			for _, w := range links {
				moved = w.deliver() || moved
			}
		}
	}
}

// run advances the clock with heartbeats, ticks and message delivery.
func (s *cluster) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for range d / tick {
		s.clock.Advance(tick)
		for _, n := range s.nodes {
			s.exchangeHeartbeats(n)
		}
		for _, n := range s.nodes {
			if n.dead || n.paused {
				continue
			}
			n.view.Sweep()
			n.coordinator.Tick(n.view.Ready(), n.placer.Suspects())
			n.placer.Tick()
		}
		s.deliverAll()
		s.awaitBrokenLinks()
	}
}

// awaitBrokenLinks waits until the placers have handled the broken links.
func (s *cluster) awaitBrokenLinks() {
	s.t.Helper()
	for _, n := range s.nodes {
		for range 2000 {
			if n.dead || !n.hasBrokenLink() {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	s.deliverAll()
}

func (n *node) hasBrokenLink() bool {
	n.placer.mu.Lock()
	defer n.placer.mu.Unlock()
	for _, l := range n.placer.links {
		select {
		case <-l.Done:
			return true
		default:
		}
	}
	return false
}

// exchangeHeartbeats applies the effect of heartbeats between a node and the others:
// an unreachable host is suspected, and a wrongly suspected one refutes it.
func (s *cluster) exchangeHeartbeats(n *node) {
	for _, other := range s.nodes {
		switch {
		case other == n || other.dead:
		case n.dead || n.cutOff || other.cutOff:
			other.view.Suspect(n.info.ID, n.info.Incarnation)
		default:
			if _, doubted := other.view.SuspectOrGone(n.info); doubted {
				n.info.Sequence++
			}
			other.view.Observe(n.info)
		}
	}
}

// kill stops a host, whose connections are lost at once.
func (s *cluster) kill(n *node) {
	n.dead = true
	for _, other := range s.nodes {
		for _, w := range other.links {
			if w.from == n || w.to == n {
				w.close()
			}
		}
	}
	s.awaitBrokenLinks()
}

// setState lets a host announce a state.
func (s *cluster) setState(n *node, state membership.State) {
	n.info.State = state
	n.info.Sequence++
	n.view.UpdateSelf(func(h *membership.Host) { h.State, h.Sequence = state, n.info.Sequence })
}

func (s *cluster) pause(n *node) { n.paused, n.cutOff = true, true }

// resume lets a paused host go on. As a daemon does, it refreshes its view of the
// others before it handles any batch.
func (s *cluster) resume(n *node) {
	n.paused, n.cutOff = false, false
	n.view.RestartSuspicion()
	for _, other := range s.nodes {
		s.exchangeHeartbeats(other)
	}
}

// eventually delivers messages while the placers' goroutines run, until a condition
// holds.
func (s *cluster) eventually(ok func() bool) {
	s.t.Helper()
	for range 2000 {
		time.Sleep(time.Millisecond)
		s.deliverAll()
		if ok() {
			return
		}
	}
	s.t.Fatal("condition was not met within 2000 polls")
}

// call is a reservation in progress.
type call struct {
	grant  *Grant
	err    error
	done   chan struct{}
	cancel context.CancelFunc
}

// reserve starts a reservation and waits until it has been sent.
func (s *cluster) reserve(n *node) *call {
	s.t.Helper()
	return s.reserveUntil(n, 0)
}

// reserveUntil reserves a slot for a caller who leaves after the given time.
func (s *cluster) reserveUntil(n *node, timeout time.Duration) *call {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &call{done: make(chan struct{}), cancel: cancel}
	before := n.pendingCount()
	go func() {
		defer close(c.done)
		c.grant, c.err = n.placer.Reserve(ctx, Request{Pool: testPool, Class: testClass, Account: "a", EndTimeout: timeout})
	}()
	s.eventually(func() bool { return n.pendingCount() > before || c.isDone() })
	return c
}

func (n *node) pendingCount() int {
	n.placer.mu.Lock()
	defer n.placer.mu.Unlock()
	return len(n.placer.pending)
}

func (c *call) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// awaitGrant waits for the grant of a call.
func (s *cluster) awaitGrant(c *call) *Grant {
	s.t.Helper()
	s.eventually(c.isDone)
	if c.err != nil {
		s.t.Fatal(c.err)
	}
	return c.grant
}

// assertWaiting fails the test if the call has ended.
func (s *cluster) assertWaiting(c *call, why string) {
	s.t.Helper()
	s.eventually(func() bool { return true })
	if c.isDone() {
		s.t.Fatalf("request was answered (%v, %v) %s", c.grant, c.err, why)
	}
}

var released = Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE, Duration: time.Second, Tokens: 10}
