// Package facts holds what a daemon knows from the platform's store: the
// operators' configuration and the registered endpoints, each with the time as
// of which it was known to be current. A few daemons read the store and
// distribute its contents to the others.
package facts

import (
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// EndpointID is the ID under which an endpoint has registered.
type EndpointID string

// Endpoint is the registration that an endpoint has written.
type Endpoint struct {
	ID      EndpointID
	Pool    table.Pool
	Address string
	Zone    string
	// Version is the version of the endpoint's software; empty if unknown.
	Version table.SoftwareVersion
	Slots   int
	// Born is when the endpoint's process started, in milliseconds. A new process
	// under the same ID is another endpoint, which has no state of the old one.
	Born int64
	// Sequence counts the endpoint's writes since its start.
	Sequence uint64
	Draining bool
	// Spot is set for an engine that the platform may reclaim.
	Spot bool
	// Gone is set if the endpoint is no longer registered.
	Gone bool
	// Changed is the position of the store at which this was first seen.
	Changed Position
}

// sameRegistration reports whether two registrations differ at most in their
// position and sequence number.
func (e Endpoint) sameRegistration(other Endpoint) bool {
	e.Changed, e.Sequence = other.Changed, other.Sequence
	return e == other
}

// Config is one version of the operators' configuration document.
type Config struct {
	Version catalog.Version
	Data    []byte
}

// Summary states which versions a daemon knows and how recent they are.
type Summary struct {
	Config     catalog.Version
	ConfigAsOf storetime.Instant
	// Changed is the newest known change of an endpoint, Position the position up
	// to which all changes are known.
	Changed, Position Position
	// Base is the position from which on all departures are known. A daemon that
	// knows less is sent all endpoints.
	Base          Position
	EndpointsAsOf storetime.Instant
	// GraceUntil is the end of the grace period after an outage of the store, in
	// which an endpoint whose registration has lapsed still counts as registered.
	GraceUntil storetime.Instant
}

// RequiredPosition returns the position that a daemon must have reached to accept this
// one's confirmation that nothing has changed since.
func (s Summary) RequiredPosition() Position { return max(s.Changed, s.Base) }

// EndpointUpdate is an update of endpoints.
type EndpointUpdate struct {
	// From is the daemon that sent the update; empty for the store.
	From string
	// Endpoints are those that changed, or all existing ones if Whole is set.
	Endpoints []Endpoint
	Whole     bool
	// Position is the position up to which the update is complete; zero if
	// other changes may be missing.
	Position Position
	AsOf     storetime.Instant
}

// Delta holds the rows that one daemon sends to another that lacks them.
type Delta struct {
	Summary
	// From is the daemon that sent the delta.
	From string
	// Data is empty if the receiver has the configuration.
	Data []byte
	// Endpoints are those that changed after the receiver's position, or all
	// existing ones if Whole is set.
	Endpoints []Endpoint
	Whole     bool
	// Left holds the versions that have left pools lately.
	Left []LeftVersion
}

// Holder holds one daemon's facts. It is safe for concurrent use.
type Holder struct {
	// Parse decodes the operators' configuration document.
	Parse func(data []byte) (*catalog.Catalog, error)
	// OnChange is called, without the lock held, after the catalog or the
	// endpoints have changed.
	OnChange func()
	// OnEndpointChange is called, without the lock held, with each change of endpoints.
	OnEndpointChange func(Change)
	// OnEra is called, without the lock held, when the store has been restored
	// from a backup.
	OnEra func(from, to platform.Era)
	clock *storetime.Clock

	mu           sync.Mutex
	data         []byte
	catalog      *catalog.Catalog
	registry     registry
	grace        gracePeriod
	versions     versionHistory
	restoreGuard restoreGuard
	// config, configAsOf and endpointsAsOf are as in Summary.
	config        catalog.Version
	configAsOf    storetime.Instant
	endpointsAsOf storetime.Instant
}

// NewHolder returns a holder without facts.
func NewHolder(clock *storetime.Clock, parse func([]byte) (*catalog.Catalog, error)) *Holder {
	return &Holder{
		Parse:            parse,
		OnChange:         func() {},
		OnEndpointChange: func(Change) {},
		OnEra:            func(_, _ platform.Era) {},
		clock:            clock,
		registry:         registry{rows: map[EndpointID]Endpoint{}},
		grace:            gracePeriod{retained: map[EndpointID]storetime.Instant{}},
		versions:         newVersionHistory(),
	}
}

// Catalog returns the configuration in force, or nil if there is none.
func (h *Holder) Catalog() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// Summary returns which versions are known and how recent they are.
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

// SetConfig applies a document that was current as of a time. Versions never
// decrease: an older one changes nothing.
func (h *Holder) SetConfig(c Config, asOf storetime.Instant) error {
	return h.setConfig(c, asOf, func(*catalog.Catalog) {})
}

// setConfig is SetConfig. It calls before with a configuration that is about to count.
func (h *Holder) setConfig(c Config, asOf storetime.Instant, before func(*catalog.Catalog)) error {
	h.mu.Lock()
	known := h.config
	h.mu.Unlock()
	if c.Version > known {
		parsed, err := h.Parse(c.Data)
		if err != nil {
			return err
		}
		before(parsed)
		h.activate(c, parsed)
	}
	h.ConfirmConfig(c.Version, asOf)
	return nil
}

func (h *Holder) activate(c Config, parsed *catalog.Catalog) {
	h.mu.Lock()
	if c.Version <= h.config {
		h.mu.Unlock()
		return
	}
	h.data, h.catalog, h.config = c.Data, parsed, c.Version
	h.mu.Unlock()
	h.OnChange()
}

// ConfirmConfig records that a version was current as of a time. It is ignored
// unless that version or a newer one is in force here.
func (h *Holder) ConfirmConfig(v catalog.Version, asOf storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v == 0 || v > h.config {
		return
	}
	h.configAsOf = max(h.configAsOf, asOf)
}

// ConfigAge returns the maximum time for which the configuration may have been
// out of date; false if none is in force.
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
