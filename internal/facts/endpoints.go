package facts

import (
	"maps"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/storetime"
)

// Endpoints returns the endpoints that count as registered, sorted by id.
func (h *Holder) Endpoints() []Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var all []Endpoint
	for _, id := range slices.Sorted(maps.Keys(h.registry.rows)) {
		if e := h.counted(h.registry.rows[id], now); !e.Gone {
			all = append(all, e)
		}
	}
	return all
}

// Endpoint returns what is known of an endpoint.
func (h *Holder) Endpoint(id EndpointID) (Endpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.registry.rows[id]
	return h.counted(e, h.now()), ok
}

// counted returns an endpoint as this daemon counts it.
func (h *Holder) counted(e Endpoint, now storetime.Instant) Endpoint {
	e = h.recall.apply(e, now)
	e.Gone = e.Gone && !h.grace.keeps(e.ID, now)
	return e
}

// now returns the latest that it may be at the store; zero is unknown.
func (h *Holder) now() storetime.Instant {
	now, _ := h.clock.Latest()
	return now
}

// Merge takes in news of endpoints.
func (h *Holder) Merge(n News) {
	h.mu.Lock()
	c := Change{From: n.From, Before: h.registry.position, Position: n.Position, Whole: n.Whole}
	now := h.now()
	era, began := h.beginEra(n)
	for _, e := range h.registry.merge(n) {
		h.grace.note(e, now)
		c.add(h.counted(e, now), e.Gone)
	}
	h.endpointsAsOf = max(h.endpointsAsOf, n.AsOf)
	h.mu.Unlock()
	if began {
		h.OnEra(era, n.Position.Era())
	}
	h.tell(c)
}

// tell calls those that wait for changes of endpoints.
func (h *Holder) tell(c Change) {
	if !c.any() {
		return
	}
	h.OnNews(c)
	h.OnChange()
}

// OpenGrace takes in that the store was away until a moment, as a read of it
// or another daemon says. It counts only if the endpoints' facts here are old
// as well: who has heard the store's news meanwhile knows that it was there.
func (h *Holder) OpenGrace(until storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if age, ok := h.endpointsAge(); ok && age <= outage {
		return
	}
	h.grace.until = max(h.grace.until, until)
}

// Expire drops the endpoints that did not register again in time, and ends what
// holds for some time after the store's return from a copy.
func (h *Holder) Expire() {
	h.mu.Lock()
	now := h.now()
	c := Change{From: fromTime, Before: h.registry.position, Gone: h.grace.expire(now)}
	for _, id := range h.recall.expire(now) {
		if e := h.counted(h.registry.rows[id], now); !e.Gone {
			c.add(e, false)
		}
	}
	h.mu.Unlock()
	h.tell(c)
}

// ConfirmEndpoints takes in that a daemon knew all changes up to a position,
// and told of the newest, at a moment. It counts only if nothing is missing
// here, nor there.
func (h *Holder) ConfirmEndpoints(told, position Position, asOf storetime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.registry
	if position == 0 || r.position == 0 || told > r.position || told < r.changed {
		return
	}
	r.position = max(r.position, position)
	h.endpointsAsOf = max(h.endpointsAsOf, asOf)
}

// Since returns what a daemon lacks that knows so much.
func (h *Holder) Since(config catalog.Version, position Position) Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := Delta{Summary: h.summary()}
	if h.config > config {
		d.Data = h.data
	}
	d.Endpoints, d.Whole = h.registry.since(position)
	if d.Whole {
		d.Endpoints = append(d.Endpoints, h.keptRows()...)
	}
	return d
}

// keptRows returns the endpoints that are gone and still count, so that a
// daemon that starts can use them as well.
func (h *Holder) keptRows() (rows []Endpoint) {
	now := h.now()
	for _, id := range slices.Sorted(maps.Keys(h.grace.kept)) {
		if h.grace.keeps(id, now) {
			rows = append(rows, h.registry.rows[id])
		}
	}
	return rows
}

// Learn takes in what another daemon told.
func (h *Holder) Learn(d Delta) error {
	if len(d.Data) > 0 {
		if err := h.SetConfig(Config{Version: d.Config, Data: d.Data}, d.ConfigAsOf); err != nil {
			return err
		}
	}
	h.ConfirmConfig(d.Config, d.ConfigAsOf)
	if d.Position == 0 {
		return nil
	}
	h.OpenGrace(d.GraceUntil)
	n := News{From: d.From, Endpoints: d.Endpoints, Whole: d.Whole, Position: d.Position, AsOf: d.EndpointsAsOf}
	if d.Told() < h.Summary().Changed && !d.Whole {
		// The sender lacks a change that is known here.
		n.Position, n.AsOf = 0, 0
	}
	h.Merge(n)
	return nil
}

// EndpointsAge returns the greatest time for which the list of endpoints may
// have been out of date; false if none is known.
func (h *Holder) EndpointsAge() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endpointsAge()
}

func (h *Holder) endpointsAge() (time.Duration, bool) {
	return h.age(h.endpointsAsOf, h.registry.position > 0)
}
