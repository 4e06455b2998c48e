package factsync

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

// Guards against readers on narrow links that send a large configuration to
// all hosts at once, behind which the streams of their own callers wait.
func TestReaderOnNarrowLinkSendsFewConfigurations(t *testing.T) {
	const (
		hosts = 60
		// document is the size of the configuration in bytes.
		document = 120e3
		// pause is how long a stream may be delayed.
		pause = 120 * time.Millisecond
	)
	var all []membership.Host
	for i := range hosts {
		all = append(all, membership.Host{ID: membership.HostID(fmt.Sprintf(hostName, i))})
	}
	var readers []int
	for _, h := range membership.Rank(readerKey, all)[:2] {
		var i int
		_, _ = fmt.Sscanf(string(h.ID), hostName, &i)
		readers = append(readers, i)
	}
	synctest.Test(t, func(t *testing.T) {
		p := &scenario{simSite: newSimSite(simParams{seed: 1, hosts: hosts, narrow: readers})}
		time.Sleep(4 * stableTime)
		p.store.put("c", "2 "+strings.Repeat("x", document))
		p.checkWithin("configuration 2", bound, func(d *simDaemon) bool { return d.holder.Summary().Config == 2 })
		p.wg.Wait()
		for _, f := range p.violations {
			t.Error(f)
		}
		for _, i := range readers {
			if d := p.daemon(i); d.longestWait > pause {
				t.Errorf("a stream of %s may wait for %v behind configurations", d.id, d.longestWait)
			}
		}
		for i := range hosts {
			p.kill(i)
		}
		time.Sleep(stableTime)
	})
}
