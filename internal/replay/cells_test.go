package replay

import (
	"testing"

	"github.com/beechhead/beechhead/internal/schedule"
)

// outcomeOfCells sums up what cells with equal engines read and earn.
type outcomeOfCells struct {
	read  int
	share map[string]float64
}

func playCells(cells []*Scenario) outcomeOfCells {
	out := outcomeOfCells{share: map[string]float64{}}
	played := map[string]float64{}
	for i, s := range cells {
		s.Seed += uint64(i)
		r := Play(s, schedule.ByTier)
		out.read += r.Read
		for _, c := range r.Classes {
			out.share[c.Name] += c.Share() * float64(c.Asked)
			played[c.Name] += float64(c.Asked)
		}
	}
	for name, asked := range played {
		out.share[name] /= asked
	}
	return out
}

// Guards against requests that are divided among the cells of a pool at random: each
// cell then reads what another one has cached.
func TestPromptsThatShareAPrefixMeetInOneCell(t *testing.T) {
	t.Parallel()
	const cells = 4
	var random, byPrefix, byClass []*Scenario
	for i := range cells {
		// At random, every cell sees the subjects of all cells.
		r := scenario(t, "cells")
		for j := range r.Classes {
			r.Classes[j].Subjects *= cells
		}
		random = append(random, r)
		byPrefix = append(byPrefix, scenario(t, "cells"))
		// If prompts share their first part only, each class has one cell.
		if one := scenario(t, "cells"); i < len(one.Classes) {
			one.Classes = one.Classes[i : i+1]
			one.Classes[0].Rate *= cells
			one.Classes[0].Subjects *= cells
			byClass = append(byClass, one)
		}
	}
	today := playCells(random)
	for name, cells := range map[string][]*Scenario{"by prefix": byPrefix, "by class": byClass} {
		got := playCells(cells)
		t.Logf("%s: %d tokens read, %d at random; shares %v, %v", name, got.read, today.read, got.share, today.share)
		if got.read >= today.read {
			t.Errorf("%s, cells read %d tokens, %d at random", name, got.read, today.read)
		}
		for class, share := range got.share {
			if share < today.share[class]-worthSlack {
				t.Errorf("%s, %s earns %.3f of its worth, %.3f at random", name, class, share, today.share[class])
			}
		}
	}
}

// worthSlack is the difference between shares that the draw of a load makes.
const worthSlack = 0.01
