package forward

import (
	"context"
	"net/http"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
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

// mayBeReplaced reports whether the endpoint may have started again at another version
// that it has not registered yet: it has terminated, and the probe did not show that the
// report of that was wrong.
func (c *call) mayBeReplaced() bool {
	return !c.confirmed && c.run.f.Quarantine.HasTerminated(c.grant.Endpoint.Name)
}

// versionProbe returns the probe for an attempt whose endpoint may have started again at
// another version that it has not registered yet; nil if that does not matter. An endpoint
// that continues a stream may have done so unnoticed. It requires run.mu.
func (c *call) versionProbe() *http1.Probe {
	r := c.run
	continues := r.continues()
	matters := continues || r.req.Resumable && c.mayBeReplaced()
	if !matters || r.f.Protocol.ReportTarget == "" {
		return nil
	}
	return &http1.Probe{
		Target: r.f.Protocol.ReportTarget,
		Host:   r.req.Host,
		Accept: func(status int, h http.Header, body []byte) error {
			same, known := r.f.Protocol.ReadReport(&c.grant.Endpoint, status, h, body)
			c.confirmed = same
			if !known || same || !continues {
				return nil
			}
			r.f.Metrics.Inc("streams.endpointReplaced")
			return errEndpointUnusable
		},
	}
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
func (r *run) recordFirstEvent(c *call) {
	r.firstEvent = r.f.Clock.Since(r.began)
	if !r.req.resumes() {
		r.begunVersion = c.grant.Endpoint.SoftwareVersion
		if c.mayBeReplaced() {
			r.begunVersion = ""
		}
	}
	if r.req.Resumable && r.begunVersion != "" {
		r.endRecord = r.f.BeginStream(r.req, r.begunVersion)
	}
}

// endStreamRecord ends the record of the stream's version. It must be called without mu.
func (r *run) endStreamRecord() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endRecord != nil {
		r.endRecord()
	}
}
