package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// peerPath is the path of one daemon to the other daemons.
type peerPath struct {
	enginePath
	send func(addresses []string, b *peerv1.Beacon) error

	mu sync.Mutex
	// cut has the IP addresses of the daemons to which nothing gets; all if it has "*".
	cut map[string]bool
}

func newPeerPath(g *Gateway) *peerPath {
	p := &peerPath{send: g.sendBeacon, cut: map[string]bool{}}
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	}
	g.dialPeer = p.Dial
	g.sendBeacon = func(addresses []string, b *peerv1.Beacon) error {
		p.mu.Lock()
		reached := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
			ip, _, _ := strings.Cut(address, ":")
			return p.cut["*"] || p.cut[ip]
		})
		p.mu.Unlock()
		return p.send(reached, b)
	}
	return p
}

// cutOff lets nothing get to some daemons, or to any with "*".
func (p *peerPath) cutOff(ips ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
	for _, ip := range ips {
		p.cut[ip] = true
	}
}

// hostCut is how a daemon is cut off.
type hostCut struct {
	// from and to are set if nothing gets from it to the others, and to it from them;
	// store if it does not reach the store.
	from, to, store bool
	// unrecorded is set if the store takes no writes meanwhile, so that it does not have
	// the new versions.
	unrecorded bool
}

// cutOff cuts a daemon off, or ends that with a zero cut.
func (s *testSite) cutOff(d *testDaemon, cut hostCut) {
	for _, other := range s.daemons {
		if other == d {
			continue
		}
		var unaffected []string
		for _, o := range s.daemons {
			if o != d {
				unaffected = append(unaffected, fmt.Sprintf("%s:%d", o.ip, testPeerPort))
			}
		}
		if cut.to {
			other.peers.cutOff(d.ip)
			other.peers.Break(pathHangs, unaffected...)
		} else {
			other.peers.cutOff()
			other.peers.Break(pathWorks)
		}
	}
	// Connections carry data in both directions.
	if cut.from {
		d.peers.cutOff("*")
		d.peers.Break(pathHangs)
	} else {
		d.peers.cutOff()
		d.peers.Break(pathWorks)
	}
	faults := standin.StoreFaults{RefuseWrites: cut.unrecorded}
	if cut.store {
		faults.Refused = []string{d.ip}
	}
	s.store.SetFaults(faults)
	if cut.store {
		d.store.CloseClientConnections()
	}
}

// apart returns a daemon that coordinates nothing and reads nothing for the others, and the
// others.
func (s *testSite) apart() (alone *testDaemon, others []*testDaemon) {
	s.t.Helper()
	s.chatAndLook(1)
	i := slices.IndexFunc(s.daemons, func(d *testDaemon) bool {
		status := d.g.coordinator.Status()
		return len(status.Cells) == 0 && !d.g.sync.ShouldRead()
	})
	if i < 0 {
		s.t.Fatal("every daemon reads or coordinates")
	}
	return s.daemons[i], slices.Concat(s.daemons[:i], s.daemons[i+1:])
}

// beginAt begins streams at some daemons until n have begun at engines of a version.
func (s *testSite) beginAt(daemons []*testDaemon, version string, n int) (ids []string) {
	s.t.Helper()
	for i := 0; len(ids) < n && i < 50*n; i++ {
		id := s.brokenStream(daemons[i%len(daemons)])
		if s.versionsOf(id)[version] {
			ids = append(ids, id)
		}
	}
	if len(ids) < n {
		s.t.Fatalf("%d of %d streams begun at %s", len(ids), n, version)
	}
	return ids
}

// Guards against a stream that goes on at an engine of another version since the daemon at
// which it is taken up is cut off while engines of its version join.
func TestHostOutOfStepContinuesNoStreamAtAnotherVersion(t *testing.T) {
	cuts := map[string]hostCut{
		"none":                       {},
		"from the others":            {from: true, to: true},
		"to the others":              {from: true},
		"of the others":              {to: true},
		"from the store":             {store: true},
		"from all":                   {from: true, to: true, store: true},
		"from all but out":           {to: true, store: true},
		"none, no writes":            {unrecorded: true},
		"from the others, no writes": {from: true, to: true, unrecorded: true},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) { playOutOfStep(t, cut) })
	}
}

// playOutOfStep cuts one of eight daemons off while an engine of another version joins, and
// again while one takes the place of an engine under its id.
func playOutOfStep(t *testing.T, cut hostCut) {
	t.Helper()
	s := newTestSite(t, 8)
	alone, others := s.apart()
	s.beginAt(s.daemons, standin.SampleVersion, 4)
	for _, version := range []string{"v2", "v3"} {
		s.cutOff(alone, cut)
		if version == "v2" {
			s.addEngineOf("llm-3", "llm", version)
		} else {
			s.replaceAt("llm-1", version)
		}
		for _, d := range others {
			s.await("the version is known", func() bool { return slices.Contains(versionTexts(d), version) })
		}
		for _, named := range []bool{false, true} {
			id := s.beginAt(others, version, 1)[0]
			resumes := ""
			if named {
				resumes = id
			}
			a := s.takeUp(alone, resumes)
			if versions := s.versionsOf(id, a.id); len(versions) != 1 {
				t.Errorf("stream %s, named %v, has events of versions %v", id, named, versions)
			}
		}
		s.cutOff(alone, hostCut{})
		s.await("streams go on", func() bool {
			id := s.brokenStream(others[0])
			a := s.takeUp(alone, id)
			if versions := s.versionsOf(id, a.id); len(versions) != 1 {
				t.Errorf("after the cut stream %s has events of versions %v", id, versions)
			}
			return a.status == http.StatusOK
		})
	}
}

// replaceAt has an engine of another version take the place of one under its id and at its
// address, and register.
func (s *testSite) replaceAt(id, version string) {
	s.t.Helper()
	old := s.engines[id]
	if again := s.engines[id+"-restarted"]; again != nil {
		old = again
	}
	_ = old.server.Listener.Close()
	old.server.CloseClientConnections()
	s.restartAs(id, version)
	e := s.engines[id+"-restarted"]
	e.pool, e.address = "llm", strings.TrimPrefix(e.server.URL, "http://")
	entry := standin.NewEntry("llm", e.address, false)
	entry["version"], entry["born"] = version, e.Born()
	s.store.Put(platform.TableEngines, id, entry)
}

func versionTexts(d *testDaemon) (versions []string) {
	for _, v := range d.g.holder.Versions("llm") {
		versions = append(versions, string(v))
	}
	return versions
}
