package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// acceptPeriod is how long a leaving host accepts connections.
const acceptPeriod = 2500 * time.Millisecond

// Guards against a leaving host that ends a response, its own or one that it carries for
// another host, whose engine is silent for longer than requests are accepted.
func TestLeavingHostWaitsForSilentEngines(t *testing.T) {
	s := newTestSite(t, 2)
	for _, e := range s.engines {
		e.Events, e.Delay = 10, 20*time.Millisecond
	}
	leaving, other := s.daemons[0], s.daemons[1]
	other.path.Break(pathResets)
	var wg sync.WaitGroup
	for i, d := range s.daemons {
		for n := range 3 {
			wg.Go(func() {
				if a := s.chat(d, "draft"); a.err != nil || a.body != fullStream(a.id, 10) {
					t.Errorf("stream at %s: status %d, %d bytes, %v", d.ip, a.status, len(a.body), a.err)
				}
			})
			wg.Go(func() {
				if a := s.chatAlone(d, 10*i+n); a.err != nil || a.body != fullStream(a.id, 10) {
					t.Errorf("resumable stream at %s: status %d, %d bytes, %v", d.ip, a.status, len(a.body), a.err)
				}
			})
			wg.Go(func() {
				if a := s.call(d, http.MethodPost, "/pay/x", nil, "p"); a.err != nil || a.status != http.StatusOK {
					t.Errorf("call at %s: status %d, %v", d.ip, a.status, a.err)
				}
			})
		}
	}
	s.await("all run", func() bool { return s.runCount() == 18 })
	for _, e := range s.engines {
		e.Silence(acceptPeriod + time.Second)
	}
	if n := leaving.g.tunnels.Open(); n < 9 {
		t.Errorf("%d tunnels carry the requests of the other host, want 9", n)
	}
	leaving.g.Drain()
	wg.Wait()
	<-leaving.done
}

// Guards against a leaving host that does not continue streams at another engine, also if
// no other host is left.
func TestLeavingHostContinuesStreams(t *testing.T) {
	for _, hosts := range []int{1, 2} {
		s := newTestSite(t, hosts)
		for _, e := range s.engines {
			e.Events, e.Delay = 40, 100*time.Millisecond
		}
		d := s.daemons[0]
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				if a := s.chatAlone(d, i); a.err != nil || a.body != fullStream(a.id, 40) {
					t.Errorf("%d hosts: status %d, %d bytes, %v", hosts, a.status, len(a.body), a.err)
				}
			})
		}
		first, second := s.engines["llm-1"], s.engines["llm-2"]
		s.await("all run at two engines", func() bool { return len(first.Runs()) > 0 && len(first.Runs())+len(second.Runs()) == 6 })
		d.g.Drain()
		time.Sleep(acceptPeriod + 500*time.Millisecond)
		first.Terminate()
		wg.Wait()
		if n := len(first.Runs()) + len(second.Runs()); n == 6 {
			t.Errorf("%d hosts: no stream was continued", hosts)
		}
		for _, other := range s.daemons {
			other.cancel()
			<-other.done
		}
	}
}
