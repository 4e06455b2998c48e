package facts

import (
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

// applyEndpoints takes in rows of the endpoints' table.
func (r *Reader) applyEndpoints(n news) {
	asOf := storetime.Instant(n.rows.NowMs)
	if age, ok := r.Holder.EndpointsAge(); ok && (age > longOutage || age > outage && n.failed) {
		r.Holder.OpenGrace(asOf.Add(returnGrace))
	}
	rows := make([]Endpoint, 0, len(n.rows.Rows))
	for _, row := range n.rows.Rows {
		rows = append(rows, r.registration(row))
	}
	r.Holder.Merge(News{Endpoints: rows, Whole: n.whole, Position: Position(n.upTo), AsOf: asOf})
}

// registration decodes a row.
func (r *Reader) registration(row platform.FeedRow) Endpoint {
	if !row.Removed {
		if e, ok := r.DecodeEndpoint(row); ok {
			e.Changed = Position(row.Version)
			return e
		}
		// An entry that can't be read names no endpoint to use.
		r.Metrics.Inc("facts.endpointInvalid")
	}
	return Endpoint{ID: EndpointID(row.Key), Gone: true, Changed: Position(row.Version)}
}
