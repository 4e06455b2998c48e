package schedule

import (
	"slices"

	"github.com/beechhead/beechhead/internal/batching"
)

// Configure puts a new table in force. Waiting requests of classes that are
// gone are refused at the next step; grants stay.
func (c *Cell) Configure(cfg Config) {
	c.discipline = cfg.Discipline
	c.maxWaiting = cfg.MaxWaiting
	c.disabled = cfg.Disabled
	c.share = cfg.Share
	if c.discipline != ByTier {
		cfg.Classes = []ClassPolicy{{}}
	}
	c.configureEndpoints(cfg.Endpoints)
	c.configureClasses(cfg.Classes)
	c.configurePool(cfg.Disabled)
}

// configurePool tells the choice among engines what is in force.
func (c *Cell) configurePool(disabled []Mechanism) {
	engines := make([]*batching.Engine, len(c.list))
	for i, e := range c.list {
		engines[i] = &e.Engine
	}
	classes := make([]*batching.Class, len(c.order))
	for i, q := range c.order {
		classes[i] = &q.Class
	}
	c.pool.Configure(engines, classes, disabled)
}

func (c *Cell) configureClasses(policies []ClassPolicy) {
	old := c.classes
	c.classes = map[Class]*classQueue{}
	c.order = nil
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
			moved = append(moved, c.takeAll(q)...)
			q.tier = t
			q.virtual = t.virtual
		}
		q.setPolicy(p)
		t.classes = append(t.classes, q)
		c.classes[p.Name] = q
		c.order = append(c.order, q)
	}
	for _, e := range moved {
		e.class.push(e)
		c.waiting++
	}
	for _, q := range old {
		for _, e := range c.takeAll(q) {
			c.refuse(e.request.ID, RefusedClass)
			c.free(e)
		}
	}
}

// takeAll takes out the waiting entries of a class, and its running ones from
// the list of preemptible grants: they belong to a tier that it leaves.
func (c *Cell) takeAll(q *classQueue) []*entry {
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

func (c *Cell) configureEndpoints(policies []EndpointPolicy) {
	old := c.endpoints
	c.endpoints = map[Endpoint]*endpointState{}
	c.list = c.list[:0]
	c.places = 0
	for _, p := range policies {
		e := old[p.Name]
		delete(old, p.Name)
		if e == nil {
			e = c.newEndpoint()
		}
		e.setPolicy(p)
		c.endpoints[p.Name] = e
		c.list = append(c.list, e)
		c.places += p.Concurrency
	}
	for _, e := range old {
		e.gone, e.Closed = true, true
	}
	slices.SortFunc(c.list, func(a, b *endpointState) int {
		if a.policy.Name < b.policy.Name {
			return -1
		}
		return 1
	})
}

// class returns the queue of a class.
func (c *Cell) class(name Class) *classQueue {
	if c.discipline != ByTier {
		name = ""
	}
	return c.classes[name]
}
