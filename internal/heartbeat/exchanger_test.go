package heartbeat_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// scenario is a sequence of events in a fleet, with what its daemons must know of
// each other afterwards.
type scenario struct {
	Name string `json:"name"`
	// Story describes the failure and the expected result.
	Story string `json:"story"`
	Hosts int    `json:"hosts"`
	// StartUnknown makes the daemons start without knowing each other.
	StartUnknown bool   `json:"strangers"`
	Steps        []step `json:"steps"`
}

// step is one action or expectation. Hosts are identified by number.
type step struct {
	Rounds  int   `json:"rounds"`
	Kill    []int `json:"kill"`
	Restart []int `json:"restart"`
	Leave   []int `json:"leave"`
	Depart  []int `json:"depart"`
	// Freeze keeps daemons from sending and responding; Thaw ends it.
	Freeze []int `json:"freeze"`
	Thaw   []int `json:"thaw"`
	// Silence makes the open connections between pairs of hosts deliver
	// nothing; new connections work.
	Silence [][2]int `json:"silence"`
	// Cut partitions these hosts from the others; Heal ends it.
	Cut  []int `json:"cut"`
	Heal bool  `json:"heal"`
	// Drop lists hosts, each with the number of messages to it that are lost.
	Drop [][2]int `json:"drop"`
	// Terminated lists a daemon, a request and an endpoint whose process
	// terminated during the request there; Completed lists a daemon and a
	// request that was completed there.
	Terminated [][3]int `json:"ended"`
	Completed  [][2]int `json:"completed"`
	// Probe makes every daemon probe a host that it knows as gone, or a seed if
	// it knows no other host.
	Probe bool `json:"look"`

	Expect *expectation `json:"expect"`
}

type expectation struct {
	// By lists the daemons to check; absent means all that run.
	By []int `json:"by"`
	// Known is the number of hosts that each daemon knows and that are not gone.
	Known *int `json:"known"`
	// Ready is the number of hosts that accept work.
	Ready *int `json:"ready"`
	// Gone has, for a host, how often one of its incarnations was found gone.
	Gone map[string]int `json:"gone"`
	// Quarantined and NotQuarantined have requests that each daemon has, or
	// does not have, in quarantine.
	Quarantined    []int `json:"kept"`
	NotQuarantined []int `json:"notKept"`
	// Minority is whether each daemon reaches fewer than half of the hosts.
	Minority *bool `json:"minority"`
	// Counts are minimum values of counters, summed over all daemons.
	Counts map[string]int `json:"counts"`
	// AtMost are maximum values of such counters.
	AtMost map[string]int `json:"atMost"`
}

// network is a fleet whose messages are function calls.
type network struct {
	t     *testing.T
	clock *clockwork.FakeClock
	nodes []*node
	// silent holds the pairs of sender and address whose open connection delivers
	// nothing.
	silent map[[2]string]bool
	cut    map[int]bool
	drop   map[string]int
	counts map[string]int
	// incarnations counts the starts of daemons.
	incarnations uint64
}

type node struct {
	number int
	view   *membership.View
	x      *heartbeat.Exchanger
	down   bool
	frozen bool
	gone   map[string]int
}

func newNetwork(t *testing.T, hosts int) *network {
	n := &network{t: t, clock: clockwork.NewFakeClock(), silent: map[[2]string]bool{}, cut: map[int]bool{}, drop: map[string]int{}, counts: map[string]int{}}
	for i := range hosts {
		n.nodes = append(n.nodes, n.newNode(i))
	}
	return n
}

func name(i int) string { return fmt.Sprintf("host-%d", i) }

func (n *network) newNode(i int) *node {
	n.incarnations++
	nd := &node{number: i, gone: map[string]int{}}
	nd.view = membership.NewView(n.clock, membership.Host{
		ID: membership.HostID(name(i)), Incarnation: n.incarnations, State: membership.Ready, PeerAddress: name(i),
	})
	count := func(name string) { n.counts[name]++ }
	nd.view.Count = count
	nd.view.OnGone = func(h membership.Host) { nd.gone[string(h.ID)]++ }
	nd.x = &heartbeat.Exchanger{
		Clock: n.clock, View: nd.view, Count: count,
		Call: func(_ context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
			return n.call(nd, address, req)
		},
		CloseConnections: func(address string) { delete(n.silent, [2]string{name(i), address}) },
		OnResponse:       func(membership.Update, time.Time, time.Duration) {},
		StoreAge:         func() time.Duration { return 0 },
		Seeds:            func() []string { return []string{name(0), name(1), name(2)} },
		Load:             func() uint32 { return 0 },
		Quarantine:       quarantine.NewList(n.clock),
	}
	return nd
}

var errNoResponse = errors.New("no response")

func (n *network) call(from *node, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	n.counts["messages"]++
	if !req.GetFull() && len(req.GetVersions()) == 0 {
		n.counts["largest"] = max(n.counts["largest"], len(req.GetChanges()))
	}
	n.counts["suspects"] += len(req.GetSuspects())
	var number int
	if _, err := fmt.Sscanf(address, "host-%d", &number); err != nil {
		n.t.Fatal(err)
	}
	to := n.nodes[number]
	if to.down || to.frozen || n.cut[number] != n.cut[from.number] || n.silent[[2]string{name(from.number), address}] {
		return nil, errNoResponse
	}
	if n.drop[address] > 0 {
		n.drop[address]--
		return nil, errNoResponse
	}
	return to.x.HandleHeartbeat(req), nil
}

func (n *network) running() []*node {
	return slices.DeleteFunc(slices.Clone(n.nodes), func(nd *node) bool { return nd.down })
}

// round makes every daemon exchange one heartbeat with each of its partners.
func (n *network) round() {
	for _, nd := range n.running() {
		n.beat(nd)
	}
	n.sendUrgent()
	n.clock.Advance(heartbeat.Interval)
	for _, nd := range n.running() {
		if !nd.frozen {
			nd.view.Sweep()
		}
	}
}

// urgentRounds is how often urgent updates are sent between two rounds; the
// protocol itself allows one each 100 ms.
const urgentRounds = 4

func (n *network) sendUrgent() {
	for range urgentRounds {
		for _, nd := range n.running() {
			select {
			case <-nd.view.Wake:
				n.beat(nd)
			case <-nd.x.Quarantine.Wake():
				n.beat(nd)
			default:
			}
		}
	}
}

func (n *network) beat(nd *node) {
	if nd.frozen {
		return
	}
	for _, h := range nd.view.Partners() {
		nd.x.SendHeartbeat(context.Background(), h)
	}
}

func (n *network) run(s step) {
	for _, i := range s.Kill {
		n.nodes[i].down = true
	}
	for _, i := range s.Restart {
		n.nodes[i] = n.newNode(i)
		n.nodes[i].x.Probe(context.Background(), name((i+1)%3))
	}
	for _, i := range s.Leave {
		n.nodes[i].view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	}
	for _, i := range s.Depart {
		n.nodes[i].view.Depart()
		n.sendUrgent()
		n.nodes[i].down = true
	}
	for _, i := range s.Freeze {
		n.nodes[i].frozen = true
	}
	for _, i := range s.Thaw {
		n.nodes[i].frozen = false
		n.nodes[i].view.RestartSuspicion()
	}
	for _, pair := range s.Silence {
		n.silent[[2]string{name(pair[0]), name(pair[1])}] = true
	}
	for _, d := range s.Drop {
		n.drop[name(d[0])] += d[1]
	}
	for _, i := range s.Cut {
		n.cut[i] = true
	}
	for _, e := range s.Terminated {
		n.nodes[e[0]].x.Quarantine.RecordTermination(quarantine.Fingerprint(e[1]), table.EndpointName(fmt.Sprintf("engine-%d", e[2])))
	}
	for _, e := range s.Completed {
		n.nodes[e[0]].x.Quarantine.RecordCompletion(quarantine.Fingerprint(e[1]))
	}
	if len(s.Terminated)+len(s.Completed) > 0 {
		n.sendUrgent()
	}
	if s.Heal {
		n.cut = map[int]bool{}
	}
	if s.Probe {
		n.probe()
	}
	for range s.Rounds {
		n.round()
	}
	if s.Expect != nil {
		n.check(*s.Expect)
	}
}

// probe makes each daemon probe the first host that it knows as gone, and the first
// host of all if it knows no other host.
func (n *network) probe() {
	for _, nd := range n.running() {
		if nd.view.Hosts().Len() == 1 {
			nd.x.Probe(context.Background(), name(0))
		}
		if gone := nd.view.Gone().All(); len(gone) > 0 {
			nd.x.Probe(context.Background(), gone[0].PeerAddress)
		}
	}
}

func (n *network) check(e expectation) {
	n.t.Helper()
	for _, nd := range n.running() {
		if e.By != nil && !slices.Contains(e.By, nd.number) {
			continue
		}
		if got := nd.view.Hosts().Len(); e.Known != nil && got != *e.Known {
			n.t.Errorf("%s knows %d hosts, want %d", name(nd.number), got, *e.Known)
		}
		if got := nd.view.Ready().Len(); e.Ready != nil && got != *e.Ready {
			n.t.Errorf("%s knows %d ready hosts, want %d", name(nd.number), got, *e.Ready)
		}
		if got := nd.view.InMinority(); e.Minority != nil && got != *e.Minority {
			n.t.Errorf("%s: minority is %v, want %v", name(nd.number), got, *e.Minority)
		}
		for _, f := range e.Quarantined {
			if !nd.x.Quarantine.IsQuarantined(quarantine.Fingerprint(f)) {
				n.t.Errorf("request %[2]d is not quarantined at %[1]s", name(nd.number), f)
			}
		}
		for _, f := range e.NotQuarantined {
			if nd.x.Quarantine.IsQuarantined(quarantine.Fingerprint(f)) {
				n.t.Errorf("request %[2]d is quarantined at %[1]s", name(nd.number), f)
			}
		}
		for host, want := range e.Gone {
			if got := nd.gone[host]; got != want && host != name(nd.number) {
				n.t.Errorf("%s found %s gone %d times, want %d", name(nd.number), host, got, want)
			}
		}
	}
	for counter, least := range e.Counts {
		if got := n.counts[counter]; got < least {
			n.t.Errorf("%s is %d, want at least %d", counter, got, least)
		}
	}
	for counter, most := range e.AtMost {
		if got := n.counts[counter]; got > most {
			n.t.Errorf("%s is %d, want at most %d", counter, got, most)
		}
	}
}

// introduce makes all daemons known to each other.
func (n *network) introduce() {
	for _, nd := range n.nodes {
		for _, other := range n.nodes {
			nd.view.Apply(other.view.SelfUpdate())
		}
		<-nd.view.Wake
	}
}

// Each data file has the story of its scenario.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var s scenario
		if err := json.Unmarshal(data, &s); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		t.Run(s.Name, func(t *testing.T) {
			n := newNetwork(t, s.Hosts)
			if !s.StartUnknown {
				n.introduce()
			}
			for _, st := range s.Steps {
				n.run(st)
			}
		})
	}
}
