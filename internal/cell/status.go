package cell

import (
	"cmp"
	"slices"

	"github.com/beechhead/beechhead/internal/schedule"
)

// Status is the status of the cells that this daemon coordinates, as shown to
// operators.
type Status struct {
	Cells []OneStatus `json:"cells"`
}

// OneStatus is the status of one cell.
type OneStatus struct {
	Cell ID `json:"cell"`
	schedule.CellStatus
}

// Status returns the status of every cell, sorted by id.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Cells: []OneStatus{}}
	for id, cell := range c.cells {
		s.Cells = append(s.Cells, OneStatus{Cell: id, CellStatus: cell.Status()})
	}
	slices.SortFunc(s.Cells, func(a, b OneStatus) int { return cmp.Compare(a.Cell, b.Cell) })
	return s
}
