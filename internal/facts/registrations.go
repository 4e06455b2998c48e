package facts

import (
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

// applyEndpoints processes rows of the endpoints' table.
func (r *Reader) applyEndpoints(n feedResponse) {
	asOf := storetime.Instant(n.rows.NowMs)
	if age, ok := r.Holder.EndpointsAge(); ok && (age > unconfirmedOutageAge || age > outageAge && n.afterFailure) {
		r.Holder.ExtendGrace(asOf.Add(graceTime))
	}
	rows := make([]Endpoint, 0, len(n.rows.Rows))
	for _, row := range n.rows.Rows {
		rows = append(rows, r.registration(row, n.upTo.Era()))
	}
	if r.BeforeEndpoints != nil {
		r.BeforeEndpoints(rows)
	}
	r.Holder.Merge(EndpointUpdate{Endpoints: rows, Whole: n.whole, Position: n.upTo, AsOf: n.asOf()})
}

// registration decodes a row of an era.
func (r *Reader) registration(row platform.FeedRow, era platform.Era) Endpoint {
	changed := PositionOf(era, row.Version)
	if !row.Removed {
		if e, ok := r.DecodeEndpoint(row); ok {
			e.Changed = changed
			return e
		}
		// A row that can't be decoded describes no usable endpoint.
		r.Metrics.Inc("facts.endpointInvalid")
	}
	return Endpoint{ID: EndpointID(row.Key), Gone: true, Changed: changed}
}
