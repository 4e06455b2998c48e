// Package facts keeps what a daemon knows from the platform's store: the
// operators' configuration and the endpoints that have registered, each with
// the moment at which it was known to be the newest. A few daemons read the
// store; the others hear from them.
package facts

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// Position is a version of the store, which grows with each transaction.
type Position uint64

// EndpointID is the name under which an endpoint has registered.
type EndpointID string

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID      EndpointID
	Pool    table.Pool
	Address string
	Zone    string
	Slots   int
	// Born is the start of the endpoint's process, in milliseconds. A new
	// process under an old id is another endpoint, which holds nothing.
	Born     int64
	Draining bool
	// Gone says that the endpoint is no longer registered.
	Gone bool
	// Changed is the store's version in which this was first seen.
	Changed Position
}

// same tells whether two registrations say the same.
func (e Endpoint) same(other Endpoint) bool {
	e.Changed = other.Changed
	return e == other
}

// Config is one version of the operators' document.
type Config struct {
	Version catalog.Version
	Data    []byte
}

// Summary is how much a daemon knows, and how fresh it is.
type Summary struct {
	Config     catalog.Version
	ConfigAsOf storetime.Instant
	// Changed is the newest change of an endpoint that is known, Position the
	// version up to which all are known.
	Changed, Position Position
	// Base is the position since which all that left is known. To daemons that
	// know less, all endpoints are told.
	Base          Position
	EndpointsAsOf storetime.Instant
}

// Told is the position that a daemon must have reached to take this one's word
// that nothing changed since.
func (s Summary) Told() Position { return max(s.Changed, s.Base) }

// Delta is what one daemon tells another that lacks it.
type Delta struct {
	Summary
	// From is the host that tells.
	From string
	// Data is empty if the receiver has the configuration.
	Data []byte
	// Endpoints are those that changed after the receiver's position, or all
	// that there are if Whole is set.
	Endpoints []Endpoint
	Whole     bool
}

// Holder is one daemon's facts. It is safe for concurrent use.
type Holder struct {
	// Parse decodes the operators' document.
	Parse func(data []byte) (*catalog.Catalog, error)
	// OnChange is called after the catalog or the endpoints have changed,
	// without the lock.
	OnChange func()
	// OnNews is called with each change of endpoints, without the lock.
	OnNews func(Change)
	clock  *storetime.Clock

	mu        sync.Mutex
	data      []byte
	catalog   *catalog.Catalog
	summary   Summary
	endpoints map[EndpointID]Endpoint
}

// NewHolder returns a holder that knows nothing.
func NewHolder(clock *storetime.Clock, parse func([]byte) (*catalog.Catalog, error)) *Holder {
	return &Holder{Parse: parse, OnChange: func() {}, OnNews: func(Change) {}, clock: clock, endpoints: map[EndpointID]Endpoint{}}
}

// Catalog returns the configuration in force, or nil.
func (h *Holder) Catalog() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// Summary returns how much is known.
func (h *Holder) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.summary
}

// Endpoints returns the registered endpoints, sorted by id.
func (h *Holder) Endpoints() []Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Endpoint
	for _, id := range slices.Sorted(maps.Keys(h.endpoints)) {
		if e := h.endpoints[id]; !e.Gone {
			all = append(all, e)
		}
	}
	return all
}

// Endpoint returns what is known of an endpoint.
func (h *Holder) Endpoint(id EndpointID) (Endpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.endpoints[id]
	return e, ok
}

// SetConfig takes in a document that was the newest at a moment. Versions
// never fall: an older one changes nothing.
func (h *Holder) SetConfig(c Config, asOf storetime.Instant) error {
	h.mu.Lock()
	known := h.summary.Config
	h.mu.Unlock()
	if c.Version > known {
		parsed, err := h.Parse(c.Data)
		if err != nil {
			return err
		}
		h.adopt(c, parsed)
	}
	h.ConfirmConfig(c.Version, asOf)
	return nil
}

func (h *Holder) adopt(c Config, parsed *catalog.Catalog) {
	h.mu.Lock()
	if c.Version <= h.summary.Config {
		h.mu.Unlock()
		return
	}
	h.data, h.catalog, h.summary.Config = c.Data, parsed, c.Version
	h.mu.Unlock()
	h.OnChange()
}

// ConfirmConfig takes in that a version was the newest at a moment. It counts
// only if that version is in force here, or a newer one.
func (h *Holder) ConfirmConfig(v catalog.Version, asOf storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v == 0 || v > h.summary.Config {
		return
	}
	h.summary.ConfigAsOf = max(h.summary.ConfigAsOf, asOf)
}

// Merge takes in changes of endpoints that lead up to a position. With whole
// set, the changes are all endpoints that there are. from names the host that
// told; empty is the store.
func (h *Holder) Merge(from string, changes []Endpoint, position Position, asOf storetime.Instant, whole bool) {
	h.mu.Lock()
	c := Change{From: from, Before: h.summary.Position, Position: position, Whole: whole}
	for _, e := range changes {
		if known := h.endpoints[e.ID]; whole && known.Gone && known.Changed <= position {
			// It went and came back, of which the sender saw nothing.
			e.Changed = max(e.Changed, position)
		}
		if h.put(e) {
			c.add(e)
		}
	}
	if whole && position >= h.summary.Position {
		c.Gone = append(c.Gone, h.dropMissing(changes, position)...)
		h.summary.Base = max(h.summary.Base, position)
	}
	h.summary.Position = max(h.summary.Position, position)
	h.summary.EndpointsAsOf = max(h.summary.EndpointsAsOf, asOf)
	h.mu.Unlock()
	if c.any() {
		h.OnNews(c)
		h.OnChange()
	}
}

// Rebase notes that everything was read anew at a position. What left before
// without ever having been known here can't be told one by one, so nobody may
// take this daemon's word for it: daemons with an earlier position must ask.
func (h *Holder) Rebase(position Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.summary.Base = max(h.summary.Base, position)
}

// put takes in one endpoint unless newer news of it is known.
func (h *Holder) put(e Endpoint) bool {
	known, ok := h.endpoints[e.ID]
	if ok && known.Changed >= e.Changed {
		return false
	}
	h.summary.Changed = max(h.summary.Changed, e.Changed)
	h.endpoints[e.ID] = e
	return !ok || !known.same(e)
}

// dropMissing marks as gone what a whole list does not have, and returns it.
func (h *Holder) dropMissing(all []Endpoint, position Position) (gone []EndpointID) {
	listed := map[EndpointID]bool{}
	for _, e := range all {
		listed[e.ID] = true
	}
	for id, e := range h.endpoints {
		if listed[id] || e.Gone || e.Changed > position {
			continue
		}
		e.Gone = true
		e.Changed = position
		h.endpoints[id] = e
		h.summary.Changed = max(h.summary.Changed, position)
		gone = append(gone, id)
	}
	return gone
}

// ConfirmEndpoints takes in that a daemon knew all changes up to a position,
// and told of the newest, at a moment. It counts only if nothing is missing
// here, nor there.
func (h *Holder) ConfirmEndpoints(told, position Position, asOf storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if position == 0 || h.summary.Position == 0 || told > h.summary.Position || told < h.summary.Changed {
		return
	}
	h.summary.Position = max(h.summary.Position, position)
	h.summary.EndpointsAsOf = max(h.summary.EndpointsAsOf, asOf)
}

// Since returns what a daemon lacks that knows so much.
func (h *Holder) Since(config catalog.Version, position Position) Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := Delta{Summary: h.summary, Whole: position < h.summary.Base || position == 0}
	if h.summary.Config > config {
		d.Data = h.data
	}
	for _, id := range slices.Sorted(maps.Keys(h.endpoints)) {
		e := h.endpoints[id]
		if d.Whole && !e.Gone || !d.Whole && e.Changed > position {
			d.Endpoints = append(d.Endpoints, e)
		}
	}
	return d
}

// Learn takes in what another daemon told.
func (h *Holder) Learn(d Delta) error {
	if len(d.Data) > 0 {
		if err := h.SetConfig(Config{Version: d.Config, Data: d.Data}, d.ConfigAsOf); err != nil {
			return err
		}
	}
	h.ConfirmConfig(d.Config, d.ConfigAsOf)
	switch {
	case d.Position == 0:
	case !d.Whole && d.Told() < h.Summary().Changed:
		// The sender lacks a change that is known here.
		h.Merge(d.From, d.Endpoints, 0, 0, false)
	default:
		h.Merge(d.From, d.Endpoints, d.Position, d.EndpointsAsOf, d.Whole)
	}
	return nil
}

// ConfigAge returns the greatest time for which the configuration may have
// been out of date; false if none is in force.
func (h *Holder) ConfigAge() (time.Duration, bool) {
	s := h.Summary()
	return h.age(s.ConfigAsOf, s.Config > 0)
}

// EndpointsAge is like ConfigAge for the endpoints.
func (h *Holder) EndpointsAge() (time.Duration, bool) {
	s := h.Summary()
	return h.age(s.EndpointsAsOf, s.Position > 0)
}

func (h *Holder) age(asOf storetime.Instant, known bool) (time.Duration, bool) {
	now, ok := h.clock.Latest()
	if !ok || !known {
		return 0, false
	}
	return max(0, now.Sub(asOf)), true
}
