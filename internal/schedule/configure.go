package schedule

import (
	"slices"

	"github.com/beechhead/beechhead/internal/batching"
)

// Configure applies a new configuration. Waiting requests of removed classes
// are refused with the next step; existing grants are kept.
func (c *Cell) Configure(cfg Config) {
	c.discipline = cfg.Discipline
	c.maxWaiting = cfg.MaxWaiting
	c.disabled = cfg.Disabled
	c.share = cfg.IndependentHosts
	if c.discipline != ByTier {
		cfg.Classes = []ClassPolicy{{}}
	}
	replaced := c.configureEndpoints(cfg.Endpoints)
	c.configureClasses(cfg.Classes)
	c.configurePool(cfg.Disabled)
	c.moveGrants(replaced)
}

// configurePool passes the configuration on to the engine pool.
func (c *Cell) configurePool(disabled []Mechanism) {
	engines := make([]*batching.Engine, len(c.sortedEndpoints))
	for i, e := range c.sortedEndpoints {
		engines[i] = &e.Engine
	}
	classes := make([]*batching.Class, len(c.classOrder))
	for i, q := range c.classOrder {
		classes[i] = &q.Class
	}
	c.pool.Configure(engines, classes, disabled)
}

func (c *Cell) configureClasses(policies []ClassPolicy) {
	old := c.classes
	c.classes = map[Class]*classQueue{}
	c.classOrder = nil
	for _, t := range c.tiers {
		t.classes = nil
	}
	var moved []*entry
	for _, p := range policies {
		q := old[p.Name]
		delete(old, p.Name)
		if q == nil {
			q = newClassQueue(p)
		}
		t := c.tier(p.Tier)
		if q.tier != t {
			moved = append(moved, c.detachFromTier(q)...)
			q.tier = t
			q.virtual = t.virtual
		}
		q.setPolicy(p)
		t.classes = append(t.classes, q)
		c.classes[p.Name] = q
		c.classOrder = append(c.classOrder, q)
	}
	for _, e := range moved {
		e.class.push(e)
		c.waiting++
	}
	for _, q := range old {
		for _, e := range c.detachFromTier(q) {
			c.refuse(e.request.ID, RefusedUnknownClass)
			c.recycle(e)
		}
	}
}

// detachFromTier removes and returns the waiting entries of a class that leaves
// its tier. It also removes the class's running entries from the tier's list of
// preemptible grants.
func (c *Cell) detachFromTier(q *classQueue) []*entry {
	if q.tier == nil {
		return nil
	}
	for e := q.tier.preemptible.first; e != nil; {
		next := e.next
		if e.class == q {
			q.tier.preemptible.remove(e)
		}
		e = next
	}
	all := slices.Clone(q.oldest.items)
	for _, e := range all {
		q.remove(e)
		c.waiting--
	}
	return all
}

// configureEndpoints returns the endpoints that others replace.
func (c *Cell) configureEndpoints(policies []EndpointPolicy) replacements {
	old, added := c.endpoints, map[string]*endpointState{}
	c.endpoints = map[Endpoint]*endpointState{}
	c.sortedEndpoints = c.sortedEndpoints[:0]
	c.totalSlots = 0
	for _, p := range policies {
		e := old[p.Name]
		delete(old, p.Name)
		if e == nil {
			e = c.newEndpoint()
			added[p.ID] = e
		}
		e.setPolicy(p)
		c.endpoints[p.Name] = e
		c.sortedEndpoints = append(c.sortedEndpoints, e)
		c.totalSlots += p.Concurrency
	}
	for _, e := range old {
		e.removed, e.Closed = true, true
	}
	replaced := findReplacements(old, added)
	for _, e := range c.sortedEndpoints {
		c.assumeBrittle(e)
	}
	slices.SortFunc(c.sortedEndpoints, func(a, b *endpointState) int {
		if a.policy.Name < b.policy.Name {
			return -1
		}
		return 1
	})
	return replaced
}

// class returns the queue of a class. The baseline disciplines have a single
// queue.
func (c *Cell) class(name Class) *classQueue {
	if c.discipline != ByTier {
		name = ""
	}
	return c.classes[name]
}
