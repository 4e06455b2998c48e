package catalog

import (
	"slices"
	"strconv"

	"github.com/beechhead/beechhead/pkg/table"
)

// ClassName names the class of a route's requests in one tier. Accounts may
// have a tier of their own, so that one route can have several classes.
func ClassName(r *Route, tier table.Tier) table.ClassName {
	return table.ClassName(r.Name + "/" + strconv.Itoa(int(tier)))
}

// maxWaitShare is the part of a route's timeout after which ageing gives a
// waiting request the next place.
const maxWaitShare = 2

// Table returns the table by which requests are placed on the endpoints.
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

// accountTiers returns the tiers that accounts have of their own.
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
		MaxWait:    table.Duration(r.Timeout / maxWaitShare),
		Idempotent: r.Kind == Safe,
	}
	for _, s := range r.Shares {
		cl.Pools = append(cl.Pools, s.Pool)
	}
	return cl
}
