package tunnel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

const (
	// reachabilityLifetime is how long it counts whether a daemon has reached an
	// endpoint.
	reachabilityLifetime = 5 * time.Second
	// maxRemembered bounds the daemons whose last result is kept.
	maxRemembered = 64
	// maxConsidered bounds the daemons among which those to ask are chosen.
	maxConsidered = 16
)

// reachability is the result of the last tunnel through a daemon, best first.
type reachability int

const (
	reached reachability = iota
	unknown
	notReached
)

// hostHistory holds the last results of other daemons.
type hostHistory struct {
	mu   sync.Mutex
	last map[membership.HostID]hostResult
}

type hostResult struct {
	host         membership.Host
	reachability reachability
	at           time.Time
}

func (h *hostHistory) record(host membership.Host, r reachability, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == nil {
		h.last = map[membership.HostID]hostResult{}
	}
	if len(h.last) >= maxRemembered {
		for known, old := range h.last {
			if now.Sub(old.at) >= reachabilityLifetime {
				delete(h.last, known)
			}
		}
	}
	if _, known := h.last[host.ID]; known || len(h.last) < maxRemembered {
		h.last[host.ID] = hostResult{host: host, reachability: r, at: now}
	}
}

// reached returns the daemons that have reached an endpoint of late.
func (h *hostHistory) reached(now time.Time) (hosts []membership.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.last {
		if r.reachability == reached && now.Sub(r.at) < reachabilityLifetime {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}

func (h *hostHistory) of(id membership.HostID, now time.Time) reachability {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.last[id]
	if !ok || now.Sub(r.at) >= reachabilityLifetime {
		return unknown
	}
	return r.reachability
}

// choose returns the daemons to ask, in order: those that have reached endpoints
// first, then those of this daemon's zone. Zones alternate, because the path of a
// whole zone may have failed.
func (d *Dialer) choose() []membership.Host {
	now := d.Clock.Now()
	hosts := d.hosts.reached(now)
	for _, h := range d.Hosts() {
		if d.hosts.of(h.ID, now) != reached {
			hosts = append(hosts, h)
		}
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b membership.Host) int {
		return cmp.Or(cmp.Compare(d.hosts.of(a.ID, now), d.hosts.of(b.ID, now)), cmp.Compare(d.distance(a), d.distance(b)))
	})
	var chosen []membership.Host
	for len(chosen) < maxVia && len(hosts) > 0 {
		i := 0
		if n := len(chosen); n > 0 {
			i = max(0, slices.IndexFunc(hosts, func(h membership.Host) bool { return h.Zone != chosen[n-1].Zone }))
		}
		chosen = append(chosen, hosts[i])
		hosts = slices.Delete(hosts, i, i+1)
	}
	return chosen
}

// distance is 0 for hosts of this daemon's zone, 1 for those of its region, and 2
// for others.
func (d *Dialer) distance(h membership.Host) int {
	switch {
	case h.Zone == d.Zone:
		return 0
	case h.Region == d.Region:
		return 1
	}
	return 2
}

// Candidates returns hosts that may be asked, drawn at random: some of the own
// zone and some of others, so that the cost does not grow with the fleet.
func Candidates(ready *membership.Snapshot, self membership.Host) []membership.Host {
	own := draw(ready.Zone(self.Zone).All(), maxConsidered/2, func(h membership.Host) bool { return h.ID != self.ID })
	others := draw(ready.All(), maxConsidered/2, func(h membership.Host) bool { return h.Zone != self.Zone })
	return append(own, others...)
}

// draw returns at most n of the hosts that may be asked.
func draw(hosts []membership.Host, n int, allowed func(membership.Host) bool) (drawn []membership.Host) {
	if len(hosts) <= maxConsidered {
		for _, h := range hosts {
			if allowed(h) {
				drawn = append(drawn, h)
			}
		}
		return drawn
	}
	tried := map[int]bool{}
	for range 4 * n {
		i := rand.IntN(len(hosts))
		if !tried[i] && allowed(hosts[i]) {
			drawn = append(drawn, hosts[i])
		}
		tried[i] = true
		if len(drawn) == n {
			break
		}
	}
	return drawn
}
