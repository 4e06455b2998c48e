package forward

import (
	"context"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// resumes reports whether the caller takes up a stream that an earlier request began.
func (r *Request) resumes() bool {
	return r.Kind == catalog.Stream && r.Resumable && r.LastEvent != ""
}

// continues reports whether the next attempt continues a stream, which only endpoints
// of the version that began it may do: what two versions write does not fit together.
func (r *run) continues() bool { return r.events > 0 || r.req.resumes() }

// hasVersion reports whether an endpoint may continue the stream, if it has begun.
func (r *run) hasVersion(e *table.Endpoint) bool {
	return !r.continues() || e.SoftwareVersion == r.begunVersion
}

// findVersion looks up the version of a stream that the caller takes up. A stream of
// unknown version is not continued: any guess may be wrong.
func (r *run) findVersion(ctx context.Context) *outcome.Refusal {
	if !r.req.resumes() {
		return nil
	}
	version, refusal := r.f.LookupVersion(ctx, r.req)
	if refusal != nil {
		r.f.Metrics.Inc("streams.versionUnknown")
		r.f.Logger.Info("stream not continued", "request", r.req.ID, "resumes", r.req.Resumes, "class", r.req.Class, "lastEvent", r.req.LastEvent)
		return refusal
	}
	r.begunVersion = version
	return nil
}

// recordFirstEvent records that the first event of the response has arrived.
func (r *run) recordFirstEvent(grant *placement.Grant) {
	r.firstEvent = r.f.Clock.Since(r.began)
	if !r.req.resumes() {
		r.begunVersion = grant.Endpoint.SoftwareVersion
	}
	if r.req.Resumable && r.begunVersion != "" {
		r.endRecord = r.f.BeginStream(r.req, r.begunVersion)
	}
}

// endStreamRecord ends the record of the stream's version.
func (r *run) endStreamRecord() {
	if r.endRecord != nil {
		r.endRecord()
	}
}
