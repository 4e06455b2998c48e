package schedule

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// endpointState is what the cell knows of one endpoint.
type endpointState struct {
	// Engine is what the choice among engines knows of it. Running counts
	// grants; it exceeds the concurrency only by grants that another
	// coordinator gave.
	batching.Engine
	policy EndpointPolicy
	// outstanding is the estimated work of the running grants, in tokens.
	outstanding float64
	// turn is the number of the last grant, which breaks ties.
	turn   uint64
	load   loadReport
	health health
	limit  limit
	// gone says that the table no longer has the endpoint.
	gone bool
}

// newEndpoint returns an endpoint without a policy.
func (c *Cell) newEndpoint() *endpointState {
	e := &endpointState{}
	e.Free = e.free
	e.Ejected = e.health.ejected
	e.Paced = e.limit.paced
	e.Sluggishness = func() float64 { return c.sluggishness(&e.health) }
	return e
}

// setPolicy puts what the table says of the endpoint in force.
func (e *endpointState) setPolicy(p EndpointPolicy) {
	e.policy = p
	e.Rename(string(p.Name))
	e.Memory, e.Concurrency, e.Zone = p.Memory, p.Concurrency, p.Zone
	e.Closed = p.Draining
}

// loadReport is the newest load report with what the cell itself ran then.
type loadReport struct {
	at    time.Duration
	known bool
	// foreign counts requests beyond the cell's own grants.
	foreign int
	// peak is the most grants that the cell ran since the report. The next
	// report is compared with it: grants that ended while the report was on
	// its way must not look like work of others.
	peak int
}

const (
	// reportLifetime is how long a load report is believed.
	reportLifetime = 5 * time.Second
	// promptShare is the work of a token of the prompt, in generated tokens.
	// Engines take prompts in by large batches.
	promptShare = 1.0 / 32
	// affinityBound is by how much the endpoint that has the prefix may
	// exceed the mean load and still be taken.
	affinityBound = 1.25
)

func workOf(promptTokens, tokens int) float64 {
	return float64(promptTokens)*promptShare + float64(max(1, tokens))
}

// foreign returns the requests that others run on the endpoint, by its last
// report. The report alone would never do: it lags, and many requests can be
// granted before the next one.
func (e *endpointState) foreign(now time.Duration) int {
	if !e.load.known || now-e.load.at > reportLifetime {
		return 0
	}
	return e.load.foreign
}

// free tells whether a grant fits. Work that others put on the endpoint takes
// places too, so that requests wait here, where they are in order, and not in
// the engine; but one place always stays, because the report may be wrong.
func (e *endpointState) free(now time.Duration) bool {
	if e.policy.Draining || e.gone || e.limit.paced(now) {
		return false
	}
	limit := e.health.limit(e.policy.Concurrency, now)
	if e.Running >= limit {
		return false
	}
	return e.Running == 0 || e.Running+e.foreign(now) < limit
}

// choose returns the endpoint for a request, or nil if none is free.
// It also returns the engine from which parts of the prompt are to be fetched.
func (c *Cell) choose(g *entry, now time.Duration) (best *endpointState, source *batching.Engine) {
	r := &g.request
	switch c.discipline {
	case RoundRobin:
		return c.inTurn(r, now), nil
	case LeastOutstanding:
		return c.fewestGrants(r, now), nil
	}
	p := batching.Candidate{Prompt: &g.Prompt}
	if c.pool.Batches() {
		p = c.pool.Candidate(&g.Work, now)
	}
	if home := c.prefixes.get(r.Prefix); home != nil && c.withinBound(home) && c.usable(home, r, &p, now) {
		return home, nil
	}
	var least float64
	for _, e := range c.list {
		if !c.usable(e, r, &p, now) {
			continue
		}
		cost, from := c.costOf(e, &p, g.work, now)
		if best == nil || cost < least || (cost == least && e.turn < best.turn) {
			best, source, least = e, from, cost
		}
	}
	return best, source
}

func (c *Cell) usable(e *endpointState, r *Request, p *batching.Candidate, now time.Duration) bool {
	return e.free(now) && c.pool.Takes(&e.Engine, p, now) && (len(r.Excluded) == 0 || !slices.Contains(r.Excluded, e.policy.Name))
}

// costOf is the cost of a request at an endpoint; the least is best.
func (c *Cell) costOf(e *endpointState, p *batching.Candidate, work float64, now time.Duration) (float64, *batching.Engine) {
	if e.Memory > 0 {
		return c.pool.Cost(&e.Engine, p, now)
	}
	return c.cost(e, work, now), nil
}

// cost is how long the endpoint is expected to be busy with its work and the
// request's, in tokens of an endpoint of median speed per place.
func (c *Cell) cost(e *endpointState, work float64, now time.Duration) float64 {
	total := e.outstanding + work + float64(e.foreign(now))*c.meanWork.Value
	return total * e.health.slowness(c.medianToken) / float64(e.policy.Concurrency)
}

// withinBound tells whether an endpoint's load is close enough to the mean
// for a request to follow its prefix there.
func (c *Cell) withinBound(e *endpointState) bool {
	share := float64(c.running+1) * float64(e.policy.Concurrency) / float64(max(1, c.places))
	return float64(e.Running) < affinityBound*share
}

// inTurn is the choice of the baseline RoundRobin.
func (c *Cell) inTurn(r *Request, now time.Duration) *endpointState {
	for range c.list {
		e := c.list[c.turn%len(c.list)]
		c.turn++
		if e.plainlyFree(r, now) {
			return e
		}
	}
	return nil
}

// fewestGrants is the choice of the baseline LeastOutstanding.
func (c *Cell) fewestGrants(r *Request, now time.Duration) *endpointState {
	var best *endpointState
	for _, e := range c.list {
		if !e.plainlyFree(r, now) {
			continue
		}
		if best == nil || e.Running < best.Running || (e.Running == best.Running && e.turn < best.turn) {
			best = e
		}
	}
	return best
}

func (e *endpointState) plainlyFree(r *Request, now time.Duration) bool {
	return !e.policy.Draining && !e.limit.paced(now) && e.Running < e.policy.Concurrency && !slices.Contains(r.Excluded, e.policy.Name)
}

// prefixSlots is how many prefixes a cell remembers.
const prefixSlots = 4096

// prefixTable remembers on which endpoint a prompt's prefix was seen. It is a
// hint only: its entries overwrite each other and may be out of date.
type prefixTable struct {
	slots []prefixSlot
}

type prefixSlot struct {
	prefix   uint64
	endpoint *endpointState
}

func (t *prefixTable) get(prefix uint64) *endpointState {
	if prefix == 0 || t.slots == nil {
		return nil
	}
	s := &t.slots[prefix%prefixSlots]
	if s.prefix != prefix || s.endpoint.gone {
		return nil
	}
	return s.endpoint
}

// put remembers an endpoint unless the prefix has a home that still works: a
// request that was sent elsewhere because its home was full must not move it.
func (t *prefixTable) put(prefix uint64, e *endpointState, now time.Duration) {
	if prefix == 0 {
		return
	}
	if home := t.get(prefix); home != nil && !home.policy.Draining && !home.health.ejected(now) {
		return
	}
	if t.slots == nil {
		t.slots = make([]prefixSlot, prefixSlots)
	}
	t.slots[prefix%prefixSlots] = prefixSlot{prefix: prefix, endpoint: e}
}
