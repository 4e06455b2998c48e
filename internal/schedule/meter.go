package schedule

import (
	"math"
	"time"
)

// meterWindow is the time over which a meter forgets.
const meterWindow = 10 * time.Second

// meter measures the rate of events, forgetting exponentially.
type meter struct {
	// count is the number of recent events at the time last.
	count float64
	last  time.Duration
	// first is when the meter began to count.
	first   time.Duration
	started bool
}

func (m *meter) decay(now time.Duration) {
	if !m.started {
		m.started = true
		m.first, m.last = now, now
	}
	if now > m.last {
		m.count *= math.Exp(-float64(now-m.last) / float64(meterWindow))
		m.last = now
	}
}

func (m *meter) add(now time.Duration) {
	m.decay(now)
	m.count++
}

// rate returns events per second; ok says that enough time was observed.
func (m *meter) rate(now time.Duration) (perSecond float64, ok bool) {
	if !m.started || now-m.first < time.Second {
		return 0, false
	}
	m.decay(now)
	seen := 1 - math.Exp(-float64(now-m.first)/float64(meterWindow))
	return m.count / (meterWindow.Seconds() * seen), true
}
