package gateway

import (
	"reflect"
	"slices"
	"strings"
	"sync"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/pkg/table"
)

// changedEndpoints collects the endpoints that have changed since the plan was
// updated. It is safe for concurrent use.
type changedEndpoints struct {
	mu  sync.Mutex
	ids map[facts.EndpointID]bool
}

func (s *changedEndpoints) add(c facts.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = map[facts.EndpointID]bool{}
	}
	for _, ids := range [][]facts.EndpointID{c.Registered, c.Draining, c.Gone, c.Retained} {
		for _, id := range ids {
			s.ids[id] = true
		}
	}
}

// take returns the collected endpoints and begins anew.
func (s *changedEndpoints) take() map[facts.EndpointID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.ids
	s.ids = nil
	return ids
}

// endpointPlan derives the plan and the classes from the facts. An update costs as
// much as what has changed, unless the pools of the configuration change. It is not
// safe for concurrent use.
type endpointPlan struct {
	region  string
	catalog *catalog.Catalog
	// classes is the scheduling table without endpoints.
	classes *table.Table
	plan    *cell.Plan
	// planned holds the endpoints of the plan.
	planned  map[facts.EndpointID]*cell.Member
	draining int
	// byURL holds the planned endpoints at each URL, the last one that changed at the
	// end. One that has started again has a new name, and the registration of its
	// predecessor may stay for a while.
	byURL map[string][]*cell.Member
}

func newEndpointPlan(region string, cellSize int) *endpointPlan {
	return &endpointPlan{
		region: region, plan: cell.EmptyPlan(cellSize),
		planned: map[facts.EndpointID]*cell.Member{}, byURL: map[string][]*cell.Member{},
	}
}

// at returns the endpoint at an address, or nil.
func (p *endpointPlan) at(address string) *table.Endpoint {
	members := p.byURL[endpointURL(address)]
	if len(members) == 0 {
		return nil
	}
	return &members[len(members)-1].Endpoint
}

// others returns up to n addresses of endpoints beside the given one, chosen at random.
func (p *endpointPlan) others(address string, n int) (addresses []string) {
	for url := range p.byURL {
		if len(addresses) == n {
			break
		}
		if url != endpointURL(address) {
			addresses = append(addresses, strings.TrimPrefix(url, endpointScheme))
		}
	}
	return addresses
}

// endpointScheme begins the URLs of endpoints.
const endpointScheme = "http://"

func endpointURL(address string) string { return endpointScheme + address }

// update applies a configuration and the state of the changed endpoints.
func (p *endpointPlan) update(c *catalog.Catalog, changed map[facts.EndpointID]bool, holder *facts.Holder) {
	if p.catalog == nil || !reflect.DeepEqual(p.catalog.Pools, c.Pools) {
		changed = p.all(holder)
	}
	if p.catalog != c {
		p.catalog, p.classes = c, c.Table(nil)
	}
	var changes []cell.Change
	for id := range changed {
		changes = append(changes, p.change(id, holder)...)
	}
	p.plan = p.plan.With(changes)
}

// all returns every endpoint that is known or in the plan.
func (p *endpointPlan) all(holder *facts.Holder) map[facts.EndpointID]bool {
	ids := map[facts.EndpointID]bool{}
	for _, e := range holder.Endpoints() {
		ids[e.ID] = true
	}
	for id := range p.planned {
		ids[id] = true
	}
	return ids
}

// change returns what changes in the plan for an endpoint.
func (p *endpointPlan) change(id facts.EndpointID, holder *facts.Holder) (changes []cell.Change) {
	before := p.planned[id]
	var next *cell.Member
	if e, known := holder.Endpoint(id); known && !e.Gone {
		next = p.member(e)
	}
	if before != nil && (next == nil || next.Name != before.Name || next.Pool != before.Pool) {
		changes = append(changes, cell.Change{Member: before, Removed: true})
	}
	p.index(before, next)
	if before != nil && before.Draining {
		p.draining--
	}
	if next == nil {
		delete(p.planned, id)
		return changes
	}
	p.planned[id] = next
	if next.Draining {
		p.draining++
	}
	return append(changes, cell.Change{Member: next})
}

// index replaces an endpoint in byURL; either may be nil.
func (p *endpointPlan) index(before, next *cell.Member) {
	if before != nil {
		members := slices.DeleteFunc(p.byURL[before.URL], func(m *cell.Member) bool { return m == before })
		p.byURL[before.URL] = members
		if len(members) == 0 {
			delete(p.byURL, before.URL)
		}
	}
	if next != nil {
		p.byURL[next.URL] = append(p.byURL[next.URL], next)
	}
}

// member returns an endpoint as a member of a cell, or nil if its pool is not in the
// configuration.
func (p *endpointPlan) member(e facts.Endpoint) *cell.Member {
	pool := p.catalog.Pool(e.Pool)
	if pool == nil {
		return nil
	}
	m := table.Endpoint{
		Name:         e.Name(),
		Kind:         table.KindService,
		Pool:         e.Pool,
		URL:          endpointURL(e.Address),
		Region:       p.region,
		Zone:         e.Zone,
		Concurrency:  max(1, e.Slots),
		MemoryTokens: pool.Memory,
		EchoesID:     true,

		SoftwareVersion: e.Version,
	}
	if pool.Memory > 0 {
		m.Kind = table.KindEngine
	}
	if e.Slots == 0 && pool.Slots > 0 {
		m.Concurrency = pool.Slots
	}
	return cell.NewMember(m, e.Draining)
}
