// Package placement is the entry daemon's side of the reservation protocol:
// it asks a cell's coordinator for a place on an endpoint.
package placement

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// Request asks for a place on an endpoint of a pool.
type Request struct {
	Pool            table.Pool
	Class           table.ClassName
	Account         table.AccountName
	PromptTokens    int
	EstimatedTokens int
	// Prefix is a hash of the start of the prompt; zero is none.
	Prefix uint64
	// Parts are the parts of the prompt in order, which engines keep by id.
	Parts []Part
	// Waited is how long the request has waited in earlier attempts.
	Waited time.Duration
	// Useful is for how long after the request came an answer that begins is of
	// use to the caller; zero is not known.
	Useful time.Duration
	// Excluded lists endpoints that failed this request.
	Excluded []table.EndpointName
	Attempt  int
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Link is a way to a coordinator: a stream to another daemon or this one.
type Link struct {
	// Send must not block: it is called with the placer's lock held.
	Send func(*peerv1.ReservationsRequest)
	// Done is closed when the link is broken.
	Done <-chan struct{}
	// Close ends the link.
	Close func()
}

// Dial opens a link on a connection of its own; each answer is given to
// handle.
type Dial func(host membership.Host, handle func(*peerv1.ReservationsResponse)) Link

// Placer reserves places. It is safe for concurrent use.
type Placer struct {
	clock   clockwork.Clock
	view    *membership.View
	dial    Dial
	metrics *metric.Registry
	size    int
	policy  settings.Policy
	// OnAlone is called when this daemon begins or ceases to decide alone,
	// with the number of hosts among which the endpoints are to be shared;
	// 1 is all for itself. It must be set before the placer is used.
	OnAlone func(share int)
	// OnReach is called, with the placer's lock held, when a coordinator is
	// passed over because it does not answer, and when it answers again.
	OnReach func(host membership.HostID, reached bool)
	// OnLimit is called, with the placer's lock held, when an endpoint names
	// another limit than before, in requests a second; zero is none.
	OnLimit func(endpoint table.EndpointName, perSecond float64)

	mu       sync.Mutex
	sequence uint64
	plan     *cell.Plan
	table    *table.Table
	ranking  *cell.Ranking
	links    map[membership.HostID]*hostLink
	suspects map[membership.HostID]*suspicion
	pending  map[uint64]*pending
	// owed has the hosts that a release could not be sent to.
	owed      map[membership.HostID]bool
	pressures map[cell.ID]pressure
	limits    map[table.EndpointName]seenLimit
	// share is how many hosts the endpoints are shared among while this
	// daemon decides alone; 1 otherwise.
	share int
	// coordinators has the host that each cell's coordinator was last, as
	// far as this daemon has told it of what it holds.
	coordinators map[cell.ID]membership.Host
	// moved says that the order of candidates may have changed.
	moved bool
}

// pending is a reserve without an answer or a grant in use.
type pending struct {
	sequence uint64
	reserve  *peerv1.Reserve
	region   string
	began    time.Time
	// waited is how long the request had waited before began.
	waited time.Duration
	// host is the coordinator that was asked or knows of the grant.
	host membership.Host
	// endpoint is set once granted.
	endpoint table.EndpointName
	// answer has room for the one answer.
	answer chan answer
	// begun says that the first token has come.
	begun bool
	// preempted is set when the coordinator wants the place back, and
	// onPreempted called then.
	preempted   bool
	onPreempted func()
}

type answer struct {
	endpoint table.EndpointName
	// fetchFrom may be empty.
	fetchFrom table.EndpointName
	choice    Choice
	refusal   *outcome.Refusal
}

// NewPlacer returns a placer without a table.
func NewPlacer(clock clockwork.Clock, view *membership.View, dial Dial, metrics *metric.Registry, size int, policy settings.Policy) *Placer {
	return &Placer{
		clock:     clock,
		view:      view,
		dial:      dial,
		metrics:   metrics,
		size:      size,
		share:     1,
		policy:    policy,
		OnAlone:   func(int) {},
		OnReach:   func(membership.HostID, bool) {},
		OnLimit:   func(table.EndpointName, float64) {},
		ranking:   cell.NewRanking(),
		links:     map[membership.HostID]*hostLink{},
		suspects:  map[membership.HostID]*suspicion{},
		pending:   map[uint64]*pending{},
		owed:      map[membership.HostID]bool{},
		pressures: map[cell.ID]pressure{},
		limits:    map[table.EndpointName]seenLimit{},

		coordinators: map[cell.ID]membership.Host{},
	}
}

// Configure puts a table in force.
func (p *Placer) Configure(t *table.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = t
	p.plan = cell.NewPlan(t, p.size)
	p.forgetLimits()
	p.moved = true
}

// Reserve waits for a place. A cell that can't take the request is followed
// by another one. The error is a refusal with the outcome notRun or the
// context's error.
func (p *Placer) Reserve(ctx context.Context, r Request) (*Grant, error) {
	began := p.clock.Now()
	waited := r.Waited
	cells, refusal := p.chooseCells(&r)
	for _, id := range cells {
		r.Waited = waited + p.clock.Since(began)
		var g *Grant
		var err error
		g, refusal, err = p.reserveIn(ctx, id, &r)
		if refusal == nil {
			return g, err
		}
		if !mayOffer(refusal.Reason) {
			break
		}
	}
	return nil, refusal
}

// mayOffer tells whether another cell might take what one refused.
func mayOffer(reason outcome.Reason) bool {
	return reason == outcome.ReasonShed || reason == outcome.ReasonQueueFull || reason == outcome.ReasonNoEndpoint
}

// reserveIn waits for a place in one cell.
func (p *Placer) reserveIn(ctx context.Context, id cell.ID, r *Request) (*Grant, *outcome.Refusal, error) {
	w := p.send(id, r)
	select {
	case a := <-w.answer:
		if a.refusal != nil {
			return nil, a.refusal, nil
		}
		g, refusal := p.accept(w, a)
		return g, refusal, nil
	case <-ctx.Done():
		p.withdraw(w)
		return nil, nil, ctx.Err()
	}
}

func (p *Placer) accept(w *pending, a answer) (*Grant, *outcome.Refusal) {
	p.mu.Lock()
	e, ok := p.table.Endpoint(a.endpoint)
	source, _ := p.table.Endpoint(a.fetchFrom)
	p.mu.Unlock()
	g := &Grant{placer: p, pending: w, granted: p.clock.Now()}
	if !ok {
		g.Release(Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
		return nil, outcome.NotRunError(outcome.ReasonNoEndpoint, "the endpoint has left the table")
	}
	g.Endpoint = *e
	g.FetchFrom = source
	g.Choice = a.choice
	return g, nil
}

// send asks the cell's coordinator.
func (p *Placer) send(id cell.ID, r *Request) *pending {
	reserve := &peerv1.Reserve{
		Cell:            string(id),
		Class:           string(r.Class),
		Account:         string(r.Account),
		PromptTokens:    uint32(r.PromptTokens),
		EstimatedTokens: uint32(r.EstimatedTokens),
		Prefix:          r.Prefix,
		WaitedMs:        uint32(r.Waited / time.Millisecond),
		UsefulMs:        uint32(r.Useful / time.Millisecond),
		Attempt:         uint32(r.Attempt),
		Zone:            p.view.Self().Zone,
	}
	for _, part := range r.Parts {
		reserve.Parts = append(reserve.Parts, &peerv1.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	for _, name := range r.Excluded {
		reserve.Excluded = append(reserve.Excluded, string(name))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	region := p.plan.Region(id)
	host := p.coordinator(id, region)
	if p.share > 1 {
		p.metrics.Inc("degraded")
	}
	l := p.link(host)
	p.sequence++
	reserve.Sequence = p.sequence
	w := &pending{
		sequence: p.sequence,
		reserve:  reserve,
		region:   region,
		began:    p.clock.Now(),
		waited:   r.Waited,
		host:     host,
		answer:   make(chan answer, 1),
	}
	p.pending[w.sequence] = w
	p.sendOn(l, &peerv1.ReservationsRequest{Reserves: []*peerv1.Reserve{reserve}, Limits: p.untoldLimits(l, id)})
	return w
}

// withdraw cancels a reserve whose caller has gone.
func (p *Placer) withdraw(w *pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, w.sequence)
	p.giveBack(w)
}

// giveBack tells a pending request's coordinator that it is over, whether it
// waits there or was granted a moment ago.
func (p *Placer) giveBack(w *pending) {
	l := p.links[w.host.ID]
	if l == nil || l.host.Incarnation != w.host.Incarnation {
		p.owed[w.host.ID] = true
		return
	}
	p.sendOn(l, &peerv1.ReservationsRequest{
		Cancels:  []uint64{w.sequence},
		Releases: []*peerv1.Release{callerGone(w.sequence, w.reserve.GetCell())},
	})
}

func callerGone(sequence uint64, id string) *peerv1.Release {
	return &peerv1.Release{Sequence: sequence, Cell: id, Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
}
