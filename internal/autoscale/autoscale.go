// Package autoscale decides how many engines of a pool to order in each
// availability zone. It does no input or output and starts no goroutines.
//
// Engines come in two kinds: on-demand ones, and cheaper spot ones that the
// platform may reclaim, all of a zone at once. See docs/design/duties.md.
package autoscale

import "time"

// Kind is how engines are bought.
type Kind int

// The kinds of engines.
const (
	OnDemand Kind = iota
	Spot
	kinds
)

// String returns the kind's name.
func (k Kind) String() string {
	if k == Spot {
		return "spot"
	}
	return "onDemand"
}

// Spec is the part of the operators' document on a pool whose engines can be
// ordered.
type Spec struct {
	// Min and Max bound the engines of a zone, both kinds together.
	Min, Max int
	// Boot is the time from an order until a new engine serves.
	Boot time.Duration
	// SpotPrice is the price of a spot engine as a fraction of that of an
	// on-demand one; zero means that there are none.
	SpotPrice float64
	// ZonePrices holds the price of an on-demand engine by zone. Engines are
	// ordered in these zones only.
	ZonePrices map[string]float64
}

// HasSpot reports whether spot engines are worth ordering.
func (s *Spec) HasSpot() bool { return s.SpotPrice > 0 && s.SpotPrice < 1 }

// Zone is the state of a pool in one zone.
type Zone struct {
	Name string
	// Ready are the engines that accept requests, by kind.
	Ready [kinds]int
	// Blocked is set for a kind that is not available at the moment.
	Blocked [kinds]bool
}

// Target is the number of engines of one kind that a zone should have.
type Target struct {
	Zone    string
	Kind    Kind
	Engines int
}
