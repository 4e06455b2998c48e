package autoscale

import (
	"sync"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Demand counts the requests of one daemon to a pool.
type Demand struct {
	// PrefillMs is the estimated prefill time of all requests placed so far, in
	// milliseconds; Placed is their number.
	PrefillMs, Placed uint64
	// Running and Waiting are the requests that hold a slot or wait for one.
	Running, Waiting uint32
}

// Meter measures the demand of one daemon. It is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	pools map[table.Pool]*Demand
}

// NewMeter returns a meter without demand.
func NewMeter() *Meter { return &Meter{pools: map[table.Pool]*Demand{}} }

func (m *Meter) change(pool table.Pool, change func(*Demand)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.pools[pool]
	if d == nil {
		d = &Demand{}
		m.pools[pool] = d
	}
	change(d)
}

// Wait records a request that waits for a slot.
func (m *Meter) Wait(pool table.Pool) { m.change(pool, func(d *Demand) { d.Waiting++ }) }

// EndWait records that a request no longer waits.
func (m *Meter) EndWait(pool table.Pool) { m.change(pool, func(d *Demand) { d.Waiting-- }) }

// Begin records a request that was placed with an estimated prefill time.
func (m *Meter) Begin(pool table.Pool, prefill time.Duration) {
	m.change(pool, func(d *Demand) {
		d.Placed++
		d.Running++
		d.PrefillMs += uint64(max(0, prefill.Milliseconds()))
	})
}

// End records that a placed request has ended.
func (m *Meter) End(pool table.Pool) { m.change(pool, func(d *Demand) { d.Running-- }) }

// Snapshot returns the demand of all pools.
func (m *Meter) Snapshot() map[table.Pool]Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[table.Pool]Demand, len(m.pools))
	for pool, d := range m.pools {
		all[pool] = *d
	}
	return all
}

// Totals sums the demand of all daemons. It is safe for concurrent use.
type Totals struct {
	mu      sync.Mutex
	sources map[string]*sourceDemand
}

// sourceDemand holds the last two reports of a daemon.
type sourceDemand struct {
	incarnation uint64
	at, before  time.Duration
	pools, last map[table.Pool]Demand
}

// NewTotals returns totals without any daemon.
func NewTotals() *Totals { return &Totals{sources: map[string]*sourceDemand{}} }

const (
	// minSpan is the shortest time between two reports that give a rate.
	minSpan = 500 * time.Millisecond
	// silence is the time after which a daemon without reports no longer counts.
	silence = 4 * time.Second
)

// Record adds the report of a daemon, received at the given time.
func (t *Totals) Record(host string, incarnation uint64, at time.Duration, pools map[table.Pool]Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sources[host]
	if s == nil || s.incarnation != incarnation {
		t.sources[host] = &sourceDemand{incarnation: incarnation, at: at, pools: pools}
		return
	}
	if at-s.at < minSpan {
		return
	}
	s.before, s.last = s.at, s.pools
	s.at, s.pools = at, pools
}

// Load returns the load of a pool, and the number of daemons whose reports it is
// derived from.
func (t *Totals) Load(pool table.Pool, now time.Duration) (l Load, daemons int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, s := range t.sources {
		if now-s.at > silence {
			delete(t.sources, host)
			continue
		}
		if s.last == nil {
			continue
		}
		daemons++
		d, before := s.pools[pool], s.last[pool]
		l.Running += int(d.Running)
		l.Waiting += int(d.Waiting)
		l.Prefill += float64(d.PrefillMs-min(d.PrefillMs, before.PrefillMs)) / float64((s.at - s.before).Milliseconds())
	}
	return l, daemons
}
