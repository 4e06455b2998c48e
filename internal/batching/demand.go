package batching

import (
	"math"
	"time"
)

const (
	// demandTime is over how long a demand is averaged.
	demandTime = time.Second
	// minSeen is the part of the averaging time that must have been seen for a
	// rate to be told from chance.
	minSeen = 0.15
	// minDemand is the demand below which no engine is kept for a class.
	minDemand = 0.01
)

// demand is how much engine time is asked for, averaged.
type demand struct {
	at time.Duration
	// rate is in seconds of an engine per second.
	rate float64
}

func (d *demand) decay(now time.Duration) {
	d.rate *= math.Exp(-(now - d.at).Seconds() / demandTime.Seconds())
	d.at = now
}

// present returns the rate without changing it.
func (d *demand) present(now time.Duration) float64 {
	return d.rate * math.Exp(-(now-d.at).Seconds()/demandTime.Seconds())
}

// since returns the rate of what began at a moment, or zero if too little time
// has passed to tell it from chance.
func (d *demand) since(now, began time.Duration) float64 {
	seen := 1 - math.Exp(-(now-began).Seconds()/demandTime.Seconds())
	if d.rate == 0 || seen < minSeen {
		return 0
	}
	return d.present(now) / seen
}

func (d *demand) add(now, read time.Duration) {
	d.decay(now)
	d.rate += read.Seconds() / demandTime.Seconds()
}
