package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// stabilityWindow is how long after a fault its effects are excused.
	stabilityWindow = 3 * time.Second
	// Hosts that are cut off from the engines may fail one in maxFailedOneIn of
	// their requests.
	maxFailedOneIn = 50
)

// firstTries sends n requests of each kind to each daemon, without a second
// attempt, and returns how many were sent and served.
func (s *testSite) firstTries(daemons []*testDaemon, n int) (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		for _, d := range daemons {
			for _, send := range []func() response{
				func() response { return s.chatAlone(d, 500+i) },
				func() response { return s.chat(d, "draft") },
				func() response { return s.call(d, http.MethodPost, "/pay/x", nil, "p") },
				func() response { return s.call(d, http.MethodGet, "/look/x", nil, "") },
			} {
				sent++
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := send()
					mu.Lock()
					defer mu.Unlock()
					if a.err == nil && a.status == http.StatusOK {
						served++
					}
				}()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return sent, served
}

// Guards against hosts that refuse requests because they have lost their path to
// the engines, although other hosts reach the engines.
func TestHostsCutOffFromTheEnginesServe(t *testing.T) {
	for _, tc := range []struct {
		cut   int
		fault pathFault
	}{{1, pathHangs}, {1, pathResets}, {1, pathRefusesNew}, {2, pathHangs}, {2, pathResets}} {
		t.Run(fmt.Sprintf("%d of 3, path %s", tc.cut, tc.fault), func(t *testing.T) {
			s := newTestSite(t, 3)
			cutOff, others := s.daemons[:tc.cut], s.daemons[tc.cut:]
			s.firstTries(s.daemons, 2)
			for _, d := range cutOff {
				d.path.Break(tc.fault)
			}
			s.firstTries(cutOff, 2)
			time.Sleep(stabilityWindow)
			s.closeIdle()
			sent, served := s.firstTries(cutOff, 15)
			if failed := sent - served; failed > sent/maxFailedOneIn {
				t.Errorf("%d of %d requests failed at hosts that were cut off, want at most %d", failed, sent, sent/maxFailedOneIn)
			}
			if sent, served := s.firstTries(others, 5); served < sent {
				t.Errorf("%d of %d requests served at the other hosts", served, sent)
			}
			s.checkPayments()
		})
	}
}

// Guards against hosts without a path that go on coordinating, and stop doing it well.
func TestCoordinatorsCutOffFromTheEngines(t *testing.T) {
	for _, fault := range []pathFault{pathHangs, pathResets, pathRefusesNew} {
		t.Run(string(fault), func(t *testing.T) {
			s := newTestSite(t, 4)
			s.firstTries(s.daemons, 2)
			var coordinators, others []*testDaemon
			for _, d := range s.daemons {
				if len(d.g.coordinator.Status().Cells) > 0 {
					coordinators = append(coordinators, d)
					continue
				}
				others = append(others, d)
			}
			if len(coordinators) == 0 || len(others) == 0 {
				t.Fatalf("%d coordinators, %d other hosts", len(coordinators), len(others))
			}
			for _, d := range coordinators {
				d.path.Break(fault)
			}
			s.firstTries(s.daemons, 2)
			time.Sleep(stabilityWindow)
			s.closeIdle()
			for name, daemons := range map[string][]*testDaemon{"coordinators that were cut off": coordinators, "the others": others} {
				sent, served := s.firstTries(daemons, 8)
				if failed := sent - served; failed > sent/maxFailedOneIn {
					t.Errorf("%d of %d requests failed at %s, want at most %d", failed, sent, name, sent/maxFailedOneIn)
				}
			}
			s.checkPayments()
		})
	}
}

// closeIdle closes the daemons' idle connections to the engines, as engines do
// after some seconds.
func (s *testSite) closeIdle() {
	for _, d := range s.daemons {
		for _, e := range s.engines {
			d.g.forwarder.Pool.CloseIdle(e.address)
		}
	}
}

// checkPayments checks that no payment ran more than once.
func (s *testSite) checkPayments() {
	s.t.Helper()
	times := map[string]int{}
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.Target, "/pay/") {
				times[r.ID]++
			}
		}
	}
	for id, n := range times {
		if n > 1 {
			s.t.Errorf("payment %s ran %d times", id, n)
		}
	}
}

// Guards against a planned stop that cuts off the streams of another host, which
// reaches the engines only through the host that stops.
func TestLeavingHostCompletesTheStreamsOfOthers(t *testing.T) {
	s := newTestSite(t, 2)
	for _, e := range s.engines {
		e.Events, e.Delay = 30, 50*time.Millisecond
	}
	cutOff, leaving := s.daemons[0], s.daemons[1]
	cutOff.path.Break(pathResets)
	answers := make(chan response, 4)
	for range cap(answers) {
		go func() { answers <- s.chat(cutOff, "draft") }()
	}
	s.await("the streams run", func() bool { return leaving.g.tunnels.Open() >= cap(answers) })
	leaving.g.Drain()
	for range cap(answers) {
		if a := <-answers; a.err != nil || a.body != fullStream(a.id, 30) {
			t.Errorf("status %d, %d bytes, %v", a.status, len(a.body), a.err)
		}
	}
	<-leaving.done
}

// Guards against a host that never serves because it has never reached an engine,
// and against one that goes on asking others after its path has returned.
func TestHostThatStartsCutOffServes(t *testing.T) {
	s := newTestSite(t, 2)
	s.startCutOff = true
	d := s.addDaemon()
	s.await("ready", d.g.acceptsCallers)
	if sent, served := s.firstTries([]*testDaemon{d}, 5); served < sent {
		t.Errorf("%d of %d requests served", served, sent)
	}
	d.path.Break(pathWorks)
	s.await("direct connections only", func() bool {
		s.closeIdle()
		before := d.g.metrics.Counters()["tunnels.opened"]
		s.firstTries([]*testDaemon{d}, 3)
		return d.g.metrics.Counters()["tunnels.opened"] == before
	})
	if d.g.dialer.IsCutOff() {
		t.Error("still cut off after direct connections")
	}
}

// Guards against a host that avoids the engines that it does not reach, or takes
// them for ill for all hosts, when it has lost the path to some of them.
func TestPathToSomeEnginesLost(t *testing.T) {
	s := newTestSite(t, 2)
	d := s.daemons[0]
	d.path.Break(pathResets, s.engines["llm-1"].address, s.engines["app-1"].address)
	before := map[string]int{}
	for id, e := range s.engines {
		before[id] = len(e.Runs())
	}
	if sent, served := s.firstTries([]*testDaemon{d}, 10); served < sent {
		t.Errorf("%d of %d requests served", served, sent)
	}
	for id, e := range s.engines {
		if len(e.Runs()) == before[id] {
			t.Errorf("%s got no request", id)
		}
	}
	s.checkPayments()
}

// Guards against an engine that has ended while a host is cut off, and is taken for
// one that others reach.
func TestEngineEndsWhileHostIsCutOff(t *testing.T) {
	s := newTestSite(t, 3)
	d := s.daemons[0]
	d.path.Break(pathHangs)
	s.firstTries([]*testDaemon{d}, 2)
	for _, id := range []string{"llm-1", "app-1"} {
		s.engines[id].Terminate()
	}
	time.Sleep(stabilityWindow)
	if sent, served := s.firstTries([]*testDaemon{d}, 10); sent-served > sent/maxFailedOneIn {
		t.Errorf("%d of %d requests served", served, sent)
	}
	s.checkPayments()
}

// Guards against the end of an endpoint that does not count because all other hosts have
// lost their path, and against a lost path that counts as the end of an endpoint.
func TestEndOfEndpointCountsWithoutConfirmation(t *testing.T) {
	for _, tt := range []struct {
		name                string
		own                 pathFault
		carried, terminated bool
	}{
		{"path works", pathWorks, true, true},
		{"path refuses", pathRefusesNew, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSite(t, 2)
			ended, d, other := s.engines["app-1"], s.daemons[0], s.daemons[1]
			ended.server.CloseClientConnections()
			ended.server.Close()
			d.path.Break(tt.own)
			other.path.Break(pathRefusesNew)
			pool := d.g.forwarder.Pool
			if got := pool.HasTerminated(t.Context(), ended.address); got != tt.terminated {
				t.Errorf("terminated: %v, want %v", got, tt.terminated)
			}
			if got := other.g.forwarder.Pool.HasTerminated(t.Context(), ended.address); got != tt.carried {
				t.Errorf("terminated at the other host: %v, want %v", got, tt.carried)
			}
		})
	}
}

// Guards against a lost path that counts as the end of an endpoint while all other hosts
// leave or are gone, and against the end of one that does not count then.
func TestLostPathIsNoEndWhileNoOtherHostIsReady(t *testing.T) {
	for _, tt := range []struct {
		name             string
		path             pathFault
		ends, terminated bool
	}{
		{"path refuses", pathRefusesNew, false, false},
		{"endpoint ends", pathWorks, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSite(t, 2)
			e, d, other := s.engines["app-1"], s.daemons[0], s.daemons[1]
			other.cancel()
			<-other.done
			s.await("the other host is not ready", func() bool { return d.g.view.Ready().Len() == 1 })
			if tt.ends {
				e.server.CloseClientConnections()
				e.server.Close()
			}
			d.path.Break(tt.path)
			pool := d.g.forwarder.Pool
			if got := pool.HasTerminated(t.Context(), e.address); got != tt.terminated {
				t.Errorf("terminated: %v, want %v", got, tt.terminated)
			}
			if refused, isCertain := pool.MayHaveTerminated(t.Context(), e.address); !refused || isCertain != tt.terminated {
				t.Errorf("refused: %v, by the endpoint: %v", refused, isCertain)
			}
		})
	}
}
