package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"

	wire "github.com/beechhead/beechhead/platform"
)

const (
	// staleAfter is the age of the configuration up to which the daemon answers
	// that a route or API key does not exist. If it is older, a newer
	// configuration may contain them.
	staleAfter = 1500 * time.Millisecond
	// revokeMargin is subtracted from the time limit within which revoked API
	// keys must stop working: a daemon whose configuration is older rejects all
	// keys. The margin is needed since the limit counts from when the caller
	// sent its request, which is earlier than the check.
	revokeMargin = 250 * time.Millisecond
	// bodyTimeout is the timeout for reading a request body.
	bodyTimeout = 10 * time.Second
	// staleRetryAfter is the Retry-After value when this daemon's facts are too
	// old; other daemons may have newer ones.
	staleRetryAfter = 200 * time.Millisecond
	// overloadedRetryAfter is the Retry-After value when callers make this daemon hold all
	// that they may.
	overloadedRetryAfter = time.Second
	// defaultStartWait is how long a request waits at most for the first
	// configuration of a daemon that has just started, if that is no more than a
	// part, startWaitDivisor, of its caller's deadline. A fleet that starts together
	// has it after some 250 ms; a refusal would cost the caller as much.
	defaultStartWait = 500 * time.Millisecond
	startWaitDivisor = 4
	// defaultDeadline applies to requests without a deadline.
	defaultDeadline = time.Minute
)

// serveCaller serves one request. It uses no router, since the path must reach
// the endpoint byte for byte.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	began := g.boot.Now()
	call := wire.ParseCallerRequest(r.Header)
	var begun atomic.Bool
	defer g.recoverPanic(w, call.ID, &begun)
	config := g.holder.Summary().Config
	req, refusal := g.admit(w, r, &call, began)
	if refusal != nil {
		g.refuse(w, r, &call, refusal)
		return
	}
	err := g.forwardOnce(w, r, req, forward.Sink{
		Head: func(status int, h http.Header, length int64) {
			writeHead(w, status, h, length)
			begun.Store(true)
		},
		Body: func(p []byte) error { return writeBody(w, p) },
	})
	if err == nil {
		g.metrics.Inc("requests.answered")
		return
	}
	if errors.Is(err, forward.ErrTruncated) {
		g.metrics.Inc("requests.broken")
		g.logger.Warn("answer broken off", "request", req.ID, "class", req.Class, "cause", err.Error(),
			"configAtStart", config, "config", g.holder.Summary().Config, "tookMs", (g.boot.Now() - began).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, r, &call, outcome.FromError(err))
}

// recoverPanic responds to a request whose handler panics. It must be deferred. If the
// response has begun, the connection is aborted, so that the response does not look complete.
func (g *Gateway) recoverPanic(w http.ResponseWriter, id string, begun *atomic.Bool) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares it as well
		panic(p)
	}
	g.metrics.Inc("panics")
	g.logger.Error("panic", "panic", fmt.Sprint(p), "request", id, "stack", string(debug.Stack()))
	if begun.Load() {
		panic(http.ErrAbortHandler)
	}
	wire.WriteRefusal(w, id, outcome.UnknownError(outcome.ReasonInternal, "an internal error; the request may have been executed"))
}

// endsConnection has the reasons for which the rest of a request is not read.
var endsConnection = map[outcome.Reason]bool{
	outcome.ReasonBadRequest: true,
	outcome.ReasonTooLarge:   true,
	outcome.ReasonOverloaded: true,
}

// refuse responds to a request that no endpoint has answered.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, call *wire.CallerRequest, refusal *outcome.Refusal) {
	g.metrics.CountRefusal(refusal.Reason)
	g.logger.Info("refused", "request", call.ID, "outcome", refusal.Outcome, "reason", refusal.Reason, "message", refusal.Message,
		"config", g.holder.Summary().Config, "configAgeMs", g.configAgeMs())
	g.recordPromise(call.ID, refusal)
	if g.leaving() && refusal.RetryAfter == 0 {
		refusal.RetryAfter = leavingRetryAfter
	}
	if endsConnection[refusal.Reason] || g.leaving() {
		w.Header().Set("Connection", "close")
	}
	// A caller whose body is not awaited any longer is still there, though net/http takes it
	// for gone.
	if r.Context().Err() != nil && refusal.Reason != outcome.ReasonOverloaded && refusal.Reason != outcome.ReasonLeaving {
		panic(http.ErrAbortHandler)
	}
	wire.WriteRefusal(w, call.ID, refusal)
}

// admit determines a request's route and account and reads its body. It returns
// either the request to forward or a refusal.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, call *wire.CallerRequest, began time.Duration) (*forward.Request, *outcome.Refusal) {
	if c := callerconn.FromContext(r.Context()); c != nil && c.Conflict() {
		return nil, outcome.NotRunError(outcome.ReasonBadRequest, "the lengths of a request conflict")
	}
	target, path := target(r)
	g.awaitStart(r.Context(), call.Deadline)
	m, refusal := g.match(r.Host, path, call.Key)
	if refusal != nil {
		return nil, refusal
	}
	if call.ID == "" {
		return nil, outcome.NotRunError(outcome.ReasonBadRequest, "the request has no id")
	}
	body, refusal := g.readBody(w, r, m.catalog.Limits.BodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	req := g.forwardRequest(r, call, m, body, began)
	req.Target = target
	req.Fingerprint = quarantine.FingerprintOf(req.Account, r.Method, r.Host, target, body)
	req.MaySend = func() *outcome.Refusal {
		_, refusal := g.match(r.Host, path, call.Key)
		return refusal
	}
	return req, nil
}

// awaitStart waits until this daemon is ready for the first time.
func (g *Gateway) awaitStart(ctx context.Context, deadline time.Duration) {
	if isClosed(g.started) {
		return
	}
	wait := g.startWait
	if deadline > 0 {
		wait = min(wait, deadline/startWaitDivisor)
	}
	g.metrics.Inc("requests.waitedForStart")
	select {
	case <-g.started:
	case <-g.clock.After(wait):
	case <-ctx.Done():
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// target returns a request's target and path exactly as the caller sent them.
func target(r *http.Request) (target, path string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}

// match is the route and account that the configuration has for a request.
type match struct {
	catalog *catalog.Catalog
	route   *catalog.Route
	account *catalog.Account
}

// match looks up the route and the account of a request in the current
// configuration. A route or key that is missing may have been added since, and
// a key that is found may have been revoked. If the configuration is too old to
// tell, the request is refused as stale.
func (g *Gateway) match(host, path, key string) (match, *outcome.Refusal) {
	c := g.holder.Catalog()
	if c == nil {
		return match{}, staleRefusal(outcome.ReasonNotReady, "no configuration has been received")
	}
	age, ok := g.holder.ConfigAge()
	m := match{catalog: c, route: c.Route(host, path)}
	if m.route == nil {
		return m, notFound(ok && age < staleAfter, outcome.ReasonUnknownPath, "no route matches the path")
	}
	if !c.NeedsKey(m.route) {
		return m, nil
	}
	if !ok || age >= g.conf().Gateway.RevokeAfter.Std()-revokeMargin {
		return m, staleRefusal(outcome.ReasonStaleTable, "the configuration may be out of date")
	}
	if m.account = c.Account(key); m.account == nil {
		return m, notFound(age < staleAfter, outcome.ReasonUnauthorized, "the API key belongs to no account")
	}
	return m, nil
}

func notFound(fresh bool, reason outcome.Reason, message string) *outcome.Refusal {
	if !fresh {
		return staleRefusal(outcome.ReasonStaleTable, message)
	}
	return outcome.NotRunError(reason, message)
}

func staleRefusal(reason outcome.Reason, message string) *outcome.Refusal {
	refusal := outcome.NotRunError(reason, message)
	refusal.RetryAfter = staleRetryAfter
	return refusal
}

// readBody reads the whole body. This is required for retries, and the server
// detects that the caller disconnects only after the body has been read.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *outcome.Refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if maxBytes > 0 && r.ContentLength > maxBytes {
		return nil, outcome.NotRunError(outcome.ReasonTooLarge, "the body is too large")
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	var ending atomic.Bool
	defer func() {
		if !ending.Load() {
			_ = control.SetReadDeadline(time.Time{})
		}
	}()
	defer g.grace.OnEnding(true, func() {
		ending.Store(true)
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})()
	body, err := callerconn.ReadBody(r.Body, r.ContentLength, maxBytes)
	switch {
	case errors.Is(err, callerconn.ErrGaveWay), errors.Is(err, callerconn.ErrNoRoom):
		refusal := outcome.NotRunError(outcome.ReasonOverloaded, err.Error())
		refusal.RetryAfter = overloadedRetryAfter
		return nil, refusal
	case err != nil && ending.Load():
		return nil, outcome.NotRunError(outcome.ReasonLeaving, "this host is leaving")
	case err != nil:
		return nil, outcome.NotRunError(outcome.ReasonBadRequest, "the body does not come whole")
	case maxBytes > 0 && int64(len(body)) > maxBytes:
		return nil, outcome.NotRunError(outcome.ReasonTooLarge, "the body is too large")
	}
	return body, nil
}

// forwardRequest builds the request to forward.
func (g *Gateway) forwardRequest(r *http.Request, call *wire.CallerRequest, m match, body []byte, began time.Duration) *forward.Request {
	route := m.route
	tier := catalog.TierOf(route, m.account)
	account := table.AccountName("")
	if m.account != nil {
		account = m.account.Name
	}
	wait := call.Deadline
	if wait == 0 {
		wait = defaultDeadline
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return &forward.Request{
		ID:           call.ID,
		Method:       r.Method,
		Host:         r.Host,
		Header:       call.Header,
		Body:         body,
		Class:        catalog.ClassName(route, tier),
		Pool:         route.PickPool(rand.Float64()), //nolint:gosec // shares of traffic
		Account:      account,
		Rank:         m.catalog.RankOf(route, m.account),
		Kind:         route.Kind,
		Resumable:    route.Resumable,
		Attempts:     route.Attempts,
		PromptTokens: call.PromptTokens,
		OutputTokens: call.OutputTokens,
		Parts:        call.Parts,
		StartTarget:  route.Target,
		GapTarget:    route.Pause,
		StartTimeout: route.Leaves,
		LastEvent:    call.LastEvent,
		Resumes:      call.Resumes,
		ReceivedAt:   began,
		Deadline:     began + wait,
		Logged:       g.sampler.Sample(),
	}
}

// writeHead forwards the status and headers of a response.
func writeHead(w http.ResponseWriter, status int, h http.Header, length int64) {
	out := w.Header()
	for name, values := range wire.ResponseHeader(h) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		// Prevents net/http from guessing the type.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

// writeBody forwards a part of the body and flushes it.
func writeBody(w http.ResponseWriter, p []byte) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
