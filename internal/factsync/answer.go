package factsync

import (
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// servedListed is how many of the daemons that have got a configuration from
// here are named to those that must wait for it.
const servedListed = 4

// creditTime is the time for which a host that has sent no configuration saves
// up what it may send.
const creditTime = 500 * time.Millisecond

// share bounds the configurations that a host sends. All hosts want a new one
// at the same moment; sent to all by one reader, a large one would hold up the
// streams of the reader's own callers.
type share struct {
	// credit is how many bytes may be sent now. A document is sent whole while
	// it is positive, and what goes beyond is paid back first.
	credit float64
	at     time.Duration
	began  bool
	// served has the addresses that have got the version.
	served  []string
	version catalog.Version
}

// take tells whether a document of n bytes may be sent to an address now.
func (s *share) take(rate float64, n int, version catalog.Version, address string, now time.Duration) bool {
	if rate <= 0 {
		return true
	}
	if s.began {
		s.credit = min(rate*creditTime.Seconds(), s.credit+rate*(now-s.at).Seconds())
	} else {
		s.credit = rate * creditTime.Seconds()
	}
	s.began, s.at = true, now
	if s.credit <= 0 {
		return false
	}
	s.credit -= float64(n)
	if version != s.version {
		s.version, s.served = version, nil
	}
	s.served = append(s.served, address)
	s.served = s.served[max(0, len(s.served)-servedListed):]
	return true
}

// Answer answers another daemon that asks for facts.
func (s *Syncer) Answer(req *peerv1.FactsRequest) *peerv1.FactsResponse {
	d := s.Holder.Since(catalog.Version(req.GetConfigVersion()), facts.Position(req.GetPosition()))
	resp := toMessage(d)
	if now, ok := s.Store.Latest(); ok {
		resp.StoreNow = int64(now)
	}
	if len(d.Data) == 0 {
		return resp
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.share.take(s.DocumentRate, len(d.Data), d.Config, req.GetAddress(), s.Boot.Now()) {
		s.Metrics.Inc("facts.documentDeferred")
		resp.Config = nil
		resp.AskInstead = append(resp.AskInstead, s.share.served...)
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
		Changed:       uint64(d.Told()),
		GraceUntil:    int64(d.GraceUntil),
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
	for _, e := range resp.GetEndpoints() {
		d.Endpoints = append(d.Endpoints, facts.Endpoint{
			ID:       facts.EndpointID(e.GetId()),
			Pool:     table.Pool(e.GetPool()),
			Address:  e.GetAddress(),
			Zone:     e.GetZone(),
			Slots:    int(e.GetSlots()),
			Born:     e.GetBorn(),
			Draining: e.GetDraining(),
			Gone:     e.GetGone(),
			Changed:  facts.Position(e.GetChanged()),
			Sequence: e.GetSequence(),
		})
	}
	return d
}
