package usage

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// keptWindows is the number of windows of which counts are kept.
const keptWindows = 5

// Counter counts the requests of one daemon. It is safe for concurrent use, and
// requests of the same window take no lock.
type Counter struct {
	length time.Duration
	now    func() time.Duration
	since  time.Duration

	current atomic.Pointer[window]
	mu      sync.Mutex
	// windows holds the kept windows, oldest first.
	windows []*window
}

type window struct {
	number Window
	// counts has an *atomic.Uint32 by table.AccountName.
	counts sync.Map
}

// NewCounter returns a counter; now returns the time since the start of 1970.
func NewCounter(length time.Duration, now func() time.Duration) *Counter {
	return &Counter{length: length, now: now, since: now()}
}

// Add counts one request of an account.
func (c *Counter) Add(account table.AccountName) {
	w := c.current.Load()
	if n := WindowOf(c.now(), c.length); w == nil || w.number != n {
		w = c.open(n)
	}
	count, ok := w.counts.Load(account)
	if !ok {
		count, _ = w.counts.LoadOrStore(account, new(atomic.Uint32))
	}
	if n, ok := count.(*atomic.Uint32); ok {
		n.Add(1)
	}
}

// open returns the window with the given number. The clock may have moved back,
// so that the window is not a new one.
func (c *Counter) open(number Window) *window {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := slices.IndexFunc(c.windows, func(w *window) bool { return w.number == number })
	if at < 0 {
		c.windows = append(c.windows, &window{number: number})
		at = len(c.windows) - 1
	}
	w := c.windows[at]
	c.current.Store(w)
	c.windows = c.windows[max(0, len(c.windows)-keptWindows):]
	return w
}

// Report returns the counts of the last n windows.
func (c *Counter) Report(n int) Report {
	until := c.now()
	r := Report{Since: c.since, Until: until, Windows: map[Window]Counts{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.windows {
		if w.number <= WindowOf(until, c.length)-Window(n) {
			continue
		}
		counts := Counts{}
		w.counts.Range(func(account, count any) bool {
			counts[account.(table.AccountName)] = count.(*atomic.Uint32).Load() //nolint:forcetypeassert // only Add stores
			return true
		})
		r.Windows[w.number] = counts
	}
	return r
}
