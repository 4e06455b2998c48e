package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

const (
	// A brittle engine terminates when it turns away more than brittleRefusals
	// requests within a second. It has room for brittleRoom of the brittleSlots that it
	// registered, and runs each request for brittleRunTime.
	brittleRefusals = 2
	brittleRoom     = 2
	brittleSlots    = 8
	brittleRunTime  = 400 * time.Millisecond
	// brittleWaiting is the number of requests that wait at each host.
	brittleWaiting = 4
)

var isBrittle = Announcement{Brittleness: Brittleness{Known: true, RefusalsPerSecond: brittleRefusals}}

// brittleEngine is the only engine of a pool. All hosts keep requests for it waiting.
type brittleEngine struct {
	*cluster
	calls   map[*node][]*call
	running []*brittleRun
	// refusedAt holds the times of the refusals within a second.
	refusedAt []time.Time
	// served counts the requests that the engine has run, falls how often it has
	// terminated.
	served, falls int
}

// brittleRun is a request that the engine runs until a time. Its first token is sent
// a tick after it began.
type brittleRun struct {
	from  *node
	grant *Grant
	until time.Time
	begun bool
}

func newBrittleEngine(t *testing.T, hosts int) *brittleEngine {
	tbl := testTable(1, 0)
	tbl.Endpoints[0].Concurrency = brittleSlots
	return &brittleEngine{cluster: newClusterWith(t, hosts, cell.DefaultSize, tbl), calls: map[*node][]*call{}}
}

func (c *brittleEngine) runFor(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		c.step()
	}
}

func (c *brittleEngine) step() {
	c.endRuns()
	for _, n := range c.nodes {
		if n.dead || n.paused {
			continue
		}
		c.calls[n] = slices.DeleteFunc(c.calls[n], func(one *call) bool {
			if one.isDone() {
				c.receive(n, one)
			}
			return one.isDone()
		})
		for len(c.calls[n]) < brittleWaiting {
			c.calls[n] = append(c.calls[n], c.reserve(n))
		}
	}
	c.run(100 * time.Millisecond)
	c.eventually(c.delivered)
}

// delivered reports whether every grant has reached the call that waits for it.
func (c *brittleEngine) delivered() bool {
	for _, n := range c.nodes {
		done := 0
		for _, one := range c.calls[n] {
			if one.isDone() {
				done++
			}
		}
		for _, r := range c.running {
			if r.from == n {
				done++
			}
		}
		if !n.dead && !n.paused && done != n.grantedCount() {
			return false
		}
	}
	return true
}

// endRuns ends the requests that have run long enough. A paused host reads nothing.
func (c *brittleEngine) endRuns() {
	c.running = slices.DeleteFunc(c.running, func(r *brittleRun) bool {
		if r.from.paused || r.from.dead {
			return r.from.dead
		}
		if !r.begun {
			r.begun = true
			r.grant.RecordToken()
		}
		if c.clock.Now().Before(r.until) {
			return false
		}
		r.grant.Release(released)
		c.served++
		return true
	})
}

// receive lets the engine run a request, or turn it away for want of room.
func (c *brittleEngine) receive(n *node, one *call) {
	c.t.Helper()
	if one.err != nil {
		c.t.Fatal(one.err)
	}
	one.grant.RecordAnnouncement(isBrittle)
	now := c.clock.Now()
	if len(c.running) < brittleRoom {
		c.running = append(c.running, &brittleRun{from: n, grant: one.grant, until: now.Add(brittleRunTime)})
		return
	}
	one.grant.Release(Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT})
	c.refusedAt = slices.DeleteFunc(append(c.refusedAt, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(c.refusedAt) > brittleRefusals {
		c.falls++
		c.refusedAt = nil
	}
}

func (c *brittleEngine) cancelWaiting() {
	for _, calls := range c.calls {
		for _, one := range calls {
			one.cancel()
		}
	}
}

// Guards against a brittle engine that terminates when its coordinator leaves: the next
// one must know what the engine has just turned away, and what it may still turn away.
func TestBrittleEngineSurvivesChangesOfCoordinator(t *testing.T) {
	c := newBrittleEngine(t, 4)
	defer c.cancelWaiting()
	first := c.ranked()[0]
	c.runFor(3 * time.Second)
	c.falls = 0
	const changes = 12
	for i := range changes {
		state := membership.Leaving
		if i%2 == 1 {
			state = membership.Ready
		}
		c.setState(first, state)
		// The changes meet the engine at different times after a refusal.
		c.runFor(time.Second + time.Duration(i)*100*time.Millisecond)
	}
	if c.falls > 0 {
		t.Errorf("the engine terminated %d times at %d changes of its coordinator", c.falls, changes)
	}
	t.Logf("%d requests served", c.served)
}

// Guards against a brittle engine that terminates when its coordinator goes on after a
// pause: others have granted its room meanwhile, so that it must hear of them first.
func TestBrittleEngineSurvivesPausesOfItsCoordinator(t *testing.T) {
	c := newBrittleEngine(t, 4)
	defer c.cancelWaiting()
	first := c.ranked()[0]
	c.runFor(3 * time.Second)
	c.falls = 0
	const pauses = 6
	for i := range pauses {
		c.pause(first)
		c.runFor(3*time.Second + time.Duration(i)*200*time.Millisecond)
		c.resume(first)
		c.runFor(2 * time.Second)
	}
	if c.falls > 0 {
		t.Errorf("the engine terminated %d times at %d pauses of its coordinator", c.falls, pauses)
	}
	t.Logf("%d requests served", c.served)
}

// Guards against a new coordinator that grants a brittle engine more requests than it
// can still turn away, since the refusals were known to the last one only.
func TestNextCoordinatorKnowsRefusals(t *testing.T) {
	c := newBrittleEngine(t, 3)
	ranked := c.ranked()
	entry := ranked[2]
	for range brittleRefusals {
		g := c.awaitGrant(c.reserve(entry))
		g.RecordAnnouncement(isBrittle)
		g.Release(Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT})
	}
	c.kill(ranked[0])
	c.run(500 * time.Millisecond)
	next := c.reserve(entry)
	c.assertWaiting(next, "by the next coordinator, within a second of the refusals")
	c.run(time.Second)
	c.awaitGrant(next).Release(released)
}

// Guards against a coordinator that comes back and does not know what it has missed: in
// a large fleet, only what is reserved there tells it.
func TestCoordinatorThatReturnsKnowsRefusals(t *testing.T) {
	for _, tt := range []struct {
		name  string
		waits bool
	}{{"waiting request", true}, {"new request", false}} {
		t.Run(tt.name, func(t *testing.T) {
			c := newBrittleEngine(t, cell.ReportAllMaxHosts+1)
			ranked := c.ranked()
			entry := ranked[2]
			g := c.awaitGrant(c.reserve(entry))
			g.RecordAnnouncement(isBrittle)
			g.Release(released)
			c.setState(ranked[0], membership.Leaving)
			c.run(time.Second)
			for range brittleRefusals {
				g := c.awaitGrant(c.reserve(entry))
				g.RecordAnnouncement(isBrittle)
				g.Release(Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT})
			}
			var next *call
			if tt.waits {
				next = c.reserve(entry)
			}
			c.setState(ranked[0], membership.Ready)
			c.run(500 * time.Millisecond)
			if !tt.waits {
				next = c.reserve(entry)
			}
			c.assertWaiting(next, "within a second of the refusals")
			c.run(time.Second)
			c.awaitGrant(next).Release(released)
		})
	}
}

// Guards against a new coordinator that takes engines for sound, since the engine of the
// pool that had stated that it is brittle has ended and the others have not responded
// yet.
func TestNextCoordinatorKnowsThatThePoolIsBrittle(t *testing.T) {
	c := newBrittleEngine(t, 3)
	ranked := c.ranked()
	entry := ranked[2]
	g := c.awaitGrant(c.reserve(entry))
	g.RecordAnnouncement(isBrittle)
	g.Release(released)
	tbl := testTable(2, 0)
	tbl.Endpoints = tbl.Endpoints[1:]
	tbl.Endpoints[0].Concurrency = brittleSlots
	for _, n := range c.nodes {
		n.coordinator.Configure(tbl)
		n.placer.Configure(tbl)
	}
	c.kill(ranked[0])
	c.run(time.Second)
	var calls []*call
	for range brittleSlots {
		calls = append(calls, c.reserve(entry))
	}
	c.eventually(func() bool { return entry.grantedCount() >= brittleRefusals })
	granted := 0
	for _, one := range calls {
		if one.isDone() {
			granted++
		}
		defer one.cancel()
	}
	if granted > brittleRefusals {
		t.Errorf("the new engine was granted %d requests at once, %d can be turned away", granted, brittleRefusals)
	}
}
