package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// newVersionedSite starts a site with two engines of each of two software versions.
func newVersionedSite(t *testing.T, daemons int) *testSite {
	s := newTestSite(t, daemons)
	s.addEngineOf("llm-3", "llm", "v2")
	s.addEngineOf("llm-4", "llm", "v2")
	for _, d := range s.daemons {
		s.await("all engines known", func() bool { return len(d.g.holder.Endpoints()) == len(s.engines) })
	}
	return s
}

// versionsOf returns the software versions of the engines that have run requests.
func (s *testSite) versionsOf(ids ...string) map[string]bool {
	versions := map[string]bool{}
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			for _, id := range ids {
				if r.ID == id {
					versions[e.version] = true
				}
			}
		}
	}
	return versions
}

// ownPart returns a prompt part that no other request has, so that engines are chosen
// without regard to what they have cached.
func ownPart() string { return fmt.Sprintf("%x:800", 0x10000+partN.Add(1)) }

var partN atomic.Int64

// eventsBefore is the number of events that callers receive before they leave.
const eventsBefore = 2

// brokenStream sends a stream request to a daemon, reads eventsBefore events and closes
// the connection.
func (s *testSite) brokenStream(d *testDaemon) (id string) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	id = nextID()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/chat/x", d.ip, testCallerPort), strings.NewReader("prompt"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = standin.SampleHost
	for name, value := range map[string]string{
		platform.HeaderRequestID: id, platform.HeaderAPIKey: standin.SampleKey, platform.HeaderDeadline: "10000",
		platform.HeaderTokens: "1200,30", platform.HeaderParts: ownPart(),
	} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for r, seen := bufio.NewReader(resp.Body), 0; seen < eventsBefore; {
		line, err := r.ReadString('\n')
		if err != nil {
			s.t.Fatalf("stream of %d events: %v", seen, err)
		}
		if strings.HasPrefix(line, "id:") {
			seen++
		}
	}
	return id
}

// takeUp sends the request that continues a stream after these events.
func (s *testSite) takeUp(d *testDaemon, resumes string) response {
	return s.call(d, http.MethodPost, "/chat/x", map[string]string{
		platform.HeaderTokens: "1200,30", platform.HeaderParts: ownPart(),
		platform.HeaderResumes: resumes, platform.HeaderLastEvent: strconv.Itoa(eventsBefore),
	}, "prompt")
}

// takeUpAll has callers take streams up at some daemons. None may have events of two
// versions, and at least half must go on.
func (s *testSite) takeUpAll(ids []string, daemons []*testDaemon) {
	s.t.Helper()
	continued := 0
	for i := range ids {
		n := 7 * i % len(ids) // mixes the order, so that engines chosen in turn do not agree by chance
		a := s.takeUp(daemons[(n+1)%len(daemons)], ids[n])
		if versions := s.versionsOf(ids[n], a.id); len(versions) != 1 {
			s.t.Errorf("stream %s has events of versions %v", ids[n], versions)
		}
		if a.status == http.StatusOK {
			continued++
		}
	}
	if 2*continued < len(ids) {
		s.t.Errorf("%d of %d streams were continued", continued, len(ids))
	}
}

// Guards against a stream being continued, within one response, by an engine of
// another software version than the one that began it.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	s := newVersionedSite(t, 1)
	for _, id := range []string{"llm-1", "llm-3"} {
		s.engines[id].SetFaults(standin.EngineFaults{CutAfter: 2})
	}
	continued := 0
	for i := range 40 {
		a := s.chatAlone(s.daemons[0], i)
		if a.err != nil || a.body != fullStream(a.id, 5) {
			t.Errorf("stream: status %d, body %q, %v", a.status, a.body, a.err)
		}
		if len(s.runs(a.id)) > 1 {
			continued++
		}
		if versions := s.versionsOf(a.id); len(versions) != 1 {
			t.Errorf("stream %s has events of versions %v", a.id, versions)
		}
	}
	if continued == 0 {
		t.Error("no stream was continued")
	}
}

// Guards against a stream that a caller takes up being continued by an engine of
// another software version than the one that began it, whatever daemon is asked.
func TestStreamTakenUpStaysAtItsVersion(t *testing.T) {
	s := newVersionedSite(t, 3)
	began := map[string]bool{}
	var ids []string
	for i := range 30 {
		ids = append(ids, s.brokenStream(s.daemons[i%3]))
	}
	for i := range ids {
		n := 7 * i % len(ids) // mixes the order, so that engines chosen in turn do not agree by chance
		id := ids[n]
		a := s.takeUp(s.daemons[(n+1)%3], id)
		if a.err != nil || a.status != http.StatusOK {
			t.Errorf("stream %s was not continued: status %d, %v", id, a.status, a.err)
			continue
		}
		versions := s.versionsOf(id, a.id)
		if len(versions) != 1 {
			t.Errorf("stream %s has events of versions %v", id, versions)
		}
		for v := range versions {
			began[v] = true
		}
	}
	if len(began) != 2 {
		t.Errorf("streams began at versions %v only", began)
	}
}

// restartAs starts an engine that has terminated again at its address, under its id and
// with another software version, which it has not registered yet.
func (s *testSite) restartAs(id, version string) {
	s.t.Helper()
	old := s.engines[id]
	l, err := net.Listen("tcp", old.address)
	if err != nil {
		s.t.Fatal(err)
	}
	e := &testEngine{Engine: &standin.Engine{ID: id, Slots: old.Slots, Events: old.Events, Delay: old.Delay}, version: version}
	e.server = httptest.NewUnstartedServer(e.Engine)
	_ = e.server.Listener.Close()
	e.server.Listener = l
	e.server.Start()
	s.t.Cleanup(func() { e.server.CloseClientConnections(); e.server.Close() })
	s.engines[id+"-restarted"] = e
}

// Guards against streams going on at, or being recorded at the version of, an engine that
// has started again under its id with another software version, before that is known.
func TestRestartedEngineOfAnotherVersionContinuesNoStream(t *testing.T) {
	s := newVersionedSite(t, 3)
	var ids []string
	for i := range 30 {
		ids = append(ids, s.brokenStream(s.daemons[i%3]))
	}
	s.engines["llm-1"].SetFaults(standin.EngineFaults{TerminateAfter: 2})
	for i := 0; s.terminations() == 0; i++ {
		s.chatAlone(s.daemons[i%3], i)
	}
	s.restartAs("llm-1", "v2")
	time.Sleep(propagationBound)
	for i := range 30 {
		ids = append(ids, s.brokenStream(s.daemons[i%3]))
	}
	s.takeUpAll(ids, s.daemons)
}

// Guards against the same where nobody has noticed that the engine has terminated.
func TestUnnoticedRestartAtAnotherVersionContinuesNoStream(t *testing.T) {
	s := newVersionedSite(t, 2)
	var ids []string
	for i := range 30 {
		ids = append(ids, s.brokenStream(s.daemons[i%2]))
	}
	s.engines["llm-1"].Terminate()
	s.engines["llm-1"].server.CloseClientConnections()
	s.restartAs("llm-1", "v2")
	s.takeUpAll(ids, s.daemons)
}

// Guards against streams that do not go on since daemons have been told by mistake that
// their endpoints have terminated.
func TestWrongReportOfTerminationDoesNotEndStreams(t *testing.T) {
	s := newVersionedSite(t, 2)
	for _, d := range s.daemons {
		for i, e := range d.g.holder.Endpoints() {
			d.g.suspects.RecordTermination(quarantine.Fingerprint(i), e.Name())
		}
	}
	for i := range 12 {
		id := s.brokenStream(s.daemons[i%2])
		if a := s.takeUp(s.daemons[(i+1)%2], id); a.status != http.StatusOK {
			t.Errorf("stream %s: status %d, %v", id, a.status, a.err)
		}
	}
}

// Guards against streams that do not go on, or at another version, while hosts are killed
// and come back one after the other, coordinators among them, and versions roll.
func TestStreamsGoOnWhileHostsAreReplaced(t *testing.T) {
	s := newVersionedSite(t, 4)
	for i, d := range s.daemons {
		var ids []string
		for n := range 12 {
			ids = append(ids, s.brokenStream(s.daemons[(i+n%2)%4]))
		}
		d.cancel()
		<-d.done
		id := fmt.Sprintf("llm-%d", 5+i)
		s.addEngineOf(id, "llm", "v3")
		s.takeUpAll(ids, []*testDaemon{s.daemons[(i+1)%4], s.daemons[(i+2)%4], s.daemons[(i+3)%4]})
		s.daemons[i] = s.startDaemon(i)
		s.await("the daemon is back", func() bool {
			return s.daemons[i].g.acceptsCallers() && len(s.daemons[i].g.holder.Endpoints()) == len(s.engines)
		})
	}
}

// Guards against a daemon guessing the version of a stream that it knows nothing of
// while several versions serve.
func TestUnknownStreamIsNotContinued(t *testing.T) {
	s := newVersionedSite(t, 2)
	id := s.brokenStream(s.daemons[0])
	for name, resumes := range map[string]string{"no id": "", "an unknown id": "other"} {
		a := s.takeUp(s.daemons[1], resumes)
		if a.status != http.StatusServiceUnavailable || len(s.runs(a.id)) != 0 {
			t.Errorf("%s: status %d, %d runs", name, a.status, len(s.runs(a.id)))
		}
	}
	a := s.call(s.daemons[1], http.MethodPost, "/chat/x", map[string]string{
		platform.HeaderAPIKey: standin.OtherSampleKey,
		platform.HeaderTokens: "1200,30", platform.HeaderParts: ownPart(),
		platform.HeaderResumes: id, platform.HeaderLastEvent: strconv.Itoa(eventsBefore),
	}, "prompt")
	if a.status != http.StatusServiceUnavailable || len(s.runs(a.id)) != 0 {
		t.Errorf("another account's stream: status %d, %d runs", a.status, len(s.runs(a.id)))
	}
}

// Guards against the version of a stream being lost with the daemon that began it.
func TestVersionIsKnownAfterItsDaemonIsKilled(t *testing.T) {
	s := newVersionedSite(t, 4)
	var ids []string
	for range 12 {
		ids = append(ids, s.brokenStream(s.daemons[0]))
	}
	s.daemons[0].cancel()
	<-s.daemons[0].done
	for i := range ids {
		id := ids[7*i%len(ids)]
		a := s.takeUp(s.daemons[1+i%3], id)
		if versions := s.versionsOf(id, a.id); a.status != http.StatusOK || len(versions) != 1 {
			t.Errorf("stream %s: status %d, versions %v", id, a.status, versions)
		}
	}
}

// Guards against refusing to continue streams of callers that do not say which request
// began them, while their pool has had one version only.
func TestUnnamedStreamIsContinuedAtTheSoleVersion(t *testing.T) {
	s := newTestSite(t, 2)
	s.brokenStream(s.daemons[0])
	if a := s.takeUp(s.daemons[1], ""); a.status != http.StatusOK || a.err != nil {
		t.Errorf("one version: status %d, %v", a.status, a.err)
	}
	s.addEngineOf("llm-3", "llm", "v2")
	s.store.Remove(platform.TableEngines, "llm-1")
	s.store.Remove(platform.TableEngines, "llm-2")
	s.addDaemon()
	for _, d := range s.daemons {
		s.await("the new version alone", func() bool { return d.g.acceptsCallers() && len(d.g.holder.Endpoints()) == 3 })
	}
	for _, d := range s.daemons {
		if a := s.takeUp(d, ""); a.status != http.StatusServiceUnavailable || len(s.runs(a.id)) > 0 {
			t.Errorf("the earlier version has left: status %d, %d runs", a.status, len(s.runs(a.id)))
		}
	}
}
