package caller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/dispatch"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/pkg/table"
)

const servicesPath = "/v1/services/"

// finishTimeout bounds how long an answer waits to be stored for repeats. What
// takes longer is stored in the background.
const finishTimeout = time.Second

// call passes a request to a plain service.
func (s *Server) call(c *echo.Context) error {
	key, err := idempotencyKey(c.Request())
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	call, err := parseCall(c, body)
	if err != nil {
		return err
	}
	record := s.Attainment.Begin(call.Class)
	resp, err := s.run(c.Request().Context(), call, key)
	record.End(err)
	if err != nil {
		return err
	}
	s.boundAnswer(c)
	return answer(c, resp)
}

// idempotencyKey returns the key of a request, or nothing if it has none.
func idempotencyKey(r *http.Request) (string, error) {
	keys := r.Header.Values(HeaderIdempotencyKey)
	switch {
	case len(keys) == 0:
		return "", nil
	case len(keys) > 1:
		return "", outcome.NotRunError(outcome.ReasonBadRequest, "there must be one Idempotency-Key")
	case keys[0] == "" || len(keys[0]) > maxIdempotencyKey:
		return "", outcome.NotRunError(outcome.ReasonBadRequest, "an Idempotency-Key has 1 to 255 bytes")
	}
	return keys[0], nil
}

func (s *Server) run(ctx context.Context, call *dispatch.Call, key string) (*service.Response, error) {
	if key == "" {
		return s.Dispatcher.Call(ctx, call)
	}
	return s.claimed(ctx, call, key)
}

func parseCall(c *echo.Context, body []byte) (*dispatch.Call, error) {
	cl, err := class(c)
	if err != nil {
		return nil, err
	}
	r := c.Request()
	name, target := serviceTarget(r)
	if !slices.Contains(cl.Pools, table.Pool(name)) || tableInForce(c).Table.PoolKind(table.Pool(name)) != table.KindService {
		return nil, outcome.NotRunError(outcome.ReasonUnknownService, "class "+string(cl.Name)+" has no service "+name)
	}
	return &dispatch.Call{
		Fingerprint: quarantine.FingerprintOf(account(c).Name, r.Method, name, target, body),

		Account: account(c).Name,
		Class:   cl,
		Pool:    table.Pool(name),
		Request: service.Request{ID: requestID(c), Method: r.Method, Path: target, Header: forwarded(r.Header), Body: body},
	}, nil
}

// claimed runs a call under an idempotency key. Once claimed, the call is not
// cancelled when its caller goes, so that a repeat finds its answer.
func (s *Server) claimed(ctx context.Context, call *dispatch.Call, key string) (*service.Response, error) {
	scope := claim.Scope{Account: call.Account, Service: call.Pool, Key: key}
	bound := slices.Concat([]byte(call.Request.Method+" "+call.Request.Path+"\n"), call.Request.Body)
	c, err := s.Claims.Begin(ctx, scope, bound)
	if err != nil {
		return nil, err
	}
	if c.Replay != nil {
		return replayed(c.Replay), nil
	}
	ctx = context.WithoutCancel(ctx)
	resp, err := s.Dispatcher.Call(ctx, call)
	finishCtx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	s.settle(finishCtx, c, resp, err)
	return resp, err
}

// settle ends a claim by how its call ended.
func (s *Server) settle(ctx context.Context, c *claim.Claim, resp *service.Response, callErr error) {
	switch {
	case callErr == nil:
		s.Claims.Finish(ctx, c, claim.Done, resp)
	case outcome.FromError(callErr).Outcome == outcome.NotRun:
		s.Claims.Release(ctx, c)
	default:
		s.Claims.Finish(ctx, c, claim.Unknown, nil)
	}
}

// replayed returns a stored answer, marked as one.
func replayed(resp *service.Response) *service.Response {
	return &service.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body, Replayed: true}
}

// boundAnswer sets the deadline by which the caller must have taken a whole
// answer.
func (s *Server) boundAnswer(c *echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(s.StallTimeout))
}

// answer passes a service's answer on. The service can't set this system's
// own headers, so that its answer can't claim another outcome or host.
func answer(c *echo.Context, resp *service.Response) error {
	w := c.Response()
	if resp.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	for name, values := range withoutOwn(resp.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderOutcome, string(outcome.Done))
	w.WriteHeader(resp.Status)
	if len(resp.Body) == 0 {
		return nil
	}
	if _, err := w.Write(resp.Body); err != nil {
		return outcome.UnknownError(outcome.ReasonCallerGone, err.Error())
	}
	return nil
}
