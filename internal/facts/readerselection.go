package facts

import (
	"math"
	"time"
)

const (
	// Readers is how many daemons read each feed of the store at the same time.
	// One would suffice; the second keeps reading if the first fails.
	Readers = 2
	// readerTimeout is how long a reader may report no read before the next
	// daemon in order takes its place. Several reports of a working reader arrive
	// within it.
	readerTimeout = 900 * time.Millisecond
	// takeoverStep is by how much later each further daemon in the order takes
	// over, so that the failure of a reader makes one daemon read and not all.
	takeoverStep = 150 * time.Millisecond
	// initialProbers is how many daemons read once the facts have reached the age
	// probeAfter. The number doubles with each further probeDoublingTime.
	initialProbers    = 8
	probeAfter        = 1400 * time.Millisecond
	probeDoublingTime = 2 * time.Second
)

// TakeoverDelay returns how long a daemon waits for reported reads before it takes
// over. Its rank is the number of hosts before it in the order.
func TakeoverDelay(rank int) time.Duration {
	return readerTimeout + time.Duration(max(rank-Readers, 0))*takeoverStep
}

// ShouldProbe reports whether a daemon is to read the store because the facts are
// old at every daemon that it reaches. This is the case in an outage of the
// store, where only a few daemons need to find out when it ends, and when the
// store rejects all readers, so that others must try.
func ShouldProbe(rank int, age time.Duration) bool {
	if age <= probeAfter {
		return false
	}
	return float64(rank) < initialProbers*math.Exp2(float64(age-probeAfter)/float64(probeDoublingTime))
}

// Stale reports whether facts are so old that a daemon reads the store itself
// if no other daemon responds to its requests.
func Stale(age time.Duration) bool { return age > probeAfter }

// ShouldRead reports whether a daemon is to read the store: it is one of the first
// in order, or too few of those before it have recently reported a read. The
// later a daemon is in the order, the longer it waits, so that it learns first
// whether the one before it reads. The rank is the number of hosts before it.
// For those of them that have reported a read, heard holds the time since the
// last one; unheard is the time that counts for the others.
func ShouldRead(rank int, heard []time.Duration, unheard time.Duration) bool {
	timeout := TakeoverDelay(rank)
	active := 0
	if unheard <= timeout {
		active = rank - len(heard)
	}
	for _, ago := range heard {
		if ago <= timeout {
			active++
		}
	}
	return active < Readers
}
