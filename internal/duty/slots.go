package duty

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/usage"
)

// TableUsage is the table with the content of the last windows.
const TableUsage = "usage"

const (
	// slotCount is the number of windows that are kept in the store. Their rows
	// are reused by turns.
	slotCount = 8
	// chunkAccounts is the number of accounts in one row, which the store
	// limits in size.
	chunkAccounts = 1000
)

// fixed is a window whose content no longer changes.
type fixed struct {
	window usage.Window
	counts usage.Counts
}

// slotRow is the value of one row: a part of a window's content. The last part
// is marked, so that rows left over from a longer content are ignored.
type slotRow struct {
	Window usage.Window `json:"window"`
	Part   int          `json:"part"`
	Parts  int          `json:"parts"`
	Counts usage.Counts `json:"counts"`
}

// slots are the fixed windows in the store.
type slots struct {
	versions map[string]uint64
	windows  map[usage.Window]usage.Counts
}

// parseSlots reads the rows of the table. A window of which a part is missing was
// never complete: its rows are written in one transaction.
func parseSlots(rows []platform.FeedRow) slots {
	s := slots{versions: map[string]uint64{}, windows: map[usage.Window]usage.Counts{}}
	parts := map[usage.Window]int{}
	for _, row := range rows {
		s.versions[row.Key] = row.Version
		var one slotRow
		if json.Unmarshal(row.Value, &one) != nil || one.Part >= one.Parts || row.Key != slotKey(one.Window, one.Part) {
			continue
		}
		if s.windows[one.Window] == nil {
			s.windows[one.Window] = usage.Counts{}
			parts[one.Window] = one.Parts
		}
		maps.Copy(s.windows[one.Window], one.Counts)
		parts[one.Window]--
	}
	for w, missing := range parts {
		if missing != 0 {
			delete(s.windows, w)
		}
	}
	return s
}

func slotKey(w usage.Window, part int) string { return fmt.Sprintf("%d/%d", w%slotCount, part) }

// writes returns the writes that fix a window. They fail if any of the rows has
// changed since the table was read.
func (s *slots) writes(w usage.Window, counts usage.Counts) (writes []platform.Write) {
	names := slices.Sorted(maps.Keys(counts))
	parts := max(1, (len(names)+chunkAccounts-1)/chunkAccounts)
	for part := range parts {
		row := slotRow{Window: w, Part: part, Parts: parts, Counts: usage.Counts{}}
		for _, name := range names[part*chunkAccounts : min(len(names), (part+1)*chunkAccounts)] {
			row.Counts[name] = counts[name]
		}
		value, err := json.Marshal(row)
		if err != nil {
			panic("duty: marshal window: " + err.Error())
		}
		key := slotKey(w, part)
		writes = append(writes, platform.Write{Key: platform.Key{Table: TableUsage, Key: key}, Expect: s.versions[key], Value: value})
	}
	return writes
}

// add records a window that was fixed.
func (s *slots) add(w usage.Window, counts usage.Counts) {
	if s.windows == nil {
		s.windows = map[usage.Window]usage.Counts{}
	}
	s.windows[w] = counts
}

func (s *slots) counts(w usage.Window) (usage.Counts, bool) {
	c, ok := s.windows[w]
	return c, ok
}

// newest returns the newest window, or 0 if there is none.
func (s *slots) newest() usage.Window {
	newest := usage.Window(0)
	for w := range s.windows {
		newest = max(newest, w)
	}
	return newest
}

// all returns the windows, oldest first.
func (s *slots) all() (all []fixed) {
	for w, counts := range s.windows {
		all = append(all, fixed{w, counts})
	}
	slices.SortFunc(all, func(a, b fixed) int { return cmp.Compare(a.window, b.window) })
	return all
}
