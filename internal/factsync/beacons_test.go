package factsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/facts"
)

// controlBudget is how many bytes a second a daemon may spend on control.
const controlBudget = 16 << 10

// Guards against readers whose beacons grow with the fleet beyond what a
// daemon may send, and against hosts that the passed on beacons do not reach.
func TestBeaconsOfALargeFleet(t *testing.T) {
	const (
		hosts  = 360
		length = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		p := &play{simSite: newSimSite(simTerms{seed: 1, hosts: hosts, loss: 0.01})}
		time.Sleep(window)
		before := make([]int64, hosts)
		for i := range hosts {
			before[i] = p.daemon(i).sent.Load()
		}
		p.store.put("c", "2")
		p.store.put(endpointKey(1), "")
		p.within("the news", bound, func(d *simDaemon) bool {
			_, known := d.holder.Endpoint(facts.EndpointID(endpointKey(1)))
			return known && d.holder.Summary().Config == 2 && len(d.holder.Endpoints()) == 5
		})
		time.Sleep(length)
		most := 0.0
		for i := range hosts {
			d := p.daemon(i)
			most = max(most, float64(d.sent.Load()-before[i])/length.Seconds())
			if rate := float64(d.sent.Load()-before[i]) / length.Seconds(); rate > controlBudget {
				t.Errorf("%s sends %.0f bytes of beacons a second", d.id, rate)
			}
		}
		t.Logf("at most %.0f bytes a second", most)
		p.wg.Wait()
		for _, f := range p.faults {
			t.Error(f)
		}
		for i := range hosts {
			p.kill(i)
		}
		time.Sleep(window)
	})
}
