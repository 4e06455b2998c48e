package placement

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
)

const (
	namedPerSecond = 2
	// limitWindow is the span in which an endpoint may get one and a half times
	// what its limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// waitingEach is how many requests wait at each host all the time.
	waitingEach = 6
)

// crowd keeps requests waiting at all hosts for one endpoint, and notes when
// they reach it.
type crowd struct {
	*site
	calls map[*node][]*call
	// arrived has when requests came from hosts that were not cut off.
	arrived []time.Time
	// perSecond is the limit that the endpoint names; zero is none.
	perSecond float64
}

func newCrowd(t *testing.T, hosts int) *crowd {
	tbl := testTable(1, 0)
	tbl.Endpoints[0].Concurrency = 64
	return &crowd{site: newSiteOf(t, hosts, cell.DefaultSize, tbl), calls: map[*node][]*call{}, perSecond: namedPerSecond}
}

// step lets requests come, and the endpoint answer those that have got a place.
func (c *crowd) step() {
	for _, n := range c.nodes {
		if n.dead {
			continue
		}
		for len(c.calls[n]) < waitingEach {
			c.calls[n] = append(c.calls[n], c.reserve(n))
		}
		var waiting []*call
		for _, one := range c.calls[n] {
			if !one.isDone() {
				waiting = append(waiting, one)
				continue
			}
			c.answer(n, one)
		}
		c.calls[n] = waiting
	}
	c.run(100 * time.Millisecond)
	c.settle(c.delivered)
}

// delivered tells whether every grant has reached the call that waits for it.
func (c *crowd) delivered() bool {
	for _, n := range c.nodes {
		done := 0
		for _, one := range c.calls[n] {
			if one.isDone() {
				done++
			}
		}
		if !n.dead && done != n.grantedCount() {
			return false
		}
	}
	return true
}

// grantedCount returns how many grants the host holds.
func (n *node) grantedCount() (granted int) {
	n.placer.mu.Lock()
	defer n.placer.mu.Unlock()
	for _, w := range n.placer.pending {
		if w.endpoint != "" {
			granted++
		}
	}
	return granted
}

func (c *crowd) answer(n *node, one *call) {
	c.t.Helper()
	if one.err != nil {
		c.t.Fatal(one.err)
	}
	if !n.cutOff {
		c.arrived = append(c.arrived, c.clock.Now())
	}
	said := Limit{Known: true}
	if c.perSecond > 0 {
		said = NamedLimit(c.perSecond)
	}
	one.grant.Answered(said)
	one.grant.Release(released)
}

func (c *crowd) steps(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		c.step()
	}
}

// most returns the greatest number of requests that came within a window.
func (c *crowd) most() (most int) {
	from := 0
	for i, at := range c.arrived {
		for at.Sub(c.arrived[from]) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// end gives up what waits.
func (c *crowd) end() {
	for _, calls := range c.calls {
		for _, one := range calls {
			one.cancel()
		}
	}
}

// Guards against an endpoint getting more than it takes while its coordinator
// dies, is cut off with its requests, and leaves: each next one must know the
// limit before it grants anything.
func TestLimitHoldsOverChangesOfCoordinator(t *testing.T) {
	c := newCrowd(t, 6)
	defer c.end()
	ranked := c.ranked()
	c.steps(2 * time.Second)
	c.arrived = nil
	c.steps(4 * time.Second)
	c.kill(ranked[0])
	c.steps(4 * time.Second)
	ranked[1].cutOff = true
	c.steps(6 * time.Second)
	leaving := ranked[2]
	leaving.info.State = membership.Leaving
	leaving.info.Sequence++
	leaving.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	c.steps(4 * time.Second)
	allowed := namedPerSecond*3*int(limitWindow/time.Second)/2 + limitSlack
	if got := c.most(); got > allowed {
		t.Errorf("%d requests in %v, at most %d may be sent", got, limitWindow, allowed)
	}
	if len(c.arrived) < 18*namedPerSecond/2 {
		t.Errorf("only %d requests in 18 s", len(c.arrived))
	}
}

// Guards against a limit that never ends: once the endpoint names none, it gets
// what waits for it.
func TestLimitEndsWithTheAnswers(t *testing.T) {
	c := newCrowd(t, 3)
	defer c.end()
	c.steps(2 * time.Second)
	c.perSecond = 0
	c.steps(time.Second)
	c.arrived = nil
	c.steps(time.Second)
	if len(c.arrived) < 10*3*waitingEach/2 {
		t.Errorf("%d requests in a second after the limit has ended", len(c.arrived))
	}
}
