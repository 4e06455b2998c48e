package catalog

import (
	"testing"

	"github.com/beechhead/beechhead/pkg/table"
)

// rankedCatalog has routes of the tiers 0 to most, and accounts with each of these as
// their own tier and without one.
func rankedCatalog(most table.Tier) *Catalog {
	c := &Catalog{Accounts: []Account{{}}}
	for t := range most + 1 {
		c.Routes = append(c.Routes, Route{Tier: t})
		c.Accounts = append(c.Accounts, Account{Tier: t, HasTier: true})
	}
	c.Index()
	return c
}

// rankedRequest is an account's request on a route.
type rankedRequest struct {
	route   *Route
	account *Account
}

func (c *Catalog) rankedRequests() (all []rankedRequest) {
	for i := range c.Routes {
		for j := range c.Accounts {
			all = append(all, rankedRequest{&c.Routes[i], &c.Accounts[j]})
		}
	}
	return all
}

// Guards against engines that preempt a request while a less urgent one of the same tier
// runs on, whose account has raised it to that tier.
func TestRanksOrderRequestsOfATierByTheirRoutes(t *testing.T) {
	c := rankedCatalog(3)
	for _, a := range c.rankedRequests() {
		for _, b := range c.rankedRequests() {
			tier := TierOf(a.route, a.account)
			if tier != TierOf(b.route, b.account) || a.route.Tier > tier || b.route.Tier < tier || a.route.Tier == b.route.Tier {
				continue
			}
			if x, y := c.RankOf(a.route, a.account), c.RankOf(b.route, b.account); x >= y {
				t.Errorf("tier %d: rank %d on a route of tier %d, %d of tier %d", tier, x, a.route.Tier, y, b.route.Tier)
			}
		}
	}
}

// Guards against ranks that contradict the tiers, and ranks that engines do not know.
func TestRanksFollowTiers(t *testing.T) {
	for most := range table.MaxTier + 1 {
		c := rankedCatalog(most)
		for _, a := range c.rankedRequests() {
			x := c.RankOf(a.route, a.account)
			if x < 0 || x > MaxRank {
				t.Errorf("rank %d, want 0 to %d", x, MaxRank)
			}
			for _, b := range c.rankedRequests() {
				if y := c.RankOf(b.route, b.account); TierOf(a.route, a.account) < TierOf(b.route, b.account) && x >= y {
					t.Errorf("up to tier %d: rank %d of tier %d, %d of tier %d", most, x, TierOf(a.route, a.account), y, TierOf(b.route, b.account))
				}
			}
		}
	}
}
