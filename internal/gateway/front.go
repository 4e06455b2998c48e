package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/framing"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"

	wire "github.com/beechhead/beechhead/platform"
)

const (
	// staleAfter is how old the configuration may be for this daemon to say
	// that a route or key does not exist: a newer one may have it.
	staleAfter = 1500 * time.Millisecond
	// revokeMargin is how much before the bound of revoked keys a daemon that
	// hears of no newer configuration stops using keys. The bound counts from
	// when the caller sent its request, which came earlier than the check.
	revokeMargin = 250 * time.Millisecond
	// bodyTimeout bounds the time in which a body must come.
	bodyTimeout = 10 * time.Second
	// retryStale is what callers are told to wait when this daemon's facts are
	// too old; others may have newer ones.
	retryStale = 200 * time.Millisecond
	// defaultDeadline is how long a caller is taken to wait that does not say.
	defaultDeadline = time.Minute
)

type connKey struct{}

// withConn makes the connection known to its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// serveCaller answers one request. It is not routed by a library: the path is
// the endpoint's, and must reach it byte for byte.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	began := g.boot.Now()
	call := wire.ReadCall(r.Header)
	req, refusal := g.admit(w, r, &call, began)
	if refusal != nil {
		g.refuse(w, r, &call, refusal)
		return
	}
	err := g.forwarder.Do(r.Context(), req, forward.Sink{
		Head: func(status int, h http.Header, length int64) { writeHead(w, status, h, length) },
		Body: func(p []byte) error { return writeBody(w, p) },
	})
	if err == nil {
		g.metrics.Inc("requests.answered")
		return
	}
	if errors.Is(err, forward.ErrTruncated) {
		g.metrics.Inc("requests.broken")
		g.logger.Warn("answer broken off", "request", req.ID, "class", req.Class, "cause", err.Error())
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, r, &call, outcome.FromError(err))
}

// refuse ends a request that no endpoint has answered.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, call *wire.Call, refusal *outcome.Refusal) {
	g.metrics.Refused(refusal.Reason)
	g.logger.Info("refused", "request", call.ID, "outcome", refusal.Outcome, "reason", refusal.Reason, "message", refusal.Message,
		"config", g.holder.Summary().Config, "configAgeMs", g.configAgeMs())
	if refusal.Reason == outcome.ReasonBadRequest || refusal.Reason == outcome.ReasonTooLarge || g.leaving() {
		w.Header().Set("Connection", "close")
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	wire.WriteRefusal(w, call.ID, refusal)
}

// admit finds a request's class and account and reads its body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, call *wire.Call, began time.Duration) (*forward.Request, *outcome.Refusal) {
	if g.refusing.Load() {
		refusal := outcome.NotRunError(outcome.ReasonLeaving, "this host is leaving")
		refusal.RetryAfter = retryStale
		return nil, refusal
	}
	if c, ok := r.Context().Value(connKey{}).(*framing.Conn); ok && c.Conflict() {
		return nil, outcome.NotRunError(outcome.ReasonBadRequest, "the lengths of a request conflict")
	}
	target, path := target(r)
	m, refusal := g.match(r.Host, path, call.Key)
	if refusal != nil {
		return nil, refusal
	}
	if call.ID == "" {
		return nil, outcome.NotRunError(outcome.ReasonBadRequest, "the request has no id")
	}
	body, refusal := readBody(w, r, m.catalog.Limits.BodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	req := g.request(r, call, m, body, began)
	req.Target = target
	req.Fingerprint = quarantine.FingerprintOf(req.Account, r.Method, r.Host, target, body)
	req.MaySend = func() *outcome.Refusal {
		_, refusal := g.match(r.Host, path, call.Key)
		return refusal
	}
	return req, nil
}

// target returns a request's target and path as the caller wrote them.
func target(r *http.Request) (target, path string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}

// match is what the configuration says of a request.
type match struct {
	catalog *catalog.Catalog
	route   *catalog.Route
	account *catalog.Account
}

// match finds the route and the account of a request in the configuration in
// force. What it does not find may have been added since, unless the
// configuration is known to be the newest; what it finds may have been taken
// away.
func (g *Gateway) match(host, path, key string) (match, *outcome.Refusal) {
	c := g.holder.Catalog()
	if c == nil {
		return match{}, stale(outcome.ReasonNotReady, "no configuration is known")
	}
	age, ok := g.holder.ConfigAge()
	m := match{catalog: c, route: c.Route(host, path)}
	if m.route == nil {
		return m, missing(ok && age < staleAfter, outcome.ReasonUnknownPath, "no route begins the path")
	}
	if m.route.Public || !c.HasAccounts() {
		return m, nil
	}
	if !ok || age >= g.conf().Gateway.RevokeAfter.Std()-revokeMargin {
		return m, stale(outcome.ReasonStaleTable, "the configuration may be out of date")
	}
	if m.account = c.Account(key); m.account == nil {
		return m, missing(age < staleAfter, outcome.ReasonUnauthorized, "no account holds the key")
	}
	return m, nil
}

func missing(fresh bool, reason outcome.Reason, message string) *outcome.Refusal {
	if !fresh {
		return stale(outcome.ReasonStaleTable, message)
	}
	return outcome.NotRunError(reason, message)
}

func stale(reason outcome.Reason, message string) *outcome.Refusal {
	refusal := outcome.NotRunError(reason, message)
	refusal.RetryAfter = retryStale
	return refusal
}

// readBody reads the whole body. Only then does the server notice that the
// caller leaves, and only then can the request be sent once more.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, *outcome.Refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if most > 0 && r.ContentLength > most {
		return nil, outcome.NotRunError(outcome.ReasonTooLarge, "the body is too large")
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	reader := io.Reader(r.Body)
	if most > 0 {
		reader = io.LimitReader(r.Body, most+1)
	}
	body, err := io.ReadAll(reader)
	switch {
	case err != nil:
		return nil, outcome.NotRunError(outcome.ReasonBadRequest, "the body does not come whole")
	case most > 0 && int64(len(body)) > most:
		return nil, outcome.NotRunError(outcome.ReasonTooLarge, "the body is too large")
	}
	return body, nil
}

// request makes the request that is forwarded.
func (g *Gateway) request(r *http.Request, call *wire.Call, m match, body []byte, began time.Duration) *forward.Request {
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
		Pool:         route.Pick(rand.Float64()), //nolint:gosec // shares of traffic
		Account:      account,
		Tier:         tier,
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
		ReceivedAt:   began,
		Deadline:     began + wait,
		Logged:       g.sampler.Pick(),
	}
}

// writeHead passes on the head of an answer.
func writeHead(w http.ResponseWriter, status int, h http.Header, length int64) {
	out := w.Header()
	for name, values := range wire.AnswerHeader(h) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		// net/http would guess one.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

// writeBody passes bytes on at once.
func writeBody(w http.ResponseWriter, p []byte) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
