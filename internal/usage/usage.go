// Package usage counts the requests that endpoints begin to run, by client
// account and window of time, and merges the counts of all daemons. It does no
// input or output.
package usage

import (
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Window is the number of a window of time: window k begins k times the length
// of a window after the start of 1970.
type Window int64

// WindowOf returns the window that contains a time since the start of 1970.
func WindowOf(at, length time.Duration) Window { return Window(at / length) }

// Begin returns when the window begins.
func (w Window) Begin(length time.Duration) time.Duration { return time.Duration(w) * length }

// End returns when the window ends.
func (w Window) End(length time.Duration) time.Duration { return (w + 1).Begin(length) }

// Counts holds the number of requests by account.
type Counts map[table.AccountName]uint32

// Changed returns the counts that differ from earlier ones.
func (c Counts) Changed(before Counts) Counts {
	changed := Counts{}
	for account, n := range c {
		if n != before[account] {
			changed[account] = n
		}
	}
	return changed
}

// Source is one run of a daemon.
type Source struct {
	Host        string
	Incarnation uint64
}

// Report has what a source has counted. Counts of a window only grow, so reports
// may be lost, repeated or reordered.
type Report struct {
	Source
	// Since is when the source began to count, Until the time up to which its
	// counts are complete, both since the start of 1970.
	Since, Until time.Duration
	Windows      map[Window]Counts
}
