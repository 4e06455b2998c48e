package schedule

import (
	"math"
	"time"
)

// rateWindow is the time constant of the exponential decay.
const rateWindow = 10 * time.Second

// rateMeter measures the rate of events with exponential decay.
type rateMeter struct {
	// count is the decayed number of events at time last.
	count float64
	last  time.Duration
	// first is when the meter was started.
	first   time.Duration
	started bool
}

func (m *rateMeter) decay(now time.Duration) {
	if !m.started {
		m.started = true
		m.first, m.last = now, now
	}
	if now > m.last {
		m.count *= math.Exp(-float64(now-m.last) / float64(rateWindow))
		m.last = now
	}
}

func (m *rateMeter) add(now time.Duration) {
	m.decay(now)
	m.count++
}

// rate returns the events per second; ok reports whether the meter has run long
// enough.
func (m *rateMeter) rate(now time.Duration) (perSecond float64, ok bool) {
	if !m.started || now-m.first < time.Second {
		return 0, false
	}
	m.decay(now)
	seen := 1 - math.Exp(-float64(now-m.first)/float64(rateWindow))
	return m.count / (rateWindow.Seconds() * seen), true
}
