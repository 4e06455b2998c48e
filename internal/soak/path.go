package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
)

// Spread is which daemons lose their path to the engines.
type Spread string

// The spreads of a fault.
const (
	SpreadAlone Spread = "alone"
	SpreadZone  Spread = "zone"
	SpreadMost  Spread = "most"
)

const (
	// pathShare is how often a run has daemons that lose their path to the engines.
	pathShare = 0.5
	// minPathFault and maxPathFault bound how long it is lost: longer than
	// stabilityWindow.
	minPathFault = 6 * time.Second
	maxPathFault = 9 * time.Second
	// stabilityWindow is how long after the loss of the path, or after engines have
	// said that they are brittle, the bounds hold.
	stabilityWindow = 3 * time.Second

	// Of the requests that the daemons without a path get, at least minServedWithout
	// times as large a share must be served as at the others, unless at most
	// failuresAllowed and failedShareAllowed of all requests fail there.
	minServedWithout   = 2.0 / 3
	failuresAllowed    = 10
	failedShareAllowed = 1.0 / 50
)

// pathFaults draws losses of the path apart from the other faults.
func pathFaults(seed uint64, daemons int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // a plan
	if random.Float64() >= pathShare {
		return nil
	}
	spreads := []Spread{SpreadAlone, SpreadZone, SpreadMost}
	states := []standin.PathState{standin.PathHangs, standin.PathResets, standin.PathRefuses}
	return []Fault{{
		Kind: KindPathLost, At: time.Duration(random.Int64N(int64(length))),
		For:    minPathFault + time.Duration(random.Int64N(int64(maxPathFault-minPathFault))),
		Target: random.IntN(daemons), Spread: spreads[random.IntN(len(spreads))], Path: states[random.IntN(len(states))],
	}}
}

// losesPath reports whether a daemon is among those that lose their path.
func (f Fault) losesPath(daemon int) bool {
	switch {
	case f.Kind != KindPathLost:
		return false
	case f.Spread == SpreadZone:
		return zoneOf(daemon) == zoneOf(f.Target)
	case f.Spread == SpreadMost:
		return daemon != f.Target
	}
	return daemon == f.Target
}

// losePath breaks the path to the engines of some daemons and mends it.
func (r *run) losePath(f Fault) {
	set := func(state standin.PathState) {
		for i := range r.o.Daemons {
			if f.losesPath(i) {
				r.must(r.site.post(r.site.relayURL(fmt.Sprintf("path%d", i), "path"), state))
			}
		}
	}
	set(f.Path)
	r.sleep(f.For)
	set(standin.PathWorks)
}

// withoutPath looks for losses of the path during which the daemons without one served
// far less than the others. Requests count while a daemon with a path is in touch.
func withoutPath(rec *Record) (found []string) {
	type sum struct{ sent, served int }
	for _, f := range rec.Faults {
		if f.Kind != KindPathLost {
			continue
		}
		sums := map[bool]*sum{true: {}, false: {}}
		for _, c := range rec.Calls {
			during := c.Sent.After(f.From.Add(stabilityWindow)) && c.Sent.Before(f.To)
			rejected := strings.HasPrefix(c.Body, endingBody) || c.Answer.Status == http.StatusUnauthorized
			if !during || rejected || rec.outOfTouch(c.Daemon, c.Sent) || rec.storeTroubled(c.Sent) || !rec.pathExists(f, c.Sent, c.Ended) {
				continue
			}
			s := sums[f.losesPath(c.Daemon)]
			s.sent++
			if c.served() {
				s.served++
			}
		}
		without, with := sums[true], sums[false]
		failed := float64(without.sent - without.served)
		isLess := float64(without.served)*float64(with.sent) < minServedWithout*float64(with.served)*float64(without.sent)
		if isLess && failed > failuresAllowed+failedShareAllowed*float64(without.sent+with.sent) {
			found = append(found, fmt.Sprintf("path lost (%s, %s): %d of %d requests served there, %d of %d at the others",
				f.Spread, f.Path, without.served, without.sent, with.served, with.sent))
		}
	}
	return found
}

// storeTroubled reports whether the store was in trouble shortly before a time, after
// which daemons refuse keys that may have been revoked.
func (rec *Record) storeTroubled(at time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool { return f.ofStore() && f.overlaps(at.Add(-touchWindow), at) })
}

// pathExists reports whether a daemon that has kept its path was in touch for a time.
func (rec *Record) pathExists(f Struck, from, to time.Time) bool {
	for i := range rec.Daemons {
		if !f.losesPath(i) && !slices.ContainsFunc(rec.Faults, func(o Struck) bool {
			return o.ofDaemon() && o.Target == i && o.overlaps(from.Add(-touchWindow), to)
		}) {
			return true
		}
	}
	return false
}
