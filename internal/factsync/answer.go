package factsync

import (
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// maxServedListed is how many of the daemons that have received a
// configuration from here are named to those that must wait for it.
const maxServedListed = 4

// maxCreditTime is the time for which a host that sends no configuration
// accumulates credit.
const maxCreditTime = 500 * time.Millisecond

// sendBudget limits the configurations that a host sends. All hosts request a
// new one at the same moment; if one reader sent a large one to all of them,
// the streams of the reader's own callers would be delayed.
type sendBudget struct {
	// credit is how many bytes may be sent now. A document is sent in full while
	// the credit is positive; a negative credit must be made up first.
	credit  float64
	at      time.Duration
	started bool
	// served holds the addresses that have received the version.
	served  []string
	version catalog.Version
}

// take reports whether a document of n bytes may be sent to an address now,
// and if so deducts it from the credit.
func (s *sendBudget) take(rate float64, n int, version catalog.Version, address string, now time.Duration) bool {
	if rate <= 0 {
		return true
	}
	if s.started {
		s.credit = min(rate*maxCreditTime.Seconds(), s.credit+rate*(now-s.at).Seconds())
	} else {
		s.credit = rate * maxCreditTime.Seconds()
	}
	s.started, s.at = true, now
	if s.credit <= 0 {
		return false
	}
	s.credit -= float64(n)
	if version != s.version {
		s.version, s.served = version, nil
	}
	s.served = append(s.served, address)
	s.served = s.served[max(0, len(s.served)-maxServedListed):]
	return true
}

// Answer responds to another daemon's request for facts.
func (s *Syncer) Answer(req *peerv1.FactsRequest) *peerv1.FactsResponse {
	d := s.Holder.DeltaSince(catalog.Version(req.GetConfigVersion()), facts.Position(req.GetPosition()))
	resp := toMessage(d)
	if now, ok := s.StoreClock.Latest(); ok {
		resp.StoreNow = int64(now)
	}
	if len(d.Data) == 0 {
		return resp
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.configBudget.take(s.DocumentRate, len(d.Data), d.Config, req.GetAddress(), s.Boot.Now()) {
		s.Metrics.Inc("facts.documentDeferred")
		resp.Config = nil
		resp.AskInstead = append(resp.AskInstead, s.configBudget.served...)
	}
	return resp
}

func toMessage(d facts.Delta) *peerv1.FactsResponse {
	resp := &peerv1.FactsResponse{
		ConfigVersion: uint64(d.Config),
		Config:        d.Data,
		ConfigAsOf:    int64(d.ConfigAsOf),
		Position:      uint64(d.Position),
		EndpointsAsOf: int64(d.EndpointsAsOf),
		Whole:         d.Whole,
		Changed:       uint64(d.RequiredPosition()),
		GraceUntil:    int64(d.GraceUntil),
	}
	for _, v := range d.Left {
		resp.Left = append(resp.Left, &peerv1.LeftVersion{Pool: string(v.Pool), Version: string(v.Version), At: int64(v.At)})
	}
	for _, e := range d.Endpoints {
		resp.Endpoints = append(resp.Endpoints, &peerv1.EndpointFact{
			Id:       string(e.ID),
			Pool:     string(e.Pool),
			Address:  e.Address,
			Zone:     e.Zone,
			Slots:    uint32(max(0, e.Slots)),
			Born:     e.Born,
			Draining: e.Draining,
			Spot:     e.Spot,
			Version:  string(e.Version),
			Gone:     e.Gone,
			Changed:  uint64(e.Changed),
			Sequence: e.Sequence,
		})
	}
	return resp
}

func fromMessage(resp *peerv1.FactsResponse) facts.Delta {
	d := facts.Delta{
		Summary: facts.Summary{
			Config:        catalog.Version(resp.GetConfigVersion()),
			ConfigAsOf:    storetime.Instant(resp.GetConfigAsOf()),
			Changed:       facts.Position(resp.GetChanged()),
			Position:      facts.Position(resp.GetPosition()),
			EndpointsAsOf: storetime.Instant(resp.GetEndpointsAsOf()),
			GraceUntil:    storetime.Instant(resp.GetGraceUntil()),
		},
		Data:  resp.GetConfig(),
		Whole: resp.GetWhole(),
	}
	for _, v := range resp.GetLeft() {
		d.Left = append(d.Left, facts.LeftVersion{
			PoolVersion: facts.PoolVersion{Pool: table.Pool(v.GetPool()), Version: table.SoftwareVersion(v.GetVersion())},
			At:          storetime.Instant(v.GetAt()),
		})
	}
	for _, e := range resp.GetEndpoints() {
		d.Endpoints = append(d.Endpoints, facts.Endpoint{
			ID:       facts.EndpointID(e.GetId()),
			Pool:     table.Pool(e.GetPool()),
			Address:  e.GetAddress(),
			Zone:     e.GetZone(),
			Slots:    int(e.GetSlots()),
			Born:     e.GetBorn(),
			Draining: e.GetDraining(),
			Spot:     e.GetSpot(),
			Version:  table.SoftwareVersion(e.GetVersion()),
			Gone:     e.GetGone(),
			Changed:  facts.Position(e.GetChanged()),
			Sequence: e.GetSequence(),
		})
	}
	return d
}
