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

// Session is the coordinator's end of one entry daemon's reservations. Its
// fields belong to the coordinator's lock.
type Session struct {
	c    *Coordinator
	key  sessionKey
	send func(*peerv1.ReservationsResponse)
	// forgotten says that the daemon's state was dropped meanwhile.
	forgotten bool
	// heard is when the last batch came.
	heard time.Time
	// begun says that a batch was acknowledged.
	begun bool
	// unacked is the last batch if it is still to be acknowledged, since the
	// time unackedSince; owing says that the coordinator's list has the session.
	unacked      uint64
	unackedSince time.Time
	owing        bool
}

// ackDelay is how long an acknowledgement may wait for an answer that it can
// travel with. It is far below the time after which a link counts as silent.
const ackDelay = 100 * time.Millisecond

// Attach opens a session. The function send must not block.
func (c *Coordinator) Attach(hello *peerv1.Hello, send func(*peerv1.ReservationsResponse)) *Session {
	s := &Session{
		c:    c,
		key:  sessionKey{schedule.Host(hello.GetHost()), hello.GetIncarnation()},
		send: send,

		heard: c.clock.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[s.key] = s
	return s
}

// Close ends the session. What it holds stays until its host is dropped or
// opens a new session.
func (s *Session) Close() {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.c.sessions[s.key] == s {
		delete(s.c.sessions, s.key)
	}
}

// Handle takes one batch of a session.
func (s *Session) Handle(req *peerv1.ReservationsRequest) {
	c := s.c
	c.mu.Lock()
	if c.sessions[s.key] != s {
		// A newer session of the same daemon has taken over; what is left
		// of this one was reported there.
		c.mu.Unlock()
		return
	}
	if c.plan == nil {
		s.forgotten = true
		c.mu.Unlock()
		s.refuseAll(req)
		return
	}
	s.heard = c.clock.Now()
	reset := s.forgotten && !req.GetHoldingsComplete()
	if !reset {
		s.take(req)
	}
	s.received(req.GetBatch())
	out := c.step()
	if !s.begun && s.unacked > 0 {
		// The first acknowledgement tells that the coordinator is there.
		out.to(s)
	}
	if reset {
		// What the batch says comes again with the report. Taken now, it would
		// stay for ever if the batch was on its way when its daemon ended.
		out.to(s).Reset_ = true
	}
	c.mu.Unlock()
	out.deliver()
}

// received notes a batch that is to be acknowledged.
func (s *Session) received(batch uint64) {
	if batch == 0 {
		return
	}
	if s.unacked == 0 {
		s.unackedSince = s.heard
	}
	s.unacked = batch
	if !s.owing {
		s.owing = true
		s.c.owing = append(s.c.owing, s)
	}
}

// acknowledge sends the acknowledgements that have found no answer to travel
// with. The caller holds the lock.
func (c *Coordinator) acknowledge(out delivery) {
	now := c.clock.Now()
	c.owing = slices.DeleteFunc(c.owing, func(s *Session) bool {
		if s.unacked > 0 && now.Sub(s.unackedSince) >= ackDelay && c.sessions[s.key] == s {
			out.to(s)
		}
		s.owing = s.unacked > 0 && c.sessions[s.key] == s
		return !s.owing
	})
}

// take gives a batch to the cells. A batch may be merged from several, so a
// reserve and its cancel can stand in one: cancels and releases come last.
func (s *Session) take(req *peerv1.ReservationsRequest) {
	c := s.c
	for _, h := range req.GetHoldings() {
		cell := c.cell(ID(h.GetCell()))
		cell.heard = s.heard
		cell.Hold(s.holding(h))
	}
	for _, r := range req.GetReserves() {
		c.cell(ID(r.GetCell())).Reserve(s.request(r))
	}
	for _, l := range req.GetLimits() {
		age := time.Duration(l.GetAgeMs()) * time.Millisecond
		c.cell(ID(l.GetCell())).Limit(schedule.Endpoint(l.GetEndpoint()), l.GetPerSecond(), age)
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
		cell.heard = s.heard
		cell.reported[s.key.host] = true
	}
	if req.GetHoldingsComplete() {
		s.reconcile(req)
	}
}

// reconcile takes a batch as the report of all that the daemon has here.
// Releases and cancels may have been lost with an earlier connection; what the
// report does not mention is over.
func (s *Session) reconcile(req *peerv1.ReservationsRequest) {
	s.forgotten = false
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

// release ends a grant. The cell is not named if the entry daemon no longer
// knows the request.
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

// refuseAll answers reserves that come before any table is in force.
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
