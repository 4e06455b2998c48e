package batching

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the averages.
	rateWindow = time.Second
	// minObservedShare is the share of a full average that must have been
	// observed for a rate to be distinguishable from chance.
	minObservedShare = 0.15
	// minDemand is the demand below which no engine is kept free for a class.
	minDemand = 0.01
)

// decayingRate is an exponentially decaying rate. For prefill times, it is the
// engine time asked for; for events that count as one second each, their number
// per second.
type decayingRate struct {
	updatedAt time.Duration
	// rate is in seconds of an engine per second.
	rate float64
}

func (d *decayingRate) decay(now time.Duration) {
	d.rate *= math.Exp(-(now - d.updatedAt).Seconds() / rateWindow.Seconds())
	d.updatedAt = now
}

// valueAt returns the rate at a time without updating the average.
func (d *decayingRate) valueAt(now time.Duration) float64 {
	return d.rate * math.Exp(-(now-d.updatedAt).Seconds()/rateWindow.Seconds())
}

// valueSince returns the rate of events that began at a given time, corrected
// for the short time of observation. It returns zero if that time is too short to
// distinguish the rate from chance.
func (d *decayingRate) valueSince(now, began time.Duration) float64 {
	observed := 1 - math.Exp(-(now-began).Seconds()/rateWindow.Seconds())
	if d.rate == 0 || observed < minObservedShare {
		return 0
	}
	return d.valueAt(now) / observed
}

func (d *decayingRate) add(now, amount time.Duration) {
	d.decay(now)
	d.rate += amount.Seconds() / rateWindow.Seconds()
}
