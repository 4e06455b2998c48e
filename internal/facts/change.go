package facts

import "log/slog"

// Change tells which endpoints one piece of news changed here.
type Change struct {
	// From is the host that told; empty is the store, fromTime that some time
	// after the store's return is over.
	From string
	// Before is the position before the news, Position that up to which the
	// news leads; zero says that it does not move the position.
	Before, Position Position
	// Whole says that the news was a list of all endpoints.
	Whole bool
	// Registered, Draining and Gone have the endpoints by what they are now.
	// Kept are no longer registered and still count for a moment.
	Registered, Draining, Gone, Kept []EndpointID
}

// fromTime stands for the host that told in changes that time alone makes.
const fromTime = "grace"

// add sorts an endpoint in that counts as e says; removed says that its
// registration is gone.
func (c *Change) add(e Endpoint, removed bool) {
	switch {
	case removed && !e.Gone:
		c.Kept = append(c.Kept, e.ID)
	case e.Gone:
		c.Gone = append(c.Gone, e.ID)
	case e.Draining:
		c.Draining = append(c.Draining, e.ID)
	default:
		c.Registered = append(c.Registered, e.ID)
	}
}

func (c *Change) any() bool { return len(c.Registered)+len(c.Draining)+len(c.Gone)+len(c.Kept) > 0 }

// maxListed bounds the endpoints that a line of the log names of each kind.
const maxListed = 20

// Attrs returns the change as attributes of a line of the log.
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
	}{{"registered", c.Registered}, {"draining", c.Draining}, {"gone", c.Gone}, {"kept", c.Kept}} {
		if len(kind.ids) == 0 {
			continue
		}
		attrs = append(attrs, slog.Int(kind.name, len(kind.ids)), slog.Any(kind.name+"Ids", kind.ids[:min(len(kind.ids), maxListed)]))
	}
	return attrs
}
