package facts

import (
	"maps"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/storetime"
)

// Endpoints returns the endpoints that count as registered, sorted by ID.
func (h *Holder) Endpoints() []Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var all []Endpoint
	for _, id := range slices.Sorted(maps.Keys(h.registry.rows)) {
		if e := h.effective(h.registry.rows[id], now); !e.Gone {
			all = append(all, e)
		}
	}
	return all
}

// Endpoint returns the state of an endpoint as it counts here; false if the
// endpoint is unknown.
func (h *Holder) Endpoint(id EndpointID) (Endpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.registry.rows[id]
	return h.effective(e, h.now()), ok
}

// effective returns an endpoint as it counts here, after the restore guard and
// the grace period have been applied.
func (h *Holder) effective(e Endpoint, now storetime.Instant) Endpoint {
	e = h.restoreGuard.apply(e, now)
	e.Gone = e.Gone && !h.grace.retains(e.ID, now)
	return e
}

// now returns the latest time that it may be at the store; zero if that is
// unknown.
func (h *Holder) now() storetime.Instant {
	now, _ := h.clock.Latest()
	return now
}

// Merge applies an update of endpoints.
func (h *Holder) Merge(n EndpointUpdate) {
	h.mu.Lock()
	c := Change{From: n.From, Before: h.registry.position, Position: n.Position, Whole: n.Whole}
	now := h.now()
	era, began := h.beginEra(n)
	for _, e := range h.registry.merge(n) {
		h.grace.observe(e, now)
		h.versions.observe(e, now)
		c.add(h.effective(e, now), e.Gone)
	}
	h.endpointsAsOf = max(h.endpointsAsOf, n.AsOf)
	h.mu.Unlock()
	if began {
		h.OnEra(era, n.Position.Era())
	}
	h.notify(c)
}

// notify calls the callbacks for changes of endpoints.
func (h *Holder) notify(c Change) {
	if !c.nonEmpty() {
		return
	}
	h.OnEndpointChange(c)
	h.OnChange()
}

// ExtendGrace records that the store was unavailable and that the grace period
// lasts until the given time, as a read of the store or another daemon shows.
// It is ignored if the endpoint list is recent: a daemon that has received the
// store's changes in the meantime knows that the store was available.
func (h *Holder) ExtendGrace(until storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if age, ok := h.endpointsAge(); ok && age <= outageAge {
		return
	}
	h.grace.until = max(h.grace.until, until)
}

// Expire drops the retained endpoints that did not register again in time, and
// ends the restore guard when its time is over.
func (h *Holder) Expire() {
	h.mu.Lock()
	now := h.now()
	c := Change{From: fromTimer, Before: h.registry.position, Gone: h.grace.expire(now)}
	for _, id := range h.restoreGuard.expire(now) {
		if e := h.effective(h.registry.rows[id], now); !e.Gone {
			c.add(e, false)
		}
	}
	h.mu.Unlock()
	h.notify(c)
}

// ConfirmEndpoints records that another daemon knew all changes up to position
// as of a time, the last of them at newest. It is ignored if either daemon
// lacks a change that the other one has.
func (h *Holder) ConfirmEndpoints(newest, position Position, asOf storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.registry
	if position == 0 || r.position == 0 || newest > r.position || newest < r.changed {
		return
	}
	r.position = max(r.position, position)
	h.endpointsAsOf = max(h.endpointsAsOf, asOf)
}

// DeltaSince returns what a daemon lacks that knows the given configuration
// version and position.
func (h *Holder) DeltaSince(config catalog.Version, position Position) Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := Delta{Summary: h.summary()}
	if h.config > config {
		d.Data = h.data
	}
	d.Left = h.versions.leftVersions()
	d.Endpoints, d.Whole = h.registry.since(position)
	if d.Whole {
		d.Endpoints = append(d.Endpoints, h.retainedRows()...)
	}
	return d
}

// retainedRows returns the endpoints that are gone but still count as
// registered, so that a daemon that starts can use them as well.
func (h *Holder) retainedRows() (rows []Endpoint) {
	now := h.now()
	for _, id := range slices.Sorted(maps.Keys(h.grace.retained)) {
		if h.grace.retains(id, now) {
			rows = append(rows, h.registry.rows[id])
		}
	}
	return rows
}

// ApplyDelta applies a delta received from another daemon.
func (h *Holder) ApplyDelta(d Delta) error {
	if len(d.Data) > 0 {
		if err := h.SetConfig(Config{Version: d.Config, Data: d.Data}, d.ConfigAsOf); err != nil {
			return err
		}
	}
	h.ConfirmConfig(d.Config, d.ConfigAsOf)
	if d.Position == 0 {
		return nil
	}
	h.ExtendGrace(d.GraceUntil)
	n := EndpointUpdate{From: d.From, Endpoints: d.Endpoints, Whole: d.Whole, Position: d.Position, AsOf: d.EndpointsAsOf}
	if d.RequiredPosition() < h.Summary().Changed && !d.Whole {
		// The sender lacks a change that is known here.
		n.Position, n.AsOf = 0, 0
	}
	h.Merge(n)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range d.Left {
		h.versions.noteLeft(v.PoolVersion, v.At)
	}
	return nil
}

// EndpointsAge returns the maximum time for which the endpoint list may have
// been out of date; false if there is none.
func (h *Holder) EndpointsAge() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endpointsAge()
}

func (h *Holder) endpointsAge() (time.Duration, bool) {
	return h.age(h.endpointsAsOf, h.registry.position > 0)
}
