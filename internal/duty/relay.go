package duty

import (
	"cmp"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/usage"
)

const (
	// relayInterval is the interval at which the counts of ended daemons are sent.
	relayInterval = 200 * time.Millisecond
	// relayRounds is how often those of a daemon are sent to the other candidates, since
	// datagrams may be lost.
	relayRounds = 2
	// maxRelayed is the number of daemons whose counts are sent at a time.
	maxRelayed = 20
	// relayWindows is the number of windows of which they are sent.
	relayWindows = 3
	// maxRelayRecords bounds the number of daemons of which it is known that their counts
	// were sent.
	maxRelayRecords = 4096
)

// relay is the state of a candidate that passes the counts of ended daemons on to the
// other candidates: one that has started after these daemons ended has no other source
// of their counts, and may come to hold the lease.
type relay struct {
	last time.Duration
	// candidates are the runs of the candidates to which counts were sent, rounds is
	// how often those of a daemon were.
	candidates []usage.Source
	rounds     map[usage.Source]int
}

// relayEnded sends the counts of daemons that have ended to the other candidates. The
// caller must hold the lock.
func (x *Exchange) relayEnded() {
	hosts := x.Hosts()
	candidates := hosts.Order(LeaseName).First(candidates)
	self := x.Self().ID
	if !slices.ContainsFunc(candidates, func(h membership.Host) bool { return h.ID == self }) {
		return
	}
	reports := func(s usage.Source) bool {
		h, ok := hosts.Find(membership.HostID(s.Host))
		return ok && h.Incarnation <= s.Incarnation
	}
	x.relay.prune(runsOf(candidates), reports)
	ended := x.Ledger.Ended(func(s usage.Source) bool {
		return reports(s) || x.relay.rounds[s] >= relayRounds
	}, x.Time.Now(), relayWindows)
	slices.SortFunc(ended, func(a, b usage.Report) int {
		return cmp.Or(cmp.Compare(x.relay.rounds[a.Source], x.relay.rounds[b.Source]), cmp.Compare(b.Until, a.Until))
	})
	for _, r := range ended[:min(maxRelayed, len(ended))] {
		x.relay.rounds[r.Source]++
		for _, datagram := range encodeReport(r, nil) {
			x.Send(x.others(), datagram)
		}
	}
}

// prune forgets what was sent to other candidates, or of daemons that report again.
func (r *relay) prune(candidates []usage.Source, reports func(usage.Source) bool) {
	if !slices.Equal(candidates, r.candidates) || len(r.rounds) >= maxRelayRecords {
		r.candidates, r.rounds = candidates, map[usage.Source]int{}
	}
	for s := range r.rounds {
		if reports(s) {
			delete(r.rounds, s)
		}
	}
}

func runsOf(hosts []membership.Host) []usage.Source {
	runs := make([]usage.Source, 0, len(hosts))
	for _, h := range hosts {
		runs = append(runs, usage.Source{Host: string(h.ID), Incarnation: h.Incarnation})
	}
	return runs
}
