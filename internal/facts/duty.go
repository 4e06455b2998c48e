package facts

import (
	"math"
	"time"
)

const (
	// Readers is how many daemons read each feed of the store at a time. One
	// would do; the second bridges the death of the first.
	Readers = 2
	// readerSilence is how long a reader may be silent before the next in
	// order takes its place. Readers are heard of several times in it.
	readerSilence = 900 * time.Millisecond
	// stepAside is by how much later each following daemon in the order takes
	// over, so that a reader's death wakes one daemon and not all.
	stepAside = 150 * time.Millisecond
	// probers is how many daemons read once the facts are of the age
	// probeAfter; with each further probeDouble there are twice as many.
	probers     = 8
	probeAfter  = 1400 * time.Millisecond
	probeDouble = 2 * time.Second
)

// Patience is how long a daemon waits for the readers, that so many hosts come
// before in order.
func Patience(rank int) time.Duration {
	return readerSilence + time.Duration(max(rank-Readers, 0))*stepAside
}

// Probes tells whether a daemon is to read the store since the facts are old
// everywhere that it reaches. That is so in an outage of the store, in which
// only some need to find out when it ends, and where all readers are turned
// away, so that others must try.
func Probes(rank int, age time.Duration) bool {
	if age <= probeAfter {
		return false
	}
	return float64(rank) < probers*math.Exp2(float64(age-probeAfter)/float64(probeDouble))
}

// Stale tells whether facts are so old that a daemon reads the store by itself
// if no other daemon answers its questions.
func Stale(age time.Duration) bool { return age > probeAfter }

// Duty decides whether a daemon is to read the store: it is one of the first
// in order, or too few of those before it have been heard to read lately.
// The later a daemon stands, the longer it waits, so that the one before it
// is heard first. The rank is how many hosts come before it; heard has how long
// ago those of them were heard to read that were heard at all, and unheard what
// counts for the others.
func Duty(rank int, heard []time.Duration, unheard time.Duration) bool {
	patience := Patience(rank)
	ahead := 0
	if unheard <= patience {
		ahead = rank - len(heard)
	}
	for _, ago := range heard {
		if ago <= patience {
			ahead++
		}
	}
	return ahead < Readers
}
