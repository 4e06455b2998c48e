package cell

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// recoveryTimeout limits how long a new coordinator waits for reports from
	// the known hosts before it grants slots.
	recoveryTimeout = 500 * time.Millisecond
	// reportQuietPeriod ends the wait early when no report has arrived for this
	// long. In a large fleet, hosts that hold no grants do not report.
	reportQuietPeriod = 100 * time.Millisecond
	// ReportAllMaxHosts is the number of hosts up to which each host reports to
	// each new coordinator, even if it holds no grants there, so that the
	// coordinator need not wait for it.
	ReportAllMaxHosts = 32
)

// Coordinator schedules the requests of the cells that this daemon coordinates.
// It keeps only soft state, which a new coordinator rebuilds from the reports
// of the entry daemons. It is safe for concurrent use.
type Coordinator struct {
	clock clockwork.Clock
	size  int
	// discipline is the queue discipline of the cells.
	discipline schedule.Discipline
	// Disabled lists the scheduling mechanisms that are switched off. It must
	// be set before the first call of Configure.
	Disabled []schedule.Mechanism
	// OnBatch is called for each batch of an entry daemon. It must not block, and
	// must be set before the coordinator is used.
	OnBatch func()

	mu    sync.Mutex
	table *table.Table
	plan  *Plan
	// planChanged reports whether the plan has changed since the cells were
	// last created from it.
	planChanged bool
	cells       map[ID]*cellState
	// draining holds the endpoints that get no new grants.
	draining map[table.EndpointName]bool
	// share is the divisor of the endpoints' concurrency while this daemon
	// schedules without coordination with others; it is at least 1.
	share   int
	self    membership.HostID
	ranking *Ranking
	// starting is the number of other hosts that are not ready yet.
	starting int
	// startEnds is when the start of this daemon ends: until then it may not know all
	// hosts that are ready. It is zero before the first plan.
	startEnds time.Time
	// suspects holds the hosts that this daemon can't reach.
	suspects map[membership.HostID]bool
	// sessions holds the newest session of each entry daemon incarnation.
	sessions map[sessionKey]*Session
	// unackedSessions lists the sessions with an unacknowledged batch.
	unackedSessions []*Session
	// dirty holds the cells that the scheduler must run for again.
	dirty map[ID]bool
	// pressureCheckedAt is when publishPressure last ran; published has what it
	// last published.
	pressureCheckedAt time.Time
	published         map[ID]publishedPressure
	// estimates limits the estimates that are sent to the next coordinators.
	estimates        estimateSender
	estimateCounters EstimateCounters
	// lastSweep is when the last search for orphaned grants began.
	lastSweep time.Time
}

// cellState is a cell together with the state of its recovery after a change
// of coordinator.
type cellState struct {
	*schedule.Cell
	// recoveryDeadline is when the cell begins to grant at the latest; it is
	// zero once recovery has ended.
	recoveryDeadline time.Time
	// lastReport is when the last report of grants arrived, or when the cell
	// was created.
	lastReport time.Time
	// inStart is set if the cell was created while this daemon or the fleet started.
	inStart bool
	// reported holds the hosts that have reported their grants.
	reported map[schedule.Host]bool
}

// disciplines maps policies to queue disciplines. PolicyCells and the empty
// policy are absent and so map to schedule.ByTier, the zero value.
var disciplines = map[settings.Policy]schedule.Discipline{
	settings.PolicyRoundRobin:       schedule.RoundRobin,
	settings.PolicyLeastOutstanding: schedule.LeastOutstanding,
}

// NewCoordinator returns a coordinator for the host self. Cells contain about
// size endpoints.
func NewCoordinator(clock clockwork.Clock, self membership.HostID, size int, policy settings.Policy) *Coordinator {
	return &Coordinator{
		clock:      clock,
		size:       size,
		discipline: disciplines[policy],
		cells:      map[ID]*cellState{},
		share:      1,
		self:       self,
		ranking:    NewRanking(),
		sessions:   map[sessionKey]*Session{},
		dirty:      map[ID]bool{},
		published:  map[ID]publishedPressure{},
		estimates:  estimateSender{sent: map[ID]time.Time{}},
		OnBatch:    func() {},
	}
}

// Configure applies a new table.
func (c *Coordinator) Configure(t *table.Table) { c.Apply(t, NewPlan(t, c.size)) }

// Apply applies the classes of a table and a plan of the endpoints. Cells for which
// neither has changed are left alone.
func (c *Coordinator) Apply(t *table.Table, plan *Plan) {
	c.mu.Lock()
	before := c.plan
	if before == nil {
		c.startEnds = c.clock.Now().Add(recoveryTimeout)
	}
	same := before != nil && c.table == t && before.SameCells(plan)
	c.table, c.plan = t, plan
	c.planChanged = c.planChanged || !same
	out := c.reconfigure(func(id ID) bool { return !same || !plan.sameMembers(before, id) })
	c.mu.Unlock()
	out.flush()
}

// SetDraining sets the endpoints that get no new grants, for example because
// the platform lists their host as leaving.
func (c *Coordinator) SetDraining(names []table.EndpointName) {
	c.mu.Lock()
	c.draining = map[table.EndpointName]bool{}
	for _, name := range names {
		c.draining[name] = true
	}
	out := c.reconfigure(everyCell)
	c.mu.Unlock()
	out.flush()
}

// SetShare limits this daemon to 1/share of each endpoint's concurrency. It is
// used while this daemon schedules without coordination and others may do so as
// well, so that together they don't exceed the concurrency.
func (c *Coordinator) SetShare(share int) {
	c.mu.Lock()
	if share == c.share {
		c.mu.Unlock()
		return
	}
	c.share = share
	out := c.reconfigure(everyCell)
	c.mu.Unlock()
	out.flush()
}

// SetStarting sets the number of other hosts that are not ready yet. It must be called
// before Apply and Tick.
func (c *Coordinator) SetStarting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starting = n
}

func everyCell(ID) bool { return true }

// reconfigure applies the current classes, plan, draining endpoints and share to
// the cells for which changed returns true.
func (c *Coordinator) reconfigure(changed func(ID) bool) outbox {
	if c.plan == nil {
		return nil
	}
	for id, cell := range c.cells {
		if changed(id) {
			cell.Configure(c.config(id))
			c.dirty[id] = true
		}
	}
	return c.step()
}

// DropHost removes the grants and waiting requests of an incarnation. If the
// daemon is still running, the response to its next batch tells it to report
// its state again.
func (c *Coordinator) DropHost(host string, incarnation uint64) {
	c.mu.Lock()
	if s := c.sessions[sessionKey{schedule.Host(host), incarnation}]; s != nil {
		s.dropped = true
	}
	for id, cell := range c.cells {
		cell.DropHost(schedule.Host(host), incarnation)
		c.dirty[id] = true
	}
	out := c.step()
	c.mu.Unlock()
	out.flush()
}

// Tick runs the time-driven work: scheduling, publishing pressure and sending
// delayed acknowledgements. hosts are the hosts that take work; suspects are
// those among them that this daemon can't reach, whose reports recovery does
// not wait for.
func (c *Coordinator) Tick(hosts *membership.Snapshot, suspects map[membership.HostID]bool) {
	c.mu.Lock()
	c.suspects = suspects
	if c.plan == nil {
		c.mu.Unlock()
		return
	}
	c.updateCells(c.ranking.Update(hosts) || c.planChanged)
	for id := range c.cells {
		c.dirty[id] = true
	}
	out := c.step()
	c.publishPressure(out)
	c.publishEstimates(out)
	c.addDueAcks(out)
	c.mu.Unlock()
	out.flush()
}

// Busy reports whether requests wait or run in the cells of this daemon, or a batch
// has not been acknowledged.
func (c *Coordinator) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unackedSessions) > 0 {
		return true
	}
	for _, cell := range c.cells {
		if !cell.Idle() {
			return true
		}
	}
	return false
}

// updateCells removes idle cells that this daemon no longer coordinates. If
// changed is set, it also creates the cells that it coordinates now, so that
// their recovery has ended before the first reservation arrives.
func (c *Coordinator) updateCells(changed bool) {
	for id, cell := range c.cells {
		if !c.coordinates(id) && cell.Idle() {
			delete(c.cells, id)
			delete(c.dirty, id)
			delete(c.published, id)
		}
	}
	if !changed {
		return
	}
	c.planChanged = false
	for _, id := range c.plan.All() {
		if c.coordinates(id) {
			c.cell(id)
		}
	}
}

// coordinates reports whether this daemon ranks first for a cell.
func (c *Coordinator) coordinates(id ID) bool {
	first, ok := c.ranking.First(id, c.plan.Region(id))
	return ok && first.ID == c.self
}

// cell returns the cell with the given id, creating it if needed, and marks it
// dirty.
func (c *Coordinator) cell(id ID) *cellState {
	c.dirty[id] = true
	if cell := c.cells[id]; cell != nil {
		return cell
	}
	cell := &cellState{
		Cell:             schedule.NewCell(c.clock),
		recoveryDeadline: c.clock.Now().Add(recoveryTimeout),
		lastReport:       c.clock.Now(),
		inStart:          c.starts() || c.fleetStarts(),
		reported:         map[schedule.Host]bool{},
	}
	if c.discipline != schedule.ByTier {
		cell.recoveryDeadline = time.Time{}
	}
	cell.Configure(c.config(id))
	c.cells[id] = cell
	return cell
}

// recovering reports whether a cell still waits for reports. Until all reports
// have arrived, the cell does not know which slots are in use, and a grant
// could assign a slot twice. While the fleet starts, other hosts may coordinate the
// same cell before this daemon hears that they are ready; the requests here move
// if one of them ranks first. How much of the fleet has started is asked until the cell
// grants: when the cell is created, this daemon may have met one host or none.
func (c *Coordinator) recovering(id ID, cell *cellState) bool {
	if cell.recoveryDeadline.IsZero() {
		return false
	}
	now := c.clock.Now()
	inStart := cell.inStart && (c.fleetStarts() || !c.firstReachable(id) || c.unknownToOthers(cell))
	awaitsReports := now.Sub(cell.lastReport) < reportQuietPeriod && !c.allReported(cell)
	if now.Before(cell.recoveryDeadline) && (inStart || awaitsReports) {
		return true
	}
	cell.recoveryDeadline = time.Time{}
	return false
}

// handsOver reports whether requests and grants of a cell move to another host, of which
// this daemon has just learned that it is the first in the ranking. A grant that moves frees its slot
// here while it is still in use, and a host that has not heard yet must not get it.
// After its start a daemon gets requests of a cell that another host coordinates if
// that host can't be reached from there, so they must be served then.
func (c *Coordinator) handsOver(id ID) bool {
	return c.discipline == schedule.ByTier && c.starts() && !c.firstReachable(id)
}

// starts reports whether this daemon may not know all hosts that are ready.
func (c *Coordinator) starts() bool { return c.clock.Now().Before(c.startEnds) }

// firstReachable reports whether this daemon ranks first for a cell among the hosts that
// it can reach.
func (c *Coordinator) firstReachable(id ID) bool {
	if len(c.suspects) == 0 {
		return c.coordinates(id)
	}
	first, ok := c.ranking.FirstOf(id, c.plan.Region(id), func(h membership.HostID) bool { return !c.suspects[h] })
	return ok && first.ID == c.self
}

// unknownToOthers reports whether no other host has reported to a cell, though in a fleet
// of this size each one does as soon as it hears that this daemon is ready. Until then
// another host may coordinate the cell.
func (c *Coordinator) unknownToOthers(cell *cellState) bool {
	if c.ranking.Hosts().Len() > ReportAllMaxHosts || c.allReported(cell) {
		return false
	}
	for host := range cell.reported {
		if host != schedule.Host(c.self) {
			return false
		}
	}
	return true
}

// fleetStarts reports whether at least half of the hosts that this daemon knows are not
// ready yet.
func (c *Coordinator) fleetStarts() bool {
	return c.starting >= max(1, c.ranking.Hosts().Len())
}

func (c *Coordinator) allReported(cell *cellState) bool {
	for _, h := range c.ranking.Hosts().All() {
		if !cell.reported[schedule.Host(h.ID)] && !c.suspects[h.ID] {
			return false
		}
	}
	return c.ranking.Hosts().Len() > 0
}

// outbox collects the responses for each session. It is flushed after the
// coordinator's lock has been released.
type outbox map[*Session]*peerv1.ReservationsResponse

func (d outbox) flush() {
	for s, resp := range d {
		s.send(resp)
	}
}

func (d outbox) response(s *Session) *peerv1.ReservationsResponse {
	resp := d[s]
	if resp == nil {
		resp = &peerv1.ReservationsResponse{Acked: s.unacked}
		s.acked = s.acked || s.unacked > 0
		s.unacked = 0
		d[s] = resp
	}
	return resp
}

func (c *Coordinator) step() outbox {
	out := outbox{}
	for id := range c.dirty {
		cell := c.cells[id]
		if c.handsOver(id) || c.recovering(id, cell) {
			continue
		}
		delete(c.dirty, id)
		for _, d := range cell.Step() {
			c.addDecision(out, d)
		}
	}
	return out
}

func (c *Coordinator) addDecision(out outbox, d schedule.Decision) {
	s := c.sessions[sessionKey{d.ID.Host, d.ID.Incarnation}]
	if s == nil {
		return
	}
	resp := out.response(s)
	switch {
	case d.Preempt:
		resp.Preempts = append(resp.Preempts, d.ID.Sequence)
	case d.Refusal != "":
		resp.Refusals = append(resp.Refusals, &peerv1.Refusal{
			Sequence:     d.ID.Sequence,
			Reason:       string(d.Refusal),
			RetryAfterMs: uint32(d.RetryAfter / time.Millisecond),
		})
	default:
		resp.Grants = append(resp.Grants, &peerv1.Grant{
			Sequence:  d.ID.Sequence,
			Endpoint:  string(d.Endpoint),
			FetchFrom: string(d.FetchFrom),
			BacklogMs: uint32(d.PrefillBacklog / time.Millisecond),
			UnreadMs:  uint32(d.PrefillTime / time.Millisecond),
			Decode:    d.Decode,
		})
	}
}
