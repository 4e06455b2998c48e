package gateway

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/requestid"
)

// forwardOnce forwards a request, unless it must not be repeated and has arrived here
// before. What its caller was told then still holds: if that was that it was not run, it
// never will be.
func (g *Gateway) forwardOnce(w http.ResponseWriter, r *http.Request, req *forward.Request, sink forward.Sink) error {
	if req.Repeatable() {
		return g.forward(w, r, req, sink)
	}
	before, end := g.recent.Begin(req.ID, req.Fingerprint)
	if before != requestid.Unknown {
		return g.refuseRepeated(req, before)
	}
	state := requestid.MayHaveRun
	defer func() { end(state) }()
	err := g.forward(w, r, req, sink)
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok && refusal.Outcome == outcome.NotRun {
		state = requestid.NotRun
	}
	return err
}

// refuseRepeated returns the refusal of a request that has arrived before.
func (g *Gateway) refuseRepeated(req *forward.Request, before requestid.State) *outcome.Refusal {
	g.metrics.Inc("requests.idRepeated." + string(before))
	g.logger.Info("request id repeated", "request", req.ID, "class", req.Class, "before", before)
	const message = "a request with this id has arrived before"
	if before == requestid.NotRun {
		return outcome.NotRunError(outcome.ReasonRepeatedID, message)
	}
	return outcome.UnknownError(outcome.ReasonRepeatedID, message)
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
