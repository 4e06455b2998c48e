package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/beechhead/beechhead/internal/endpointname"
	"github.com/beechhead/beechhead/pkg/table"
)

const planSize = 32

func planChange(i int) Change {
	return Change{Member: NewMember(table.Endpoint{Name: table.EndpointName(fmt.Sprint("i-", i)), Pool: "m", Region: "r"}, false)}
}

// cellsByEndpoint returns the cell of each endpoint.
func cellsByEndpoint(p *Plan) map[table.EndpointName]ID {
	cells := map[table.EndpointName]ID{}
	for _, id := range p.All() {
		for _, m := range p.Members(id) {
			cells[m.Name] = id
		}
	}
	return cells
}

// Guards against endpoints that all change their cell, along with the queues and
// grants there, when a pool grows by one cell.
func TestAnAddedCellMovesOnlyItsOwnEndpoints(t *testing.T) {
	const cells = 40
	var changes []Change
	for i := range cells * planSize {
		changes = append(changes, planChange(i))
	}
	before := EmptyPlan(planSize).With(changes)
	after := before.With([]Change{planChange(len(changes))})
	if a, b := len(before.Cells("m")), len(after.Cells("m")); a != cells || b != cells+1 {
		t.Fatalf("%d and %d cells, want %d and one more", a, b, cells)
	}
	added := ID(fmt.Sprintf("m@r/%d", cells))
	moved := 0
	was := cellsByEndpoint(before)
	for name, id := range cellsByEndpoint(after) {
		if was[name] == id || was[name] == "" {
			continue
		}
		moved++
		if id != added {
			t.Errorf("%s moved from %s to %s", name, was[name], id)
		}
	}
	if moved > 2*len(changes)/cells {
		t.Errorf("%d of %d endpoints moved", moved, len(changes))
	}
}

// Guards against plans that depend on the order in which a daemon has learned of
// the endpoints: two daemons would grant the slots of one endpoint.
func TestPlanDependsOnItsEndpointsOnly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	p := EmptyPlan(planSize)
	known := map[int]Change{}
	for round := range 200 {
		changed := map[int]Change{}
		for range 1 + random.IntN(20) {
			i := random.IntN(600)
			c := planChange(i)
			c.Removed = random.IntN(3) == 0
			c.Draining = random.IntN(2) == 0
			changed[i], known[i] = c, c
			if c.Removed {
				delete(known, i)
			}
		}
		p = p.With(slices.Collect(maps.Values(changed)))
		fresh := EmptyPlan(planSize).With(slices.Collect(maps.Values(known)))
		if !slices.Equal(p.All(), fresh.All()) {
			t.Fatalf("round %d: cells %v, want %v", round, p.All(), fresh.All())
		}
		for _, id := range p.All() {
			if !slices.EqualFunc(p.Members(id), fresh.Members(id), func(a, b *Member) bool { return a.Name == b.Name && a.Draining == b.Draining }) {
				t.Fatalf("round %d: the members of %s differ", round, id)
			}
		}
	}
}

// Guards against changes of one endpoint that make every cell be configured again.
func TestAChangeLeavesOtherCellsAlone(t *testing.T) {
	var changes []Change
	for i := range 4*planSize - 1 {
		changes = append(changes, planChange(i))
	}
	before := EmptyPlan(planSize).With(changes)
	drained := planChange(7)
	drained.Draining = true
	after := before.With([]Change{drained})
	if !after.SameCells(before) {
		t.Error("the cells count as changed")
	}
	own := cellsByEndpoint(before)[drained.Name]
	for _, id := range before.All() {
		if same := after.sameMembers(before, id); same != (id != own) {
			t.Errorf("cell %s: the same members: %v", id, same)
		}
	}
	if before.Endpoint(own, drained.Name) == nil || before.Endpoint(own, "i-unknown") != nil {
		t.Error("wrong endpoints are found by their names")
	}
}

// Guards against endpoints that start again in another cell, whose coordinator does not
// know what was granted under their name before.
func TestEndpointThatStartsAgainStaysInItsCell(t *testing.T) {
	member := func(i int, born int64) Change {
		name := endpointname.New(fmt.Sprint("i-", i), born)
		return Change{Member: NewMember(table.Endpoint{Name: name, Pool: "m", Region: "r"}, false)}
	}
	var changes []Change
	for i := range 4 * planSize {
		changes = append(changes, member(i, 1))
	}
	p := EmptyPlan(planSize).With(changes)
	for i := range 4 * planSize {
		before, after := member(i, 1), member(i, 2)
		cell := cellsByEndpoint(p)[before.Name]
		before.Removed = true
		p = p.With([]Change{before, after})
		if got := cellsByEndpoint(p)[after.Name]; got != cell {
			t.Errorf("%s is in %s, %s was in %s", after.Name, got, before.Name, cell)
		}
		if p.Endpoint(cell, after.Name) == nil || p.Endpoint(cell, before.Name) != nil {
			t.Errorf("the cell does not have %s instead of %s", after.Name, before.Name)
		}
	}
}
