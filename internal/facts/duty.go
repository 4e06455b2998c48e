package facts

import "time"

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
	// maxStep bounds that: in a large fleet the last would wait for a minute.
	maxStep = 1200 * time.Millisecond
)

// MaxPatience is the longest time for which a reader that was heard of is
// waited for.
const MaxPatience = readerSilence + maxStep

// Duty decides whether a daemon is to read the store: it is one of the first
// in order, or too few of those before it have been heard to read lately.
// The later a daemon stands, the longer it waits, so that the one before it
// is heard first. The rank is how many hosts come before it; heard has how long
// ago those of them were heard to read that were heard at all, and unheard what
// counts for the others.
func Duty(rank int, heard []time.Duration, unheard time.Duration) bool {
	patience := readerSilence + min(time.Duration(max(rank-Readers, 0))*stepAside, maxStep)
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
