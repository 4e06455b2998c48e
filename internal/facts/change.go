package facts

import "log/slog"

// Change lists the endpoints that one update changed here.
type Change struct {
	// From is the daemon that sent the update; empty for the store, fromTimer if
	// a grace period or restore guard ended.
	From string
	// Before is the position before the update, Position the one up to which the
	// update is complete; zero if it does not move the position.
	Before, Position Position
	// Whole is set if the update was a list of all endpoints.
	Whole bool
	// Registered, Draining and Gone hold the endpoints by their present state.
	// Retained are no longer registered but count as registered during the grace
	// period.
	Registered, Draining, Gone, Retained []EndpointID
}

// fromTimer stands for the sender in changes that are due to elapsed time
// alone.
const fromTimer = "grace"

// add lists an endpoint under its present state; removed is set if its
// registration is gone.
func (c *Change) add(e Endpoint, removed bool) {
	switch {
	case removed && !e.Gone:
		c.Retained = append(c.Retained, e.ID)
	case e.Gone:
		c.Gone = append(c.Gone, e.ID)
	case e.Draining:
		c.Draining = append(c.Draining, e.ID)
	default:
		c.Registered = append(c.Registered, e.ID)
	}
}

func (c *Change) nonEmpty() bool {
	return len(c.Registered)+len(c.Draining)+len(c.Gone)+len(c.Retained) > 0
}

// maxLoggedIDs is the maximum number of endpoints of each kind that a log line
// names.
const maxLoggedIDs = 20

// Attrs returns the change as log attributes.
func (c *Change) Attrs() []slog.Attr {
	from := c.From
	if from == "" {
		from = "store"
	}
	attrs := []slog.Attr{
		slog.String("from", from), slog.Bool("whole", c.Whole),
		slog.Uint64("before", c.Before.Version()), slog.Uint64("position", c.Position.Version()),
	}
	if era := c.Position.Era(); era > 0 {
		attrs = append(attrs, slog.Uint64("era", uint64(era)))
	}
	for _, kind := range []struct {
		name string
		ids  []EndpointID
	}{{"registered", c.Registered}, {"draining", c.Draining}, {"gone", c.Gone}, {"kept", c.Retained}} {
		if len(kind.ids) == 0 {
			continue
		}
		attrs = append(attrs, slog.Int(kind.name, len(kind.ids)), slog.Any(kind.name+"Ids", kind.ids[:min(len(kind.ids), maxLoggedIDs)]))
	}
	return attrs
}
