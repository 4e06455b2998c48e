package cell

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/schedule"
)

type sessionKey struct {
	host        schedule.Host
	incarnation uint64
}

// Session is the coordinator's side of the reservation stream of one entry
// daemon. Its fields are guarded by the coordinator's mutex.
type Session struct {
	c    *Coordinator
	key  sessionKey
	send func(*peerv1.ReservationsResponse)
	// dropped reports whether the coordinator has dropped the daemon's state, so
	// that the daemon must report it again.
	dropped bool
	// lastBatch is when the last batch arrived, or when the session was opened.
	lastBatch time.Time
	// acked reports whether a batch has been acknowledged.
	acked bool
	// unacked is the number of the last batch if it has not been acknowledged
	// yet, else 0. unackedSince is when the first batch arrived that the next
	// acknowledgement covers. inUnackedList reports whether the session is in
	// the coordinator's list of unacknowledged sessions.
	unacked       uint64
	unackedSince  time.Time
	inUnackedList bool
}

// ackDelay is how long an acknowledgement is delayed so that it can be sent
// with another response. It is far below the time after which a link counts as
// silent.
const ackDelay = 100 * time.Millisecond

// Attach opens a session for the daemon named in hello. The function send must
// not block.
func (c *Coordinator) Attach(hello *peerv1.Hello, send func(*peerv1.ReservationsResponse)) *Session {
	s := &Session{
		c:    c,
		key:  sessionKey{schedule.Host(hello.GetHost()), hello.GetIncarnation()},
		send: send,

		lastBatch: c.clock.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[s.key] = s
	return s
}

// Close closes the session. The daemon's grants are kept until the host is
// dropped or reports them again in a new session.
func (s *Session) Close() {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.c.sessions[s.key] == s {
		delete(s.c.sessions, s.key)
	}
}

// Handle processes one batch of the session.
func (s *Session) Handle(req *peerv1.ReservationsRequest) {
	c := s.c
	defer c.OnBatch()
	c.mu.Lock()
	if c.sessions[s.key] != s {
		// A newer session of the same daemon has replaced this one, and the
		// daemon has reported its state there.
		c.mu.Unlock()
		return
	}
	if c.plan == nil {
		s.dropped = true
		c.mu.Unlock()
		s.refuseAll(req)
		return
	}
	s.lastBatch = c.clock.Now()
	reset := s.dropped && !req.GetHoldingsComplete()
	if !reset {
		s.apply(req)
	}
	s.trackUnacked(req.GetBatch())
	out := c.step()
	if !s.acked && s.unacked > 0 {
		// The first acknowledgement is sent without delay: it tells the daemon
		// that the coordinator is reachable.
		out.response(s)
	}
	if reset {
		// The daemon's next report repeats what this batch contains. If the
		// batch was in transit when the daemon terminated, no report follows,
		// and applying it now would leave its reservations behind forever.
		out.response(s).Reset_ = true
	}
	c.mu.Unlock()
	out.flush()
}

// trackUnacked records a batch that must be acknowledged.
func (s *Session) trackUnacked(batch uint64) {
	if batch == 0 {
		return
	}
	if s.unacked == 0 {
		s.unackedSince = s.lastBatch
	}
	s.unacked = batch
	if !s.inUnackedList {
		s.inUnackedList = true
		s.c.unackedSessions = append(s.c.unackedSessions, s)
	}
}

// addDueAcks adds the acknowledgements that no response has carried within
// ackDelay to out. The caller must hold the mutex.
func (c *Coordinator) addDueAcks(out outbox) {
	now := c.clock.Now()
	c.unackedSessions = slices.DeleteFunc(c.unackedSessions, func(s *Session) bool {
		if s.unacked > 0 && now.Sub(s.unackedSince) >= ackDelay && c.sessions[s.key] == s {
			out.response(s)
		}
		s.inUnackedList = s.unacked > 0 && c.sessions[s.key] == s
		return !s.inUnackedList
	})
}

// apply applies a batch to the cells. A batch may have been merged from
// several, so it can contain both a reservation and its cancellation; cancels
// and releases are therefore applied after reservations.
func (s *Session) apply(req *peerv1.ReservationsRequest) {
	c := s.c
	c.adoptEstimates(req.GetEstimates())
	for _, h := range req.GetHoldings() {
		cell := c.cell(ID(h.GetCell()))
		cell.lastReport = s.lastBatch
		cell.AdoptGrant(s.holding(h))
	}
	for _, r := range req.GetReserves() {
		c.cell(ID(r.GetCell())).Reserve(s.request(r))
	}
	for _, l := range req.GetLimits() {
		age := time.Duration(l.GetAgeMs()) * time.Millisecond
		cell, name := c.cell(ID(l.GetCell())), schedule.Endpoint(l.GetEndpoint())
		cell.SetRateLimit(name, l.GetPerSecond(), age)
		cell.SetBrittle(name, int(l.GetRefusalsPerSecond()), age)
		for _, t := range l.GetTurnedAway() {
			cell.RecordRefusal(name, s.id(t.GetSequence()), time.Duration(t.GetAgeMs())*time.Millisecond)
		}
		if l.GetLeaving() {
			cell.SetLeaving(name)
		}
	}
	for _, p := range req.GetProgress() {
		c.cell(ID(p.GetCell())).Progress(s.id(p.GetSequence()), progress(p))
	}
	for _, seq := range req.GetCancels() {
		s.cancel(seq)
	}
	for _, r := range req.GetReleases() {
		s.release(r)
	}
	for _, id := range req.GetReported() {
		cell := c.cell(ID(id))
		cell.lastReport = s.lastBatch
		cell.reported[s.key.host] = true
	}
	if req.GetHoldingsComplete() {
		s.reconcile(req)
	}
}

// reconcile treats a batch as the complete state of the daemon at this
// coordinator and drops everything that the batch does not contain: the
// releases and cancels for it may have been lost with an earlier connection.
func (s *Session) reconcile(req *peerv1.ReservationsRequest) {
	s.dropped = false
	keep := map[schedule.RequestID]bool{}
	for _, h := range req.GetHoldings() {
		keep[s.id(h.GetSequence())] = true
	}
	for _, r := range req.GetReserves() {
		keep[s.id(r.GetSequence())] = true
	}
	for id, cell := range s.c.cells {
		cell.Reconcile(s.key.host, s.key.incarnation, keep)
		s.c.dirty[id] = true
	}
}

// release ends a grant. If the message names no cell, because the entry daemon
// no longer knows the request, the grant is looked up in all cells.
func (s *Session) release(r *peerv1.Release) {
	if r.GetCell() != "" {
		s.c.cell(ID(r.GetCell())).Release(s.id(r.GetSequence()), report(r))
		return
	}
	for id, cell := range s.c.cells {
		cell.Release(s.id(r.GetSequence()), report(r))
		s.c.dirty[id] = true
	}
}

func (s *Session) cancel(seq uint64) {
	for id, cell := range s.c.cells {
		if cell.Cancel(s.id(seq)) {
			s.c.dirty[id] = true
		}
	}
}

func (s *Session) id(seq uint64) schedule.RequestID {
	return schedule.RequestID{Host: s.key.host, Incarnation: s.key.incarnation, Sequence: seq}
}

// refuseAll refuses the reservations of a batch that arrives before the first
// table is in force.
func (s *Session) refuseAll(req *peerv1.ReservationsRequest) {
	resp := &peerv1.ReservationsResponse{Acked: req.GetBatch()}
	for _, r := range req.GetReserves() {
		resp.Refusals = append(resp.Refusals, &peerv1.Refusal{
			Sequence: r.GetSequence(),
			Reason:   string(schedule.RefusedNoEndpoint),
		})
	}
	s.send(resp)
}
