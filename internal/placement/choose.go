package placement

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/stat"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// maxCellsTried is the number of cells that a request tries.
	maxCellsTried = 3
	// pressureLifetime is how long a published pressure is valid.
	pressureLifetime = 3 * time.Second
	// affinityMargin is by how much, in thousandths of a cell's slots, the
	// pressure of the cell preferred for a prefix may exceed that of another.
	affinityMargin = 250
)

// pressure is the load that a cell has published.
type pressure struct {
	at    time.Time
	tiers []*peerv1.TierPressure
}

// sharedPrefix returns a hash of the part of a prompt that other prompts are likely
// to begin with as well; zero if it is not known. The last of several parts is
// rarely shared.
func (r *Request) sharedPrefix() uint64 {
	if r.Prefix != 0 || len(r.Parts) < 2 {
		return r.Prefix
	}
	hash := uint64(0)
	for _, part := range r.Parts[:len(r.Parts)-1] {
		hash = stat.Mix(hash ^ part.ID)
	}
	return max(hash, 1)
}

// chooseCells returns the cells to try, in order. The first is the one with the
// lower pressure of two candidates. For a prompt with a shared prefix, these are the
// cells preferred for the prefix, so that prompts with the same prefix meet;
// otherwise they are random.
func (p *Placer) chooseCells(r *Request) ([]cell.ID, *outcome.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan == nil {
		return nil, outcome.NotRunError(outcome.ReasonNotReady, "no table is in force")
	}
	all := p.plan.Cells(r.Pool)
	if r.Version != nil {
		all = p.plan.CellsWith(all, *r.Version)
	}
	if len(all) == 0 {
		return nil, outcome.NotRunError(outcome.ReasonNoEndpoint, noEndpointMessage(r))
	}
	if len(all) == 1 {
		return all, nil
	}
	tier := table.MaxTier
	if class, ok := p.table.Class(r.Class); ok {
		tier = class.Tier
	}
	prefix := r.sharedPrefix()
	cells := p.rankCells(all, prefix)
	if p.publishedPressure(cells[0], tier) > p.publishedPressure(cells[1], tier)+p.pressureMargin(cells[0], cells[1], prefix) {
		cells[0], cells[1] = cells[1], cells[0]
	}
	return cells[:min(maxCellsTried, len(cells))], nil
}

func noEndpointMessage(r *Request) string {
	if r.Version != nil {
		return "no endpoint of the pool has software version " + strconv.Quote(string(*r.Version))
	}
	return "the pool has no endpoint"
}

// rankCells orders the cells by the hash of the prefix or at random, with those
// in this daemon's region first.
func (p *Placer) rankCells(all []cell.ID, prefix uint64) []cell.ID {
	salt := prefix
	if salt == 0 {
		salt = rand.Uint64()
	}
	cells := slices.Clone(all)
	scores := map[cell.ID]uint64{}
	local := p.view.Self().Region
	for _, id := range cells {
		key := binary.LittleEndian.AppendUint64([]byte(id), salt)
		scores[id] = xxhash.Sum64(key) >> 1
		if p.plan.Region(id) != local {
			scores[id] |= 1 << 63
		}
	}
	slices.SortFunc(cells, func(a, b cell.ID) int {
		if scores[a] < scores[b] {
			return -1
		}
		return 1
	})
	return cells
}

// pressureMargin returns by how much the pressure of a may exceed that of b while
// a is still preferred.
func (p *Placer) pressureMargin(a, b cell.ID, prefix uint64) uint32 {
	switch {
	case p.plan.Region(a) != p.plan.Region(b):
		// Other regions only get what the own region refuses.
		return 1 << 30
	case prefix != 0:
		return affinityMargin
	}
	return 0
}

// publishedPressure returns the pressure that a cell has published for a tier, or
// zero if none is known, so that an unknown cell is tried.
func (p *Placer) publishedPressure(id cell.ID, tier table.Tier) uint32 {
	known, ok := p.pressures[id]
	if !ok || p.clock.Since(known.at) > pressureLifetime {
		return 0
	}
	var permille uint32
	for _, t := range known.tiers {
		if table.Tier(t.GetTier()) <= tier {
			permille = t.GetPermille()
		}
	}
	return permille
}
