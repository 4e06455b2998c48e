package duty

import (
	"slices"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/usage"
)

const (
	// relayRounds is how often the counts of a daemon that has ended are sent to the
	// other candidates, since datagrams may be lost.
	relayRounds = 2
	// maxRelayed is the number of such daemons whose counts are sent in one round.
	maxRelayed = 50
)

// relay is the state of a candidate that passes the counts of ended daemons on to the
// other candidates: one that has started after these daemons ended has no other source
// of their counts, and may come to hold the lease.
type relay struct {
	// candidates are the runs of the candidates to which counts were sent, rounds is
	// how often those of a daemon were.
	candidates []usage.Source
	rounds     map[usage.Source]int
}

// relayEnded sends the counts of daemons that have ended to the other candidates. The
// caller must hold the lock.
func (x *Exchange) relayEnded(candidates []membership.Host) {
	runs := make([]usage.Source, 0, len(candidates))
	for _, h := range candidates {
		runs = append(runs, usage.Source{Host: string(h.ID), Incarnation: h.Incarnation})
	}
	if !slices.Equal(runs, x.relay.candidates) {
		x.relay = relay{candidates: runs, rounds: map[usage.Source]int{}}
	}
	hosts := x.Hosts()
	reports := func(s usage.Source) bool {
		h, ok := hosts.Find(membership.HostID(s.Host))
		return ok && h.Incarnation <= s.Incarnation
	}
	sent := 0
	for _, r := range x.Ledger.Ended(reports, x.Time.Now(), allWindows) {
		if x.relay.rounds[r.Source] >= relayRounds || sent >= maxRelayed {
			continue
		}
		sent++
		x.relay.rounds[r.Source]++
		for _, datagram := range encodeReport(r, nil) {
			x.Send(x.others(), datagram)
		}
	}
}
