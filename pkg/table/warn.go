package table

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Warnings returns settings that are valid but probably unintended. They are
// reported as faults whose Allowed describes the expected value.
func (t *Table) Warnings() Faults {
	c := &checker{}
	t.warnTiers(c)
	t.warnUnused(c)
	t.warnPreemption(c)
	return c.faults
}

// tierInPool identifies the classes of one tier that may use one pool.
type tierInPool struct {
	pool Pool
	tier Tier
}

// warnTiers reports tiers whose concurrency limits allow them to occupy a whole
// pool, so that lower-priority tiers are served only through ageing.
func (t *Table) warnTiers(c *checker) {
	slots := map[Pool]int{}
	for i := range t.Endpoints {
		slots[t.Endpoints[i].Pool] += t.Endpoints[i].Concurrency
	}
	limits, lowest := t.concurrencyByTier()
	keys := slices.SortedFunc(maps.Keys(limits), func(a, b tierInPool) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.tier, b.tier))
	})
	for _, d := range keys {
		if d.tier == lowest[d.pool] {
			continue
		}
		row := fmt.Sprintf("tier/%d", d.tier)
		allowed := fmt.Sprintf("under the %d places of pool %s in sum, so that later tiers get some", slots[d.pool], d.pool)
		n := limits[d]
		c.require(n != unlimited, row, "limits.concurrency", "unlimited", allowed)
		c.require(n == unlimited || n < slots[d.pool], row, "limits.concurrency", n, allowed)
	}
}

// unlimited marks a tier without a concurrency limit.
const unlimited = -1

// concurrencyByTier returns the sum of the concurrency limits of each tier in
// each pool, and the lowest-priority tier of each pool.
func (t *Table) concurrencyByTier() (limits map[tierInPool]int, lowest map[Pool]Tier) {
	limits, lowest = map[tierInPool]int{}, map[Pool]Tier{}
	for i := range t.Classes {
		cl := &t.Classes[i]
		for _, p := range cl.Pools {
			d := tierInPool{p, cl.Tier}
			lowest[p] = max(lowest[p], cl.Tier)
			if cl.Limits.Concurrency == 0 || limits[d] == unlimited {
				limits[d] = unlimited
				continue
			}
			limits[d] += cl.Limits.Concurrency
		}
	}
	return limits, lowest
}

// warnUnused reports accounts without a key, classes that no account may use
// and endpoints whose pool no class uses.
func (t *Table) warnUnused(c *checker) {
	classes, pools := map[ClassName]bool{}, map[Pool]bool{}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		c.require(len(a.KeyHashes) > 0, rowAccount+"/"+string(a.Name), "keyHashes", "", "a key, or nobody can use the account")
		for _, name := range a.Classes {
			classes[name] = true
		}
	}
	for i := range t.Classes {
		cl := &t.Classes[i]
		c.require(classes[cl.Name], rowClass+"/"+string(cl.Name), "name", cl.Name, "a class that an account may use")
		for _, p := range cl.Pools {
			pools[p] = true
		}
	}
	for i := range t.Endpoints {
		e := &t.Endpoints[i]
		c.require(pools[e.Pool], rowEndpoint+"/"+string(e.Name), "pool", e.Pool, "a pool that a class has")
	}
}

// warnPreemption reports engines that can't cancel or resume requests although
// their pool has preemptible classes.
func (t *Table) warnPreemption(c *checker) {
	preemptible := map[Pool]bool{}
	for i := range t.Classes {
		for _, p := range t.Classes[i].Pools {
			preemptible[p] = preemptible[p] || t.Classes[i].Preemptible
		}
	}
	for i := range t.Endpoints {
		e := &t.Endpoints[i]
		if e.Kind != KindEngine || !preemptible[e.Pool] {
			continue
		}
		row := rowEndpoint + "/" + string(e.Name)
		c.require(e.CanCancel, row, "canCancel", e.CanCancel, "true, since the pool has preemptible classes")
		c.require(e.CanResume, row, "canResume", e.CanResume, "true, since the pool has preemptible classes")
	}
}
