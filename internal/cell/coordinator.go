package cell

import (
	"math"
	"slices"
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
	// recoveryWait bounds how long a new coordinator waits for the reports
	// of the hosts that it knows before it grants.
	recoveryWait = 500 * time.Millisecond
	// reportPause is how long no report must have come for the wait to end
	// sooner: hosts that hold nothing don't report in a large fleet.
	reportPause = 100 * time.Millisecond
	// pressureInterval is the time between two publications of the cells'
	// pressure to the entry daemons.
	pressureInterval = 500 * time.Millisecond
)

// Coordinator runs the cells for which entry daemons turn to this daemon. Its
// state is soft: it is rebuilt from the entry daemons' reports. It is safe for
// concurrent use.
type Coordinator struct {
	clock clockwork.Clock
	size  int
	// discipline is the order of the queues.
	discipline schedule.Discipline
	// Disabled are the mechanisms that take no part in decisions. It must be
	// set before the first table.
	Disabled []schedule.Mechanism

	mu    sync.Mutex
	table *table.Table
	plan  *Plan
	// unprepared says that the plan has changed since cells were prepared.
	unprepared bool
	cells      map[ID]*coordinated
	// draining has the endpoints that get no new grants.
	draining map[table.EndpointName]bool
	// share divides the endpoints' concurrency while this daemon decides
	// alone; it is at least 1.
	share   int
	self    membership.HostID
	ranking *Ranking
	// suspects has the hosts that this daemon can't reach.
	suspects map[membership.HostID]bool
	// sessions has the newest session of each incarnation of an entry daemon.
	sessions map[sessionKey]*Session
	// owing has the sessions with a batch to acknowledge.
	owing []*Session
	// dirty has the cells with decisions still to be taken.
	dirty     map[ID]bool
	published time.Time
	// swept is when orphans were last searched for.
	swept time.Time
}

// coordinated is a cell with what it still waits for after a change of
// coordinator.
type coordinated struct {
	*schedule.Cell
	// until is when the cell grants at the latest; zero once it does.
	until time.Time
	// heard is when the last report of what is held came, or the cell was made.
	heard time.Time
	// reported has the hosts whose holdings are known.
	reported map[schedule.Host]bool
}

// disciplines has the queue's order for each policy; PolicyCells and the
// empty one have schedule.ByTier.
var disciplines = map[settings.Policy]schedule.Discipline{
	settings.PolicyRoundRobin:       schedule.RoundRobin,
	settings.PolicyLeastOutstanding: schedule.LeastOutstanding,
}

// NewCoordinator returns the coordinator of a host, with cells of the given
// size.
func NewCoordinator(clock clockwork.Clock, self membership.HostID, size int, policy settings.Policy) *Coordinator {
	return &Coordinator{
		clock:      clock,
		size:       size,
		discipline: disciplines[policy],
		cells:      map[ID]*coordinated{},
		share:      1,
		self:       self,
		ranking:    NewRanking(),
		sessions:   map[sessionKey]*Session{},
		dirty:      map[ID]bool{},
	}
}

// Configure puts a table in force.
func (c *Coordinator) Configure(t *table.Table) {
	c.mu.Lock()
	c.table = t
	c.plan = NewPlan(t, c.size)
	c.unprepared = true
	out := c.reconfigure()
	c.mu.Unlock()
	out.deliver()
}

// SetDraining names the endpoints that get no new grants, such as those whose
// host the platform lists as leaving.
func (c *Coordinator) SetDraining(names []table.EndpointName) {
	c.mu.Lock()
	c.draining = map[table.EndpointName]bool{}
	for _, name := range names {
		c.draining[name] = true
	}
	out := c.reconfigure()
	c.mu.Unlock()
	out.deliver()
}

// SetShare makes the daemon grant only one part in share of each endpoint's
// concurrency, because it decides alone and others may do so as well.
func (c *Coordinator) SetShare(share int) {
	c.mu.Lock()
	if share == c.share {
		c.mu.Unlock()
		return
	}
	c.share = share
	out := c.reconfigure()
	c.mu.Unlock()
	out.deliver()
}

// reconfigure gives every cell what the table and the platform say now.
func (c *Coordinator) reconfigure() delivery {
	if c.plan == nil {
		return nil
	}
	for id, cell := range c.cells {
		cell.Configure(c.config(id))
		c.dirty[id] = true
	}
	return c.step()
}

// DropHost forgets what an incarnation holds and waits for. If it was only
// silent, its next batch is answered with an order to report again.
func (c *Coordinator) DropHost(host string, incarnation uint64) {
	c.mu.Lock()
	if s := c.sessions[sessionKey{schedule.Host(host), incarnation}]; s != nil {
		s.forgotten = true
	}
	for id, cell := range c.cells {
		cell.DropHost(schedule.Host(host), incarnation)
		c.dirty[id] = true
	}
	out := c.step()
	c.mu.Unlock()
	out.deliver()
}

// Tick lets time-driven decisions happen. The hosts are those that take work,
// the suspects those of them that this daemon can't reach: their reports are
// not waited for.
func (c *Coordinator) Tick(hosts *membership.Snapshot, suspects map[membership.HostID]bool) {
	c.mu.Lock()
	c.suspects = suspects
	if c.plan == nil {
		c.mu.Unlock()
		return
	}
	c.prepare(c.ranking.Update(hosts) || c.unprepared)
	for id := range c.cells {
		c.dirty[id] = true
	}
	out := c.step()
	c.publish(out)
	c.acknowledge(out)
	c.mu.Unlock()
	out.deliver()
}

// prepare makes the cells that this daemon coordinates, so that they are
// ready when the first reserve comes, and drops empty ones that it no longer
// does.
func (c *Coordinator) prepare(changed bool) {
	for id, cell := range c.cells {
		if !c.coordinates(id) && cell.Idle() {
			delete(c.cells, id)
			delete(c.dirty, id)
		}
	}
	if !changed {
		return
	}
	c.unprepared = false
	for _, id := range c.plan.All() {
		if c.coordinates(id) {
			c.cell(id)
		}
	}
}

// coordinates tells whether this daemon ranks first for a cell.
func (c *Coordinator) coordinates(id ID) bool {
	ranked := c.ranking.Rank(id, c.plan.Region(id))
	return len(ranked) > 0 && ranked[0].ID == c.self
}

// cell returns the cell of that id, and marks it for a step.
func (c *Coordinator) cell(id ID) *coordinated {
	c.dirty[id] = true
	if cell := c.cells[id]; cell != nil {
		return cell
	}
	cell := &coordinated{
		Cell:     schedule.NewCell(c.clock),
		until:    c.clock.Now().Add(recoveryWait),
		heard:    c.clock.Now(),
		reported: map[schedule.Host]bool{},
	}
	if c.discipline != schedule.ByTier {
		cell.until = time.Time{}
	}
	cell.Configure(c.config(id))
	c.cells[id] = cell
	return cell
}

// recovering tells whether a cell still waits for reports. Until all have
// come, it does not know which places are taken: a grant could put two
// requests on one place.
func (c *Coordinator) recovering(cell *coordinated) bool {
	if cell.until.IsZero() {
		return false
	}
	now := c.clock.Now()
	if now.Before(cell.until) && now.Sub(cell.heard) < reportPause && !c.allReported(cell) {
		return true
	}
	cell.until = time.Time{}
	return false
}

func (c *Coordinator) allReported(cell *coordinated) bool {
	for _, h := range c.ranking.Hosts().All() {
		if !cell.reported[schedule.Host(h.ID)] && !c.suspects[h.ID] {
			return false
		}
	}
	return c.ranking.Hosts().Len() > 0
}

// delivery is what a step decided, by session. It is sent after the lock is
// given back.
type delivery map[*Session]*peerv1.ReservationsResponse

func (d delivery) deliver() {
	for s, resp := range d {
		s.send(resp)
	}
}

func (d delivery) to(s *Session) *peerv1.ReservationsResponse {
	resp := d[s]
	if resp == nil {
		resp = &peerv1.ReservationsResponse{Acked: s.unacked}
		s.begun = s.begun || s.unacked > 0
		s.unacked = 0
		d[s] = resp
	}
	return resp
}

func (c *Coordinator) step() delivery {
	out := delivery{}
	for id := range c.dirty {
		cell := c.cells[id]
		if c.recovering(cell) {
			continue
		}
		delete(c.dirty, id)
		for _, d := range cell.Step() {
			c.add(out, d)
		}
	}
	return out
}

func (c *Coordinator) add(out delivery, d schedule.Decision) {
	s := c.sessions[sessionKey{d.ID.Host, d.ID.Incarnation}]
	if s == nil {
		return
	}
	resp := out.to(s)
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
			BacklogMs: uint32(d.Backlog / time.Millisecond),
			UnreadMs:  uint32(d.Unread / time.Millisecond),
			Decode:    d.Decode,
		})
	}
}

// publish tells the entry daemons how crowded the cells are. Only pools with
// a choice of cells need it.
func (c *Coordinator) publish(out delivery) {
	now := c.clock.Now()
	if now.Sub(c.published) < pressureInterval {
		return
	}
	c.published = now
	var pressures []*peerv1.Pressure
	for id, cell := range c.cells {
		endpoints := c.plan.Endpoints(id)
		if len(endpoints) == 0 || len(c.plan.Cells(endpoints[0].Pool)) < 2 {
			continue
		}
		pressures = append(pressures, pressure(id, cell.Cell))
	}
	if len(pressures) == 0 {
		return
	}
	for _, s := range c.sessions {
		// Merging appends: the slice must not be shared beyond its end.
		out.to(s).Pressures = slices.Clip(pressures)
	}
}

func pressure(id ID, cell *schedule.Cell) *peerv1.Pressure {
	p := &peerv1.Pressure{Cell: string(id)}
	for _, t := range cell.Tiers() {
		permille := math.Round(1000 * max(0, cell.Pressure(t)))
		p.Tiers = append(p.Tiers, &peerv1.TierPressure{Tier: uint32(t), Permille: uint32(permille)})
	}
	return p
}
