package streamversion

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

// lossCase is a fleet that loses hosts after streams have begun.
type lossCase struct {
	Name  string `json:"name"`
	Hosts int    `json:"hosts"`
	Zones int    `json:"zones"`
	// Series is the number of other hosts that are killed and started again, half a
	// second apart, before the host that began the streams.
	Series int `json:"series"`
	// Kill is the number of hosts killed at once, KillZone whether a whole zone is;
	// the host that began the streams is among them. Restart starts all hosts again
	// at the same moment.
	Kill     int  `json:"kill"`
	KillZone bool `json:"killZone"`
	Restart  bool `json:"restart"`
	// Cut cuts the asked host off, Unknown is the number of hosts that it does not
	// know.
	Cut     bool `json:"cut"`
	Unknown int  `json:"unknown"`
	// Found is the share of streams of which the version must be found.
	Found float64 `json:"found"`
}

// fleet connects directories that know the same hosts.
type fleet struct {
	hosts       *membership.Snapshot
	directories map[string]*Directory
	// down and cut hold the peer addresses that nothing reaches.
	down, cut map[string]bool
	sent      int
}

func newFleet(hosts, zones int) *fleet {
	f := &fleet{directories: map[string]*Directory{}, down: map[string]bool{}, cut: map[string]bool{}}
	var all []membership.Host
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		all = append(all, membership.Host{ID: membership.HostID(name), Zone: fmt.Sprint(i % zones), PeerAddress: name})
	}
	f.hosts = membership.NewSnapshot(all)
	for _, h := range f.hosts.All() {
		f.start(h)
	}
	return f
}

// start replaces the directory of a host by an empty one.
func (f *fleet) start(self membership.Host) {
	d := &Directory{
		Clock: bubbleclock.New(), Self: func() membership.Host { return self },
		Hosts: func() *membership.Snapshot { return f.hosts }, Count: func(string) {},
	}
	d.Send = func(addresses []string, m *peerv1.StreamVersion) {
		for _, address := range addresses {
			f.sent++
			if to := f.directories[address]; to != nil && !f.down[address] && !f.cut[address] && !f.cut[self.PeerAddress] {
				to.Receive(m)
			}
		}
	}
	f.directories[self.PeerAddress] = d
}

// setHosts replaces the hosts that every daemon knows, so that records are refreshed.
func (f *fleet) setHosts(hosts []membership.Host) {
	f.hosts = membership.NewSnapshot(hosts)
	time.Sleep(refreshInterval)
	for address, d := range f.directories {
		if !f.down[address] {
			d.Refresh()
		}
	}
}

const testStreams = 200

// Guards against streams that are not continued because the hosts that knew their
// versions are gone, and against streams continued at another version.
func TestVersionsOutlastTheLossOfHosts(t *testing.T) {
	data, err := os.ReadFile("testdata/loss.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []lossCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.play) })
	}
}

func (c *lossCase) play(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(c.Hosts, c.Zones)
	all := f.hosts.All()
	writer := all[0]
	versions := map[Key]table.SoftwareVersion{}
	for i := range testStreams {
		k := KeyOf("acme", "llm", fmt.Sprint(i))
		versions[k] = table.SoftwareVersion(fmt.Sprint("v", i%3))
		f.directories[writer.PeerAddress].Begin(k, versions[k], 30*time.Second)
	}
	c.killInSeries(f, all)
	killed := c.killAtOnce(f, all, rng)
	asked := all[len(all)-1]
	for i := len(all) - 1; killed[asked.ID]; i-- {
		asked = all[i]
	}
	d := f.directories[asked.PeerAddress]
	if c.Restart {
		for _, h := range all {
			f.start(h)
		}
		d = f.directories[asked.PeerAddress]
	}
	if c.Cut {
		f.cut[asked.PeerAddress] = true
	}
	if c.Unknown > 0 {
		known := membership.NewSnapshot(all[c.Unknown:])
		d.Hosts = func() *membership.Snapshot { return known }
	}
	found := 0
	for k, want := range versions {
		version, err := d.Lookup(context.Background(), k)
		switch {
		case err == nil && version != want:
			t.Errorf("version %q, want %q", version, want)
		case err == nil:
			found++
		case !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrUnreachable):
			t.Errorf("lookup: %v", err)
		}
	}
	t.Logf("%d of %d versions found, %.1f datagrams per stream", found, testStreams, float64(f.sent)/testStreams)
	if float64(found) < c.Found*testStreams || c.Restart && found > 0 {
		t.Errorf("%d of %d versions found, want a share of %v", found, testStreams, c.Found)
	}
}

// killInSeries kills hosts other than the first, each while the one before starts again
// without its records.
func (c *lossCase) killInSeries(f *fleet, all []membership.Host) {
	for i := range c.Series {
		h := all[1+i%(len(all)-1)]
		f.down[h.PeerAddress] = true
		f.setHosts(append(append([]membership.Host(nil), all[:1+i%(len(all)-1)]...), all[2+i%(len(all)-1):]...))
		f.down[h.PeerAddress] = false
		f.start(h)
	}
	if c.Series > 0 {
		f.setHosts(all)
	}
}

// killAtOnce kills the first host and others.
func (c *lossCase) killAtOnce(f *fleet, all []membership.Host, rng *rand.Rand) map[membership.HostID]bool {
	killed := map[membership.HostID]bool{}
	for n, i := range append([]int{0}, rng.Perm(len(all))...) {
		if n == 0 && c.Kill > 0 || len(killed) < c.Kill || c.KillZone && all[i].Zone == all[0].Zone {
			killed[all[i].ID] = true
			f.down[all[i].PeerAddress] = true
		}
	}
	return killed
}

// Guards against owners that depend on more than the hosts: a daemon that knows a few
// hosts less must find most of the same ones, and no zone may hold all copies.
func TestOwnersAreStableAndSpread(t *testing.T) {
	f := newFleet(60, 6)
	hosts := f.hosts.All()
	for i := range 100 {
		k := KeyOf("a", "p", fmt.Sprint(i))
		owners := Owners(k, hosts, copies)
		zones := map[string]int{}
		known := map[membership.HostID]bool{}
		for _, h := range owners {
			zones[h.Zone]++
			known[h.ID] = true
		}
		if len(known) != copies || len(zones) < 4 {
			t.Fatalf("owners %v", owners)
		}
		same := 0
		for _, h := range Owners(k, hosts[6:], copies) {
			if known[h.ID] {
				same++
			}
		}
		if same < copies/2 {
			t.Errorf("%d of %d owners are the same without six hosts", same, copies)
		}
	}
}

// Guards against records that grow without bound.
func TestRecordsAreBoundedAndExpire(t *testing.T) {
	var r records
	now := time.Unix(0, 0)
	for i := range 3 * maxRecords {
		r.put(KeyOf("a", "p", fmt.Sprint(i)), "v1", now, time.Hour)
	}
	if len(r.byKey) > maxRecords+1 || len(r.order) > 2*maxRecords {
		t.Errorf("%d records, %d entries of the order", len(r.byKey), len(r.order))
	}
	k := KeyOf("a", "p", "last")
	r.put(k, "v1", now, time.Minute)
	r.put(k, "v2", now, time.Hour)
	if v, ok := r.get(k, now.Add(59*time.Second)); !ok || v != "v1" {
		t.Errorf("got %q, %v: the version of a stream never changes", v, ok)
	}
	if _, ok := r.get(k, now.Add(time.Minute)); ok {
		t.Error("an expired record is still used")
	}
}
