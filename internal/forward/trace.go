package forward

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// maxTraces bounds the attempts that are logged for a request.
const maxTraces = 16

// attemptTrace describes an attempt in the log. It is kept for each request, and written if
// the outcome of the request depends on what was believed about its attempts.
type attemptTrace struct {
	Endpoint table.EndpointName `json:"endpoint"`
	Via      string             `json:"via,omitempty"`
	Hedge    bool               `json:"hedge,omitempty"`
	Sent     bool               `json:"sent"`
	// Conn is the number of the connection, ConnAgeMs its age, Carried the number of
	// requests that it had carried before. Written and Read are the bytes of the attempt.
	Conn      int64 `json:"conn"`
	ConnAgeMs int64 `json:"connAgeMs"`
	Carried   int   `json:"carried"`
	Written   int64 `json:"written"`
	Read      int64 `json:"read"`
	Status    int   `json:"status,omitempty"`
	// Response is the request that the response states that it answers, Skipped the
	// number of responses to other requests before it.
	Response   http1.Attribution `json:"response,omitempty"`
	Skipped    int               `json:"skipped,omitempty"`
	Reason     outcome.Reason    `json:"reason,omitempty"`
	MayHaveRun bool              `json:"mayHaveRun"`
	InProgress bool              `json:"inProgress,omitempty"`
	// Heads are the responses that were received, those to other requests included.
	Heads []headTrace `json:"heads,omitempty"`
	// SentMs and EndedMs are the times from the request's arrival to when it was written
	// and to the end of the attempt.
	SentMs  int64 `json:"sentMs"`
	EndedMs int64 `json:"endedMs"`
}

// headTrace describes a response that was received.
type headTrace struct {
	Status int `json:"status"`
	// Names is the id of the request that the response names.
	Names string `json:"names,omitempty"`
	// AfterMs is the time since the request was written.
	AfterMs int64 `json:"afterMs"`
}

func headTraces(heads []http1.Head) (traces []headTrace) {
	for _, h := range heads {
		traces = append(traces, headTrace{Status: h.Status, Names: h.Names, AfterMs: h.At.Milliseconds()})
	}
	return traces
}

// addTrace keeps the trace of an attempt that has ended, if it had a slot. It requires mu.
func (r *run) addTrace(c *call) {
	if c.err != nil || len(r.traces) >= maxTraces {
		return
	}
	if c.skipped > 0 {
		r.f.Metrics.Inc("responses.skipped")
	}
	if c.attribution == http1.Unstated {
		r.f.Metrics.Inc("responses.unstated")
	}
	r.traces = append(r.traces, attemptTrace{
		Endpoint: c.grant.Endpoint.Name, Via: c.via, Hedge: c.hedge, Sent: c.sent,
		Conn: c.conn.Number, ConnAgeMs: c.conn.Age.Milliseconds(), Carried: c.conn.Carried,
		Written: c.bytesWritten, Read: c.bytesRead, Heads: headTraces(c.heads), SentMs: c.sentAfter.Milliseconds(),
		Status: c.status, Response: c.attribution, Skipped: c.skipped,
		Reason: c.result.reason, MayHaveRun: c.result.mayHaveRun,
		EndedMs: r.f.Clock.Since(r.began).Milliseconds(),
	})
}

// doubt is the reason why the attempts of a request are logged.
type doubt string

const (
	// doubtPromised means that the request was sent and its caller is told that it was
	// not run.
	doubtPromised doubt = "promisedNotRun"
	// doubtForwarded means that an endpoint's status says so to the caller.
	doubtForwarded doubt = "statusForwarded"
	// doubtSentAgain means that a request that must not be repeated was sent more than
	// once.
	doubtSentAgain doubt = "sentAgain"
	// doubtSkipped means that responses to other requests were skipped.
	doubtSkipped doubt = "responsesSkipped"
)

// doubt returns why the attempts must be logged; "" if they need not.
func (r *run) doubt(err error) doubt {
	sent := 0
	for i := range r.traces {
		if r.traces[i].Sent {
			sent++
		}
	}
	refusal, refused := errors.Into[*outcome.Refusal](err)
	switch {
	case r.promised:
		return doubtForwarded
	case refused && refusal.Outcome == outcome.NotRun && r.reached:
		return doubtPromised
	case sent > 1 && !r.req.Repeatable():
		return doubtSentAgain
	case slices.ContainsFunc(r.traces, func(a attemptTrace) bool { return a.Skipped > 0 }):
		return doubtSkipped
	}
	return ""
}

// countSent sets how many endpoints have received a request that is refused. It must be
// called without mu.
func (r *run) countSent(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		refusal.Sent = len(r.sentTo)
	}
}

// recordAttempts logs the attempts of a request that has ended, if its outcome depends on
// what was believed about them. It must be called without mu.
func (r *run) recordAttempts(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	why := r.doubt(err)
	if why == "" {
		return
	}
	r.f.Metrics.Inc("attempts.logged." + string(why))
	traces := r.traces
	for _, c := range r.calls {
		if c.grant != nil {
			traces = append(traces, attemptTrace{Endpoint: c.grant.Endpoint.Name, Hedge: c.hedge, Sent: c.sent, InProgress: true})
		}
	}
	ended := ""
	if err != nil {
		ended = err.Error()
	}
	r.f.Logger.Info("attempts", "request", r.req.ID, "class", r.req.Class, "why", why, "repeatable", r.req.Repeatable(), "ended", ended, "trace", traces)
}
