package streamversion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/stat"
)

// Owners returns the n hosts that keep the record of a stream, chosen by rendezvous
// hashing and spread over the availability zones. Two daemons whose views differ by
// some hosts choose mostly the same ones, and a host that is removed from a view moves
// no record between the others.
func Owners(k Key, hosts []membership.Host, n int) []membership.Host {
	if len(hosts) <= n {
		return hosts
	}
	best := map[string][]candidate{}
	for i := range hosts {
		zone := hosts[i].Zone
		score := stat.Mix(k.hash() ^ xxhash.Sum64String(string(hosts[i].ID)))
		best[zone] = insert(best[zone], candidate{host: i, score: score}, n)
	}
	perZone := (n + len(best) - 1) / len(best)
	var chosen, rest []candidate
	for _, all := range best {
		first := min(perZone, len(all))
		chosen = append(chosen, all[:first]...)
		rest = append(rest, all[first:]...)
	}
	slices.SortFunc(chosen, compareScores)
	slices.SortFunc(rest, compareScores)
	chosen = append(chosen, rest...)[:n]
	owners := make([]membership.Host, 0, n)
	for _, c := range chosen {
		owners = append(owners, hosts[c.host])
	}
	return owners
}

// candidate is a host by its index, with its score for a stream.
type candidate struct {
	host  int
	score uint64
}

// compareScores orders candidates by descending score.
func compareScores(a, b candidate) int { return cmp.Compare(b.score, a.score) }

// insert adds a candidate to a list of the n best ones in descending order.
func insert(best []candidate, c candidate, n int) []candidate {
	i, _ := slices.BinarySearchFunc(best, c, compareScores)
	if i == n {
		return best
	}
	best = slices.Insert(best, i, c)
	return best[:min(n, len(best))]
}
