// Package placement implements the entry daemon's side of the reservation
// protocol: it requests a slot on an endpoint from the coordinator of a cell.
package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// Request asks for a slot on an endpoint of a pool.
type Request struct {
	Pool            table.Pool
	Class           table.ClassName
	Account         table.AccountName
	PromptTokens    int
	EstimatedTokens int
	// Prefix is a hash of the start of the prompt; zero means none.
	Prefix uint64
	// Parts are the parts of the prompt in order, which engines cache by ID.
	Parts []Part
	// Waited is how long the request has waited in earlier attempts.
	Waited time.Duration
	// StartTimeout is the time from the arrival of the request within which a
	// response must begin to be of use to the caller; zero means unknown.
	StartTimeout time.Duration
	// EndTimeout is the time from the arrival of the request at which the whole
	// response must have reached the caller; zero means unknown.
	EndTimeout time.Duration
	// Fingerprint is the same for all attempts of a caller to send the request; zero
	// means unknown.
	Fingerprint uint64
	// BodyBytes is the length of the request's body.
	BodyBytes int
	// Excluded lists endpoints that have failed this request.
	Excluded []table.EndpointName
	// Version is the software version of the endpoints that may continue the
	// stream; nil if the request may go to any.
	Version *table.SoftwareVersion
	Attempt int
}

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Link is a stream to a coordinator in another daemon or in this one.
type Link struct {
	// Send must not block, because it is called with the placer's lock held.
	Send func(*peerv1.ReservationsRequest)
	// Done is closed when the link is broken.
	Done <-chan struct{}
	// Close closes the link.
	Close func()
}

// Dial opens a link on a separate connection and passes each response to
// handle.
type Dial func(host membership.Host, handle func(*peerv1.ReservationsResponse)) Link

// Placer reserves slots. It is safe for concurrent use.
type Placer struct {
	clock   clockwork.Clock
	view    *membership.View
	dial    Dial
	metrics *metric.Registry
	size    int
	policy  settings.Policy
	// OnShareChange is called when this daemon starts or stops deciding alone, with
	// the number of hosts among which the endpoints are divided; 1 means that
	// this daemon may use them fully. It must be set before the placer is used.
	OnShareChange func(share int)
	// OnReachabilityChange is called, with the placer's lock held, when a
	// coordinator is skipped because it does not respond, and when it responds
	// again.
	OnReachabilityChange func(host membership.HostID, reached bool)
	// OnLimit is called, with the placer's lock held, when an endpoint
	// advertises a changed limit, in requests or refused requests per second;
	// zero means none.
	OnLimit func(endpoint table.EndpointName, perSecond float64, refusalsPerSecond int)

	mu       sync.Mutex
	sequence uint64
	plan     *cell.Plan
	table    *table.Table
	ranking  *cell.Ranking
	links    map[membership.HostID]*hostLink
	suspects map[membership.HostID]*suspicion
	pending  map[uint64]*pending
	// unsettled holds the hosts to which a release could not be sent.
	unsettled map[membership.HostID]bool
	pressures map[cell.ID]pressure
	limits    map[table.EndpointName]observedLimit
	// estimates holds what coordinators have measured of their cells, for those that
	// follow them.
	estimates map[cell.ID]keptEstimates
	// keepsGone reports whether limits has endpoints that are no longer in the table.
	keepsGone bool
	// share is the number of hosts among which the endpoints are divided while
	// this daemon decides alone, or 1.
	share int
	// coordinators holds the last coordinator of each cell to which this daemon
	// has reported its grants and waiting requests.
	coordinators map[cell.ID]membership.Host
	// rankingChanged means that the preferred coordinators may have changed.
	rankingChanged bool
}

// pending is a reservation that awaits its answer or a grant in use.
type pending struct {
	sequence uint64
	reserve  *peerv1.Reserve
	region   string
	sentAt   time.Time
	// waited is how long the request had waited before sentAt.
	waited time.Duration
	// host is the coordinator that was asked or that has the grant.
	host membership.Host
	// endpoint is set once the grant has been received.
	endpoint table.EndpointName
	// answer holds a buffer for the single answer.
	answer chan answer
	// grantedAt is when the grant was received. tokens counts the events received from
	// the endpoint.
	grantedAt time.Time
	tokens    atomic.Uint32
	// firstTokenReceived means that the endpoint has sent the first token.
	firstTokenReceived bool
	// preempted is set when the coordinator revokes the grant; onPreempted is
	// called then.
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
		clock:                clock,
		view:                 view,
		dial:                 dial,
		metrics:              metrics,
		size:                 size,
		share:                1,
		policy:               policy,
		OnShareChange:        func(int) {},
		OnReachabilityChange: func(membership.HostID, bool) {},
		OnLimit:              func(table.EndpointName, float64, int) {},
		ranking:              cell.NewRanking(),
		links:                map[membership.HostID]*hostLink{},
		suspects:             map[membership.HostID]*suspicion{},
		pending:              map[uint64]*pending{},
		unsettled:            map[membership.HostID]bool{},
		pressures:            map[cell.ID]pressure{},
		limits:               map[table.EndpointName]observedLimit{},
		estimates:            map[cell.ID]keptEstimates{},

		coordinators: map[cell.ID]membership.Host{},
	}
}

// Configure applies a table.
func (p *Placer) Configure(t *table.Table) { p.Apply(t, cell.NewPlan(t, p.size)) }

// Apply applies the classes of a table and a plan of the endpoints.
func (p *Placer) Apply(t *table.Table, plan *cell.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rankingChanged = p.rankingChanged || p.plan == nil || !p.plan.SameCells(plan)
	p.table, p.plan = t, plan
	p.pruneLimits()
}

// Busy reports whether a request waits for a slot or has one, or a coordinator has
// not acknowledged a batch.
func (p *Placer) Busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) > 0 {
		return true
	}
	for _, l := range p.links {
		if l.batch > l.acked {
			return true
		}
	}
	return false
}

// Reserve waits for a slot, and tries another cell if one can't take the request.
// The error is a refusal with the outcome notRun or the error of the context.
func (p *Placer) Reserve(ctx context.Context, r Request) (*Grant, error) {
	began := p.clock.Now()
	waited := r.Waited
	cells, refusal := p.chooseCells(&r)
	for _, id := range cells {
		r.Waited = waited + p.clock.Since(began)
		g, next, err := p.reserveIn(ctx, id, &r)
		if next == nil {
			return g, err
		}
		if refusal != nil && refusal.Reason == outcome.ReasonShed {
			// The caller is early at no cell if it returns by the latest time.
			next.RetryAfter = max(next.RetryAfter, refusal.RetryAfter)
		}
		refusal = next
		if !mayTryOtherCell(refusal.Reason) {
			break
		}
	}
	return nil, refusal
}

// mayTryOtherCell reports whether another cell may accept a request that was
// refused for the given reason.
func mayTryOtherCell(reason outcome.Reason) bool {
	return reason == outcome.ReasonShed || reason == outcome.ReasonQueueFull || reason == outcome.ReasonNoEndpoint
}

// reserveIn waits for a slot in one cell.
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
	id := cell.ID(w.reserve.GetCell())
	e, source := p.plan.Endpoint(id, a.endpoint), p.plan.Endpoint(id, a.fetchFrom)
	p.mu.Unlock()
	g := &Grant{placer: p, pending: w, grantedAt: p.clock.Now()}
	if e == nil {
		g.Release(Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
		return nil, outcome.NotRunError(outcome.ReasonNoEndpoint, "the endpoint has left the table")
	}
	g.Endpoint = *e
	g.FetchFrom = source
	g.Choice = a.choice
	return g, nil
}

// send sends a reservation to the coordinator of a cell.
func (p *Placer) send(id cell.ID, r *Request) *pending {
	reserve := &peerv1.Reserve{
		Cell:            string(id),
		Class:           string(r.Class),
		Account:         string(r.Account),
		PromptTokens:    uint32(r.PromptTokens),
		EstimatedTokens: uint32(r.EstimatedTokens),
		Prefix:          r.Prefix,
		WaitedMs:        uint32(r.Waited / time.Millisecond),
		UsefulMs:        uint32(r.StartTimeout / time.Millisecond),
		DeadlineMs:      uint32(r.EndTimeout / time.Millisecond),
		Fingerprint:     r.Fingerprint,
		BodyBytes:       uint32(r.BodyBytes),
		Attempt:         uint32(r.Attempt),
		Zone:            p.view.Self().Zone,
	}
	for _, part := range r.Parts {
		reserve.Parts = append(reserve.Parts, &peerv1.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	if r.Version != nil {
		reserve.Version = proto.String(string(*r.Version))
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
		sentAt:   p.clock.Now(),
		waited:   r.Waited,
		host:     host,
		answer:   make(chan answer, 1),
	}
	p.pending[w.sequence] = w
	p.sendOn(l, &peerv1.ReservationsRequest{Reserves: []*peerv1.Reserve{reserve}, Limits: p.unsentLimits(l, id)})
	return w
}

// withdraw cancels a reservation whose caller is gone.
func (p *Placer) withdraw(w *pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, w.sequence)
	p.abandon(w)
}

// abandon notifies the coordinator of a pending request that it has ended, whether
// it waits there or has just been granted.
func (p *Placer) abandon(w *pending) {
	l := p.links[w.host.ID]
	if l == nil || l.host.Incarnation != w.host.Incarnation {
		p.unsettled[w.host.ID] = true
		return
	}
	p.sendOn(l, &peerv1.ReservationsRequest{
		Cancels:  []uint64{w.sequence},
		Releases: []*peerv1.Release{callerGoneRelease(w.sequence, w.reserve.GetCell())},
	})
}

func callerGoneRelease(sequence uint64, id string) *peerv1.Release {
	return &peerv1.Release{Sequence: sequence, Cell: id, Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
}
