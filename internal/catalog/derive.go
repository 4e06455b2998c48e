package catalog

import (
	"slices"
	"strconv"

	"github.com/beechhead/beechhead/pkg/table"
)

// ClassName returns the name of the class of a route's requests in one tier.
// Accounts can override the tier, so one route can have several classes.
func ClassName(r *Route, tier table.Tier) table.ClassName {
	return table.ClassName(r.Name + "/" + strconv.Itoa(int(tier)))
}

// maxWaitDivisor divides a route's timeout into the time after which ageing
// gives a queued request the next free slot.
const maxWaitDivisor = 2

// Table returns the scheduling table: the given endpoints, and one class for
// each route and tier.
func (c *Catalog) Table(endpoints []table.Endpoint) *table.Table {
	t := &table.Table{Endpoints: endpoints}
	tiers := c.accountTiers()
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, tier := range appendNew(tiers, r.Tier) {
			t.Classes = append(t.Classes, class(r, tier))
		}
	}
	t.BuildIndex()
	return t
}

// accountTiers returns the distinct tiers that accounts set for themselves.
func (c *Catalog) accountTiers() []table.Tier {
	var tiers []table.Tier
	for i := range c.Accounts {
		if c.Accounts[i].HasTier {
			tiers = appendNew(tiers, c.Accounts[i].Tier)
		}
	}
	return tiers
}

func appendNew(tiers []table.Tier, t table.Tier) []table.Tier {
	if slices.Contains(tiers, t) {
		return tiers
	}
	return append(slices.Clone(tiers), t)
}

func class(r *Route, tier table.Tier) table.Class {
	cl := table.Class{
		Name:       ClassName(r, tier),
		Tier:       tier,
		Weight:     1,
		Target:     table.Target{FirstToken: table.Duration(r.Target), BetweenTokens: table.Duration(r.Pause)},
		MaxWait:    table.Duration(r.Timeout / maxWaitDivisor),
		Idempotent: r.Kind == Safe,
	}
	for _, s := range r.Shares {
		cl.Pools = append(cl.Pools, s.Pool)
	}
	return cl
}
