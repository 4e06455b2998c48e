package heartbeat_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against updates that are lost with the response that carried them.
func TestLostResponseIsSentAgain(t *testing.T) {
	n := newNetwork(t, 2)
	n.introduce()
	a, b := n.nodes[0], n.nodes[1]
	n.beat(a)
	b.view.Apply(membership.Update{Status: membership.Alive, Host: membership.Host{ID: "new", Incarnation: 1, PeerAddress: "new"}})
	call := a.x.Call
	a.x.Call = func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
		_, _ = call(ctx, address, req)
		a.x.Call = call
		return nil, errNoResponse
	}
	a.x.SendHeartbeat(context.Background(), a.view.Partners()[0])
	if _, ok := a.view.Hosts().Find("new"); !ok {
		t.Error("the update in the lost response was not sent again")
	}
}

// Guards against a restarted daemon that is taken for its earlier incarnation: the
// positions of that one say nothing about what the new one knows.
func TestRestartedDaemonIsSentChanges(t *testing.T) {
	n := newNetwork(t, 2)
	n.introduce()
	a := n.nodes[0]
	a.view.Apply(membership.Update{Status: membership.Alive, Host: membership.Host{ID: "new", Incarnation: 1, PeerAddress: name(1)}})
	n.beat(a)
	n.nodes[1] = n.newNode(1)
	n.beat(n.nodes[0])
	if _, ok := n.nodes[1].view.Hosts().Find("new"); !ok {
		t.Error("the restarted daemon was not sent what the earlier one had received")
	}
}

// Guards against an update that a comparison leaves out: that a host is suspect is no
// part of its version.
func TestComparisonIncludesSuspects(t *testing.T) {
	n := newNetwork(t, 3)
	n.introduce()
	a, b := n.nodes[0], n.nodes[1]
	a.x.SendHeartbeat(context.Background(), b.view.Self())
	a.view.Apply(membership.Update{Status: membership.Alive, Host: membership.Host{ID: "new", Incarnation: 1}})
	call := a.x.Call
	compared := false
	a.x.Call = func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
		if len(req.GetVersions()) > 0 {
			compared = true
			b.view.Suspect(n.nodes[2].view.Self().ID, n.nodes[2].view.Self().Incarnation)
		}
		req.Changes = nil
		return call(ctx, address, req)
	}
	for range 5 {
		a.x.SendHeartbeat(context.Background(), b.view.Self())
		n.clock.Advance(heartbeat.Interval)
	}
	if _, suspect := a.view.SuspectOrGone(n.nodes[2].view.Self()); !compared || !suspect {
		t.Errorf("compared: %v, knows the suspect: %v", compared, suspect)
	}
}

// Guards against daemons that send all that they know because of one difference.
func TestComparisonSendsDifferencesOnly(t *testing.T) {
	const hosts, missing = 200, 3
	n := newNetwork(t, 2)
	n.introduce()
	a, b := n.nodes[0], n.nodes[1]
	for i := range hosts {
		one := membership.Update{Status: membership.Alive, Host: membership.Host{ID: membership.HostID(name(10 + i)), Incarnation: 1}}
		if i%50 != 1 || i == 1 {
			a.view.Apply(one)
		}
		if i%50 != 2 || i == 2 {
			b.view.Apply(one)
		}
	}
	want := b.view.Hosts().Len() + missing
	var sent int
	call := a.x.Call
	a.x.Call = func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
		resp, err := call(ctx, address, req)
		if len(req.GetVersions()) > 0 || sent > 0 {
			sent += len(req.GetChanges()) + len(resp.GetChanges())
		}
		return resp, err
	}
	for range 6 {
		a.x.SendHeartbeat(context.Background(), b.view.Self())
		n.clock.Advance(heartbeat.Interval)
	}
	if a.view.Digest() != b.view.Digest() || b.view.Hosts().Len() != want {
		t.Errorf("the daemons know %d and %d hosts, want %d", a.view.Hosts().Len(), b.view.Hosts().Len(), want)
	}
	if sent > 2*missing {
		t.Errorf("%d updates were sent, %d differed", sent, 2*missing)
	}
}

// Guards against a restarted daemon that suspects parts which have completed before: no
// digest covers completions.
func TestRestartedDaemonIsSentCompletions(t *testing.T) {
	n := newNetwork(t, 2)
	n.introduce()
	a, completed := n.nodes[0], []quarantine.PartKey{7}
	a.x.Parts = quarantine.NewParts(n.clock)
	a.x.Parts.RecordCompletion(completed)
	n.beat(a)
	n.nodes[1] = n.newNode(1)
	b := n.nodes[1]
	b.x.Parts = quarantine.NewParts(n.clock)
	n.beat(a)
	n.beat(a)
	for i := range 3 {
		b.x.Parts.RecordTermination(completed, table.EndpointName(fmt.Sprint("endpoint-", i)))
	}
	if n := b.x.Parts.QuarantinedCount(); n != 0 {
		t.Error("the part is quarantined")
	}
	sent := 0
	call := a.x.Call
	a.x.Call = func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
		sent += len(req.GetParts())
		return call(ctx, address, req)
	}
	n.beat(a)
	if sent != 0 {
		t.Errorf("%d completions are sent again", sent)
	}
}
