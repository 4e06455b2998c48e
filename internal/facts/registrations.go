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
		rows = append(rows, r.registration(row, n.upTo.Era()))
	}
	r.Holder.Merge(News{Endpoints: rows, Whole: n.whole, Position: n.upTo, AsOf: asOf})
}

// registration decodes a row of an era.
func (r *Reader) registration(row platform.FeedRow, era platform.Era) Endpoint {
	changed := PositionOf(era, row.Version)
	if !row.Removed {
		if e, ok := r.DecodeEndpoint(row); ok {
			e.Changed = changed
			return e
		}
		// An entry that can't be read names no endpoint to use.
		r.Metrics.Inc("facts.endpointInvalid")
	}
	return Endpoint{ID: EndpointID(row.Key), Gone: true, Changed: changed}
}
