// Package facts keeps what a daemon knows from the platform's store: the
// operators' configuration and the endpoints that have registered, each with
// the moment at which it was known to be the newest. A few daemons read the
// store; the others hear from them.
package facts

import (
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

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
	Born int64
	// Sequence counts what the endpoint has written since its start.
	Sequence uint64
	Draining bool
	// Gone says that the endpoint is no longer registered.
	Gone bool
	// Changed is the store's version in which this was first seen.
	Changed Position
}

// same tells whether two registrations say the same.
func (e Endpoint) same(other Endpoint) bool {
	e.Changed, e.Sequence = other.Changed, other.Sequence
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
	// GraceUntil is when the time ends, after an outage of the store, in which
	// an endpoint whose registration lapsed still counts as registered.
	GraceUntil storetime.Instant
}

// Told is the position that a daemon must have reached to take this one's word
// that nothing changed since.
func (s Summary) Told() Position { return max(s.Changed, s.Base) }

// News is what was heard of endpoints.
type News struct {
	// From is the host that told; empty is the store.
	From string
	// Endpoints are those that changed, or all that there are if Whole is set.
	Endpoints []Endpoint
	Whole     bool
	// Position is the version up to which the news leads; zero says that it
	// leads nowhere, since more may have changed.
	Position Position
	AsOf     storetime.Instant
}

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
	// OnEra is called, without the lock, when the store has come back from a
	// copy.
	OnEra func(from, to platform.Era)
	clock *storetime.Clock

	mu       sync.Mutex
	data     []byte
	catalog  *catalog.Catalog
	registry registry
	grace    grace
	recall   recall
	// config and configAsOf, endpointsAsOf are as in Summary.
	config        catalog.Version
	configAsOf    storetime.Instant
	endpointsAsOf storetime.Instant
}

// NewHolder returns a holder that knows nothing.
func NewHolder(clock *storetime.Clock, parse func([]byte) (*catalog.Catalog, error)) *Holder {
	return &Holder{
		Parse:    parse,
		OnChange: func() {},
		OnNews:   func(Change) {},
		OnEra:    func(_, _ platform.Era) {},
		clock:    clock,
		registry: registry{rows: map[EndpointID]Endpoint{}},
		grace:    grace{kept: map[EndpointID]storetime.Instant{}},
	}
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
	return h.summary()
}

func (h *Holder) summary() Summary {
	return Summary{
		Config:        h.config,
		ConfigAsOf:    h.configAsOf,
		Changed:       h.registry.changed,
		Position:      h.registry.position,
		Base:          h.registry.base,
		EndpointsAsOf: h.endpointsAsOf,
		GraceUntil:    h.grace.until,
	}
}

// SetConfig takes in a document that was the newest at a moment. Versions
// never fall: an older one changes nothing.
func (h *Holder) SetConfig(c Config, asOf storetime.Instant) error {
	h.mu.Lock()
	known := h.config
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
	if c.Version <= h.config {
		h.mu.Unlock()
		return
	}
	h.data, h.catalog, h.config = c.Data, parsed, c.Version
	h.mu.Unlock()
	h.OnChange()
}

// ConfirmConfig takes in that a version was the newest at a moment. It counts
// only if that version is in force here, or a newer one.
func (h *Holder) ConfirmConfig(v catalog.Version, asOf storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v == 0 || v > h.config {
		return
	}
	h.configAsOf = max(h.configAsOf, asOf)
}

// ConfigAge returns the greatest time for which the configuration may have
// been out of date; false if none is in force.
func (h *Holder) ConfigAge() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.age(h.configAsOf, h.config > 0)
}

func (h *Holder) age(asOf storetime.Instant, known bool) (time.Duration, bool) {
	now, ok := h.clock.Latest()
	if !ok || !known {
		return 0, false
	}
	return max(0, now.Sub(asOf)), true
}
