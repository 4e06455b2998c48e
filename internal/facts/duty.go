package facts

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
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
	// maxStep bounds that: in a large fleet the last would wait for a minute.
	maxStep = 1200 * time.Millisecond
)

// Duty decides whether a daemon is to read the store: it is one of the first
// in order, or too few of those before it have been heard to read lately.
// The later a daemon stands, the longer it waits, so that the one before it
// is heard first. The function ago tells how long ago a host was last heard
// to have read.
func Duty(self membership.HostID, order []membership.Host, ago func(membership.HostID) time.Duration) bool {
	ahead, rank := 0, 0
	for ; rank < len(order) && order[rank].ID != self; rank++ {
	}
	patience := readerSilence + min(time.Duration(max(rank-Readers, 0))*stepAside, maxStep)
	for _, h := range order[:rank] {
		if ago(h.ID) <= patience {
			ahead++
		}
	}
	return ahead < Readers
}
