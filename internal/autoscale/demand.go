package autoscale

import (
	"math"
	"time"
)

// Load is the demand of all daemons for a pool at one moment.
type Load struct {
	// Prefill is the prefill time of the requests placed per second, in engines
	// that do nothing else.
	Prefill float64
	// Running and Waiting are the requests that hold a slot or wait for one.
	Running, Waiting int
}

const (
	// prefillShare is the share of an engine's time that prefill may take
	// without delaying the streams that run beside it too much.
	prefillShare = 0.8
	// slotShare is the share of an engine's slots that may be in use before
	// its tokens become slow.
	slotShare = 0.5
	// burst is the growth of the load that is served without new engines: a
	// burst is often over before they have booted.
	burst = 1.5
	// holdTime is how long the need of the past is provided for.
	holdTime = 30 * time.Second
)

// Need returns the number of engines with the given number of slots that serve a
// load within its targets.
func (l Load) Need(slots int) float64 {
	return l.Prefill/prefillShare + float64(l.Running+l.Waiting)/(slotShare*float64(max(1, slots)))
}

// History remembers the need of the recent past, so that engines are not ordered
// down between two bursts. The zero value is empty.
type History struct {
	needs []pastNeed
}

type pastNeed struct {
	at   time.Duration
	need float64
}

// Add records the need at a time.
func (h *History) Add(at time.Duration, need float64) {
	h.needs = append(h.needs, pastNeed{at, need})
	for len(h.needs) > 0 && at-h.needs[0].at > holdTime {
		h.needs = h.needs[1:]
	}
}

// Engines returns how many engines to have ready that take the given time to boot;
// false if the history is too short to tell. A peak that is shorter than the boot is
// averaged over it: engines ordered for it, or for the next one like it, serve only
// after it has passed.
func (h *History) Engines(boot time.Duration) (int, bool) {
	if len(h.needs) == 0 {
		return 0, false
	}
	observed := h.needs[len(h.needs)-1].at - h.needs[0].at
	if observed < minHistory {
		return 0, false
	}
	sum := 0.0
	for _, one := range h.needs {
		sum += one.need
	}
	return int(math.Ceil(max(h.peak(min(boot, observed)), burst*sum/float64(len(h.needs))))), true
}

// peak returns the greatest mean need over any span of the given length.
func (h *History) peak(span time.Duration) float64 {
	peak, sum, first := 0.0, 0.0, 0
	for i, one := range h.needs {
		sum += one.need
		for ; first < i && one.at-h.needs[first].at >= span; first++ {
			sum -= h.needs[first].need
		}
		if span == 0 || one.at-h.needs[0].at >= span {
			peak = max(peak, sum/float64(i-first+1))
		}
	}
	return peak
}

// minHistory is the time of observation after which engines may be ordered down.
const minHistory = 5 * time.Second
