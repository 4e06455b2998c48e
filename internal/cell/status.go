package cell

import (
	"cmp"
	"slices"

	"github.com/beechhead/beechhead/internal/schedule"
)

// Status is the status of the cells that this daemon coordinates, as shown to
// operators.
type Status struct {
	Cells []StatusEntry `json:"cells"`
	// HandedEstimates counts the messages with what coordinators have measured.
	HandedEstimates EstimateCounters `json:"handedEstimates"`
}

// StatusEntry is the status of one cell.
type StatusEntry struct {
	Cell ID `json:"cell"`
	schedule.CellStatus
}

// Status returns the status of every cell, sorted by id.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Cells: []StatusEntry{}, HandedEstimates: c.estimateCounters}
	for id, cell := range c.cells {
		s.Cells = append(s.Cells, StatusEntry{Cell: id, CellStatus: cell.Status()})
	}
	slices.SortFunc(s.Cells, func(a, b StatusEntry) int { return cmp.Compare(a.Cell, b.Cell) })
	return s
}
