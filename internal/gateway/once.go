package gateway

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/requestid"
)

// forwardNoted forwards a request, and logs if it must not be repeated and has arrived here
// before.
func (g *Gateway) forwardNoted(w http.ResponseWriter, r *http.Request, req *forward.Request, sink forward.Sink) error {
	if req.Repeatable() {
		return g.forward(w, r, req, sink)
	}
	before, end := g.recent.Begin(req.ID, req.Fingerprint)
	if before != requestid.Unknown {
		g.metrics.Inc("requests.idRepeated." + string(before))
		g.logger.Info("request id repeated", "request", req.ID, "class", req.Class, "before", before)
	}
	if end == nil {
		return g.forward(w, r, req, sink)
	}
	mayHaveRun := true
	defer func() { end(mayHaveRun) }()
	err := g.forward(w, r, req, sink)
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		mayHaveRun = refusal.Outcome != outcome.NotRun
	}
	return err
}

// recordPromise logs that a request is refused as not run, and how many endpoints have
// received it.
func (g *Gateway) recordPromise(id string, refusal *outcome.Refusal) {
	if refusal.Outcome != outcome.NotRun {
		return
	}
	if refusal.Sent > 0 {
		id += "/" + strconv.Itoa(refusal.Sent)
	}
	g.promises.Add(string(refusal.Reason), id)
}
