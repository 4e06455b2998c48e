package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	silenceHosts     = 360
	silenceEndpoints = 32
)

// Guards against ejecting nearly all endpoints of a cell when all hosts report a
// silence that these share: the requests that are sent again would wait for the few that
// are left, and for seconds after the silence.
func TestSilenceThatAllHostsReport(t *testing.T) {
	c := newTakeover()
	tbl := &table.Table{Classes: []table.Class{{Name: "c", Weight: 1, Pools: []table.Pool{"p"}}}}
	for i := range silenceEndpoints {
		tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: table.EndpointName(fmt.Sprintf("e-%02d", i)), Kind: table.KindService, Pool: "p", Region: "r", Concurrency: 16})
	}
	tbl.BuildIndex()
	c.Configure(tbl)
	c.run(time.Second)
	cellID := string(c.plan.Cells("p")[0])
	granted, endpoints := 0, make([]string, silenceHosts)
	sessions := make([]*Session, silenceHosts)
	for i := range sessions {
		hello := &peerv1.Hello{Host: fmt.Sprintf("entry-%03d", i), Incarnation: 1}
		sessions[i] = c.Attach(hello, func(r *peerv1.ReservationsResponse) {
			for _, g := range r.GetGrants() {
				granted++
				endpoints[i] = g.GetEndpoint()
			}
		})
	}
	reserve := func(sequence uint64, excluded ...string) []*peerv1.Reserve {
		return []*peerv1.Reserve{{Sequence: sequence, Cell: cellID, Class: "c", Excluded: excluded}}
	}
	for _, s := range sessions {
		s.Handle(&peerv1.ReservationsRequest{Reserves: reserve(1)})
	}
	if granted != silenceHosts {
		t.Fatalf("%d of %d requests were granted a slot before the silence", granted, silenceHosts)
	}
	c.run(1200 * time.Millisecond)
	for i, s := range sessions {
		s.Handle(&peerv1.ReservationsRequest{
			Releases: []*peerv1.Release{{Sequence: 1, Cell: cellID, Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED}},
			Reserves: reserve(2, endpoints[i]),
		})
	}
	status := c.Status().Cells[0]
	if granted != 2*silenceHosts {
		t.Errorf("%d of %d requests were granted another slot; %d ejections", granted-silenceHosts, silenceHosts, status.Ejections)
	}
}
