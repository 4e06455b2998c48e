package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/beechhead/beechhead/internal/backlog"
	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/responseroom"
)

// Limits for callers where the configuration names none.
const (
	defaultHeadLimit   = 1 << 20
	defaultHeadTimeout = 10 * time.Second
	defaultIdle        = 2 * time.Minute
)

const (
	// headMargin is added to the time for a head: its first byte may be faster than the
	// last one.
	headMargin = time.Second
	// answerTimeout bounds a request to the directory and its response, which are short.
	answerTimeout = 10 * time.Second
	// unreadTimeout is how long a caller may read nothing of a response.
	unreadTimeout = 30 * time.Second
	// callerCheckInterval is how often it is checked which callers take too long.
	callerCheckInterval = 500 * time.Millisecond
	// callerPause is the time without a check from which on this daemon has been paused:
	// what callers have sent meanwhile has not been read.
	callerPause = 4 * callerCheckInterval
	// unboundedHead switches off the limit of net/http: that of the configuration changes.
	unboundedHead = 1 << 30
	// requestShare is the part, as a divisor, of what callers may make this daemon hold
	// that is for connections and requests; the rest is for responses.
	requestShare = 2
)

// callerCosts is how much a caller's request makes this daemon hold. A line becomes entries
// in two maps; the bytes of a head are copied for the endpoint; the buffer of a body is up
// to twice as long as what has come.
var callerCosts = callerconn.Costs{Line: 256, Head: 3, Body: 2}

// buildBudgets divides what callers may make this daemon hold.
func (g *Gateway) buildBudgets() {
	s := g.conf()
	memory, known := callerconn.ProcessMemory(), false
	if mb := s.Memory(); mb > 0 {
		memory, known = callerconn.Bytes(mb*(1<<20)), true
	}
	descriptors := s.Descriptors
	if descriptors == 0 {
		descriptors = callerconn.ProcessDescriptors()
	}
	total := backlog.Limit(backlog.Bytes(memory))
	requests := total / requestShare
	limit, maxConns := callerconn.Divide(callerconn.Bytes(requests), descriptors)
	g.callers = callerconn.NewBudget(g.clock, limit, maxConns)
	if known {
		g.backlog = backlog.NewBudget(g.clock, total-requests)
		g.backlog.Lent = func() backlog.Bytes { return backlog.Bytes(g.callers.Unused()) }
	}
	g.wholes, g.events = responseroom.New(int(total)), responseroom.New(int(total))
}

// newCallerServer returns a server for callers. callerconn bounds heads and the time for
// them, and ends idle connections.
func (g *Gateway) newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        h,
		MaxHeaderBytes: unboundedHead,
		ConnContext:    callerconn.WithConn,
		ConnState:      callerconn.OnState,
		ErrorLog:       slog.NewLogLogger(g.logger.Handler(), slog.LevelDebug),
	}
}

// newAnswerServer returns a server whose responses are short and made at once.
func (g *Gateway) newAnswerServer(h http.Handler) *http.Server {
	s := g.newCallerServer(h)
	s.WriteTimeout = answerTimeout
	return s
}

// callerLimits returns the limits of the configuration; zero fields if there is none.
func (g *Gateway) callerLimits() catalog.Limits {
	if c := g.holder.Catalog(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// headLimit returns the bound on the head of a request, in bytes.
func (g *Gateway) headLimit() int64 {
	if n := g.callerLimits().HeaderBytes; n > 0 {
		return n
	}
	return defaultHeadLimit
}

// takeBackLent ends responses for slow callers that use memory which other callers need now.
func (g *Gateway) takeBackLent() {
	if g.backlog != nil {
		g.backlog.TakeBack()
	}
}

// endLateCallers ends the connections of callers that take longer than they may.
func (g *Gateway) endLateCallers() {
	now := g.clock.Now()
	since := now.Sub(g.checkedCallers)
	if since < callerCheckInterval {
		return
	}
	g.checkedCallers = now
	if since >= callerPause {
		return
	}
	limits := g.callerLimits()
	t := callerconn.Times{Head: defaultHeadTimeout, Idle: defaultIdle, Write: unreadTimeout}
	if limits.Header > 0 {
		t.Head = limits.Header
	}
	if limits.Idle > 0 {
		t.Idle = limits.Idle
	}
	t.Head += headMargin
	t.Request = t.Head + bodyTimeout
	g.callers.EndLate(t)
}

// setRoomGauges sets the gauges of what responses hold before they are forwarded.
func (g *Gateway) setRoomGauges() {
	for name, room := range map[string]*responseroom.Room{"responses": g.wholes, "events": g.events} {
		f := room.Figures()
		g.metrics.Set(name+".heldBytes", int64(f.Held))
		g.metrics.Set(name+".gaveWay", f.GaveWay)
		g.metrics.Set(name+".noRoom", f.Refused)
	}
}

// setCallerGauges sets the gauges of what callers hold.
func (g *Gateway) setCallerGauges() {
	f := g.callers.Figures()
	g.metrics.Set("callers.connections", int64(f.Connections))
	g.metrics.Set("callers.bytes", int64(f.Held))
	g.metrics.Set("callers.idleClosed", f.IdleClosed)
	g.metrics.Set("callers.slowEnded", f.SlowEnded)
	g.metrics.Set("callers.unread", f.Unread)
	g.metrics.Set("callers.late", f.Late)
	g.metrics.Set("callers.refused", f.Refused)
	g.metrics.Set("callers.noRoom", f.NoRoom)
}
