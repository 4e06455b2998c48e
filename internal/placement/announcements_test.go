package placement

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
)

const (
	advertisedPerSecond = 2
	// In limitWindow, an endpoint may receive one and a half times the requests
	// that its limit allows, plus limitSlack.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// waitingPerHost is the number of requests that wait at each host.
	waitingPerHost = 6
)

// loadGenerator keeps requests for one endpoint waiting at all hosts, and records
// when they reach it.
type loadGenerator struct {
	*cluster
	calls map[*node][]*call
	// arrived holds the arrival times of requests from connected hosts.
	arrived []time.Time
	// perSecond is the limit that the endpoint advertises; zero means none.
	perSecond float64
}

func newLoadGenerator(t *testing.T, hosts int) *loadGenerator {
	tbl := testTable(1, 0)
	tbl.Endpoints[0].Concurrency = 64
	return &loadGenerator{cluster: newClusterWith(t, hosts, cell.DefaultSize, tbl), calls: map[*node][]*call{}, perSecond: advertisedPerSecond}
}

// step issues new requests and lets the endpoint respond to the granted ones.
func (c *loadGenerator) step() {
	for _, n := range c.nodes {
		if n.dead {
			continue
		}
		for len(c.calls[n]) < waitingPerHost {
			c.calls[n] = append(c.calls[n], c.reserve(n))
		}
		var waiting []*call
		for _, one := range c.calls[n] {
			if !one.isDone() {
				waiting = append(waiting, one)
				continue
			}
			c.respond(n, one)
		}
		c.calls[n] = waiting
	}
	c.run(100 * time.Millisecond)
	c.eventually(c.delivered)
}

// delivered reports whether every grant has reached the call that waits for it.
func (c *loadGenerator) delivered() bool {
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

// grantedCount returns the number of grants that the host holds.
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

func (c *loadGenerator) respond(n *node, done *call) {
	c.t.Helper()
	if done.err != nil {
		c.t.Fatal(done.err)
	}
	if !n.cutOff {
		c.arrived = append(c.arrived, c.clock.Now())
	}
	limit := Limit{Known: true}
	if c.perSecond > 0 {
		limit = AdvertisedLimit(c.perSecond)
	}
	done.grant.RecordAnnouncement(Announcement{Limit: limit})
	done.grant.Release(released)
}

func (c *loadGenerator) runFor(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		c.step()
	}
}

// maxInWindow returns the largest number of requests that arrived in any window.
func (c *loadGenerator) maxInWindow() (most int) {
	from := 0
	for i, at := range c.arrived {
		for at.Sub(c.arrived[from]) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// cancelWaiting cancels the waiting requests.
func (c *loadGenerator) cancelWaiting() {
	for _, calls := range c.calls {
		for _, one := range calls {
			one.cancel()
		}
	}
}

// Guards against an endpoint receiving more than its limit when its coordinator
// fails, is cut off together with its requests, or leaves: each next coordinator
// must know the limit before it grants anything.
func TestLimitHoldsOverChangesOfCoordinator(t *testing.T) {
	c := newLoadGenerator(t, 6)
	defer c.cancelWaiting()
	ranked := c.ranked()
	c.runFor(2 * time.Second)
	c.arrived = nil
	c.runFor(4 * time.Second)
	c.kill(ranked[0])
	c.runFor(4 * time.Second)
	ranked[1].cutOff = true
	c.runFor(6 * time.Second)
	leaving := ranked[2]
	leaving.info.State = membership.Leaving
	leaving.info.Sequence++
	leaving.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	c.runFor(4 * time.Second)
	allowed := advertisedPerSecond*3*int(limitWindow/time.Second)/2 + limitSlack
	if got := c.maxInWindow(); got > allowed {
		t.Errorf("endpoint received %d requests in %v, want at most %d", got, limitWindow, allowed)
	}
	if len(c.arrived) < 18*advertisedPerSecond/2 {
		t.Errorf("endpoint received only %d requests in 18 s", len(c.arrived))
	}
}

// Guards against a limit that never ends: once the endpoint advertises none, it
// must receive the waiting requests.
func TestLimitEndsWithTheAnswers(t *testing.T) {
	c := newLoadGenerator(t, 3)
	defer c.cancelWaiting()
	c.runFor(2 * time.Second)
	c.perSecond = 0
	c.runFor(time.Second)
	c.arrived = nil
	c.runFor(time.Second)
	if len(c.arrived) < 10*3*waitingPerHost/2 {
		t.Errorf("endpoint received only %d requests in the second after its limit ended", len(c.arrived))
	}
}
