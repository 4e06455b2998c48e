package usage

import (
	"maps"
	"sync"
	"time"
)

// Ledger merges the reports of all daemons. The result does not depend on the
// order of reports or on repetitions. It is safe for concurrent use.
type Ledger struct {
	length time.Duration

	mu      sync.Mutex
	sources map[Source]*source
}

// source is the state of one source.
type source struct {
	since, until time.Duration
	// heard is the latest time that the reports of the source refer to.
	heard   time.Duration
	windows map[Window]Counts
}

// NewLedger returns a ledger for windows of the given length.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, sources: map[Source]*source{}}
}

// Merge adds a report.
func (l *Ledger) Merge(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sources[r.Source]
	if s == nil {
		s = &source{since: r.Since, windows: map[Window]Counts{}}
		l.sources[r.Source] = s
	}
	s.until = max(s.until, r.Until)
	s.heard = max(s.heard, r.latest(l.length))
	oldest := WindowOf(s.until, l.length) - keptWindows
	for number, counts := range r.Windows {
		if number <= oldest {
			continue
		}
		known := s.windows[number]
		if known == nil {
			known = make(Counts, len(counts))
			s.windows[number] = known
		}
		for account, n := range counts {
			known[account] = max(known[account], n)
		}
	}
	for number := range s.windows {
		if number <= oldest {
			delete(s.windows, number)
		}
	}
}

// Ended returns what sources have counted that no longer report, in the last n windows
// before a time. The function reports tells whether a source may still report.
func (l *Ledger) Ended(reports func(Source) bool, now time.Duration, n int) (all []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := WindowOf(now, l.length) - Window(n)
	for id, s := range l.sources {
		if reports(id) {
			continue
		}
		r := Report{Source: id, Since: s.since, Until: s.until, Windows: map[Window]Counts{}}
		for number, counts := range s.windows {
			if number > oldest && len(counts) > 0 {
				r.Windows[number] = maps.Clone(counts)
			}
		}
		if len(r.Windows) > 0 {
			all = append(all, r)
		}
	}
	return all
}

// latest returns the latest time that a report refers to. Some state no time up to which
// they are complete.
func (r *Report) latest(length time.Duration) time.Duration {
	latest := max(r.Since, r.Until)
	for number := range r.Windows {
		latest = max(latest, number.End(length))
	}
	return latest
}

// Forget drops the sources that have not reported since the given time.
func (l *Ledger) Forget(before time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.sources {
		if s.heard < before {
			delete(l.sources, id)
		}
	}
}

// Sum is the sum of all counts of a window.
type Sum struct {
	Window Window
	Counts Counts
	// Sources is the number of sources with counts of the window.
	Sources int
}

// Sum returns the counts of a window.
func (l *Ledger) Sum(w Window) Sum {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Sum{Window: w, Counts: Counts{}}
	for _, s := range l.sources {
		counts, ok := s.windows[w]
		if !ok {
			continue
		}
		sum.Sources++
		for account, n := range counts {
			sum.Counts[account] += n
		}
	}
	return sum
}

// Coverage states for how many of some sources the counts of a window are known.
type Coverage struct {
	// Complete sources have reported after the window's end, or did not exist
	// before it. Since is the number of sources that have counted since before
	// the window began.
	Complete, Since, Total int
}

// Coverage returns the coverage of a window by the given sources.
func (l *Ledger) Coverage(w Window, of []Source) Coverage {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Coverage{Total: len(of)}
	for _, id := range of {
		s := l.sources[id]
		if s == nil {
			continue
		}
		if s.until >= w.End(l.length) {
			c.Complete++
		}
		if s.since <= w.Begin(l.length) {
			c.Since++
		}
	}
	return c
}
