package catalog

import (
	"cmp"

	"github.com/beechhead/beechhead/pkg/table"
)

// Rank is the urgency of a request at an engine, from 0, the most urgent, to MaxRank.
type Rank int

// MaxRank is the rank of the least urgent requests.
const MaxRank Rank = 9

const (
	// maxRankedTier is the highest tier number up to which ranks order the requests of
	// a tier by the tiers of their routes: MaxRank suffices for no more.
	maxRankedTier table.Tier = 3
	ranksPerTier  Rank       = 3
)

// RankOf returns the rank of an account's requests on a route. Requests of a tier that
// accounts have raised to it come after those whose route has that tier, and those that
// accounts have lowered to it come before.
func (c *Catalog) RankOf(r *Route, a *Account) Rank {
	tier := TierOf(r, a)
	if c.maxTier > maxRankedTier {
		return Rank(tier)
	}
	return ranksPerTier*Rank(tier) + Rank(cmp.Compare(r.Tier, tier))
}

func (c *Catalog) findMaxTier() table.Tier {
	most := table.Tier(0)
	for i := range c.Routes {
		most = max(most, c.Routes[i].Tier)
	}
	for i := range c.Accounts {
		if c.Accounts[i].HasTier {
			most = max(most, c.Accounts[i].Tier)
		}
	}
	return most
}
