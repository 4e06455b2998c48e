package factsync

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	// servingHosts is the size of the fleet in which one daemon restarts.
	servingHosts = 20
	// mostWait and deadlineShare say how long a gateway lets a request wait for its
	// first facts: at most mostWait and that part of the caller's deadline.
	mostWait      = 500 * time.Millisecond
	deadlineShare = 4
	// requestInterval is the time between two requests to the daemon that restarts.
	requestInterval = 5 * time.Millisecond
)

// Guards against a daemon that restarts in a fleet that serves and gets its facts so late
// that it refuses requests which could have waited.
func TestRestartRefusesNoRequest(t *testing.T) {
	for _, tt := range []struct {
		name string
		// down is how long the daemon is down, seedDelay the additional delay of the
		// responses of the hosts in the settings.
		down, seedDelay time.Duration
		// seedsDead is the number of hosts in the settings that are down as well.
		seedsDead int
		storeDown bool
		deadline  time.Duration
	}{
		{name: "back at once", down: 10 * time.Millisecond, deadline: time.Second},
		{name: "back after it counts as gone", down: 3 * time.Second, deadline: time.Second},
		{name: "two seeds are down", down: time.Second, seedsDead: 2, deadline: 2 * time.Second},
		{name: "the seeds are slow", down: time.Second, seedDelay: 100 * time.Millisecond, deadline: 2 * time.Second},
		{name: "the store is down", down: time.Second, storeDown: true, deadline: time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			refused, sent, longest := 0, 0, time.Duration(0)
			for seed := range uint64(servingHosts) {
				synctest.Test(t, func(*testing.T) {
					s := newSimSite(simParams{seed: seed, hosts: servingHosts, seedDelay: tt.seedDelay})
					time.Sleep(stableTime)
					restarted := servingHosts - 1 - int(seed)%(servingHosts-tt.seedsDead)
					s.kill(restarted)
					for i := range tt.seedsDead {
						s.kill(i)
					}
					s.store.setUnavailable(tt.storeDown)
					time.Sleep(tt.down)
					s.start(restarted)
					began := time.Now()
					for s.daemon(restarted).lacksFacts() && time.Since(began) < 2*stableTime {
						time.Sleep(requestInterval)
					}
					ready := time.Since(began)
					longest = max(longest, ready)
					wait := min(mostWait, tt.deadline/deadlineShare)
					for at := time.Duration(0); at < ready; at += requestInterval {
						sent++
						if at+wait < ready {
							refused++
						}
					}
					s.killAll()
				})
			}
			t.Logf("%d of %d requests refused, the facts came after %v at most", refused, sent, longest)
			if refused > 0 {
				t.Errorf("%d of %d requests refused", refused, sent)
			}
		})
	}
}

// lacksFacts reports whether the daemon has no configuration or no endpoints yet.
func (d *simDaemon) lacksFacts() bool {
	sum := d.holder.Summary()
	return sum.Config == 0 || sum.Position == 0
}
