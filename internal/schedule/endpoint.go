package schedule

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// endpointState is the state of one endpoint.
type endpointState struct {
	// Engine is the state of the endpoint in the engine pool. Its Running counts
	// grants, and can exceed the concurrency only through grants that another
	// coordinator issued.
	batching.Engine
	policy EndpointPolicy
	// addedAt is when the endpoint became known. What was granted before may have run in
	// the process that it replaces.
	addedAt time.Duration
	// outstanding is the estimated work of the running grants, in tokens.
	outstanding float64
	// lastGrant is the sequence number of the last grant; it breaks ties.
	lastGrant uint64
	load      loadReport
	health    health
	limit     rateLimit
	brittle   brittleness
	// removed reports whether the endpoint was removed from the configuration.
	removed bool
	// leaving reports whether the endpoint itself has said that it is leaving. Its
	// policy is then that of a draining endpoint, whatever is configured.
	leaving bool
}

// newEndpoint returns an endpoint that has no policy yet.
func (c *Cell) newEndpoint() *endpointState {
	e := &endpointState{addedAt: c.now()}
	e.Free = e.hasFreeSlot
	e.Ejected = e.health.ejected
	e.RateLimited = e.limit.throttled
	e.Slowdown = func() float64 { return c.engineSlowdown(e) }
	return e
}

// setPolicy applies the configuration of the endpoint.
func (e *endpointState) setPolicy(p EndpointPolicy) {
	p.Draining = p.Draining || e.leaving
	e.policy = p
	e.Rename(string(p.Name))
	e.Memory, e.Concurrency, e.Zone = p.CacheTokens, p.Concurrency, p.Zone
	e.Closed = p.Draining
}

// SetLeaving records that an endpoint has said that it is leaving.
func (c *Cell) SetLeaving(name Endpoint) {
	if e := c.endpoints[name]; e != nil && !e.leaving {
		e.leaving = true
		e.setPolicy(e.policy)
	}
}

// loadReport is the last load report of an endpoint, compared with the cell's
// own grants.
type loadReport struct {
	at    time.Duration
	known bool
	// foreign counts the requests beyond the cell's own grants.
	foreign int
	// peakRunning is the maximum number of the cell's running grants since the
	// report. The next report is compared with it, so that grants that ended
	// while that report was in transit are not taken for requests of others.
	peakRunning int
}

const (
	// reportLifetime is how long a load report is used.
	reportLifetime = 5 * time.Second
	// promptTokenWeight is the work of a prompt token relative to a generated
	// token. It is small because engines process prompts in large batches.
	promptTokenWeight = 1.0 / 32
	// affinityLoadFactor limits prefix affinity: the endpoint that has cached the
	// prefix is preferred while its load is below this multiple of the mean.
	affinityLoadFactor = 1.25
)

func estimateWork(promptTokens, tokens int) float64 {
	return float64(promptTokens)*promptTokenWeight + float64(max(1, tokens))
}

// foreign returns the number of requests that others run on the endpoint,
// according to its last load report. It supplements the cell's own count of
// grants: a report alone is not enough, because it lags and many requests can be
// granted before the next one.
func (e *endpointState) foreign(now time.Duration) int {
	if !e.load.known || now-e.load.at > reportLifetime {
		return 0
	}
	return e.load.foreign
}

// hasFreeSlot reports whether the endpoint can take another grant. Requests of
// others occupy slots too, so that requests queue here, in scheduling order, and
// not in the engine. One slot is always left to the cell, because the load
// report may be wrong.
func (e *endpointState) hasFreeSlot(now time.Duration) bool {
	if e.policy.Draining || e.removed || e.limit.throttled(now) {
		return false
	}
	limit := e.health.grantLimit(e.policy.Concurrency, now)
	if e.Running >= limit || !e.brittle.admits(e.Running, now) {
		return false
	}
	return e.Running == 0 || e.Running+e.foreign(now) < limit
}

// chooseEndpoint returns the endpoint for a request, or nil if none is free. It
// also returns the engine from which to fetch parts of the prompt, if any.
func (c *Cell) chooseEndpoint(g *entry, now time.Duration) (best *endpointState, source *batching.Engine) {
	r := &g.request
	switch c.discipline {
	case RoundRobin:
		return c.chooseRoundRobin(r, now), nil
	case LeastOutstanding:
		return c.chooseLeastOutstanding(r, now), nil
	}
	p := batching.Candidate{Prompt: &g.Prompt}
	if c.pool.Batches() {
		p = c.pool.Candidate(&g.RequestState, r.excludes(), now)
	}
	if preferred := c.prefixes.get(r.Prefix); preferred != nil && c.withinAffinityBound(preferred) && c.usable(preferred, r, &p, now) {
		return preferred, nil
	}
	var least float64
	for _, e := range c.sortedEndpoints {
		if !c.usable(e, r, &p, now) {
			continue
		}
		cost, from := c.placementCost(e, &p, g.work, now)
		if best == nil || cost < least || (cost == least && e.lastGrant < best.lastGrant) {
			best, source, least = e, from, cost
		}
	}
	return best, source
}

func (c *Cell) usable(e *endpointState, r *Request, p *batching.Candidate, now time.Duration) bool {
	return e.hasFreeSlot(now) && e.mayRun(r) && c.pool.Accepts(&e.Engine, p, now)
}

// mayRun reports whether a request may be sent to the endpoint at all.
func (e *endpointState) mayRun(r *Request) bool {
	if r.Version != nil && *r.Version != e.policy.Version {
		return false
	}
	return len(r.Excluded) == 0 || !slices.Contains(r.Excluded, e.policy.Name)
}

// excludes returns a function that reports whether an endpoint is excluded; nil if none is.
func (r *Request) excludes() func(name string) bool {
	if len(r.Excluded) == 0 {
		return nil
	}
	return func(name string) bool { return slices.Contains(r.Excluded, Endpoint(name)) }
}

// placementCost returns the cost of running a request on an endpoint; the lowest
// is best. For a batching engine it also returns the engine to fetch parts of the
// prompt from.
func (c *Cell) placementCost(e *endpointState, p *batching.Candidate, work float64, now time.Duration) (float64, *batching.Engine) {
	if e.Memory > 0 {
		return c.pool.Cost(&e.Engine, p, now)
	}
	return c.expectedBusyTime(e, work, now), nil
}

// expectedBusyTime returns how long the endpoint is expected to be busy with its
// outstanding work and the request, per slot. The unit is the time that an
// endpoint of median speed takes per token.
func (c *Cell) expectedBusyTime(e *endpointState, work float64, now time.Duration) float64 {
	total := e.outstanding + work + float64(e.foreign(now))*c.meanWork.Value
	return total * e.health.slowness(c.medianTokenTime) / float64(e.policy.Concurrency)
}

// withinAffinityBound reports whether the load of an endpoint is close enough to
// the mean for prefix affinity to apply.
func (c *Cell) withinAffinityBound(e *endpointState) bool {
	share := float64(c.running+1) * float64(e.policy.Concurrency) / float64(max(1, c.totalSlots))
	return float64(e.Running) < affinityLoadFactor*share
}

// chooseRoundRobin selects an endpoint for the baseline RoundRobin.
func (c *Cell) chooseRoundRobin(r *Request, now time.Duration) *endpointState {
	for range c.sortedEndpoints {
		e := c.sortedEndpoints[c.roundRobinIndex%len(c.sortedEndpoints)]
		c.roundRobinIndex++
		if e.baselineUsable(r, now) {
			return e
		}
	}
	return nil
}

// chooseLeastOutstanding selects an endpoint for the baseline LeastOutstanding.
func (c *Cell) chooseLeastOutstanding(r *Request, now time.Duration) *endpointState {
	var best *endpointState
	for _, e := range c.sortedEndpoints {
		if !e.baselineUsable(r, now) {
			continue
		}
		if best == nil || e.Running < best.Running || (e.Running == best.Running && e.lastGrant < best.lastGrant) {
			best = e
		}
	}
	return best
}

func (e *endpointState) baselineUsable(r *Request, now time.Duration) bool {
	return !e.policy.Draining && !e.limit.throttled(now) && e.Running < e.policy.Concurrency && e.mayRun(r)
}

// prefixSlots is the size of the prefix table.
const prefixSlots = 4096

// prefixTable maps prompt prefixes to the endpoints that have probably cached
// them. Its entries are hints: colliding prefixes overwrite each other, and an
// entry may be out of date.
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
	if s.prefix != prefix || s.endpoint.removed {
		return nil
	}
	return s.endpoint
}

// put records the endpoint of a prefix, unless the recorded one still takes
// requests: a request that was sent elsewhere because that endpoint was full must
// not move the prefix.
func (t *prefixTable) put(prefix uint64, e *endpointState, now time.Duration) {
	if prefix == 0 {
		return
	}
	if current := t.get(prefix); current != nil && !current.policy.Draining && !current.health.ejected(now) {
		return
	}
	if t.slots == nil {
		t.slots = make([]prefixSlot, prefixSlots)
	}
	t.slots[prefix%prefixSlots] = prefixSlot{prefix: prefix, endpoint: e}
}
