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

// claimFinishTimeout bounds how long a response is held back until it is stored
// for repeats. If storing takes longer, it continues in the background.
const claimFinishTimeout = time.Second

// call forwards a request to a plain service.
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
	resp, err := s.dispatchCall(c.Request().Context(), call, key)
	record.End(err)
	if err != nil {
		return err
	}
	s.setWriteDeadline(c)
	return writeResponse(c, resp)
}

// idempotencyKey returns the idempotency key of a request, or an empty string
// if it has none.
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

func (s *Server) dispatchCall(ctx context.Context, call *dispatch.Call, key string) (*service.Response, error) {
	if key == "" {
		return s.Dispatcher.Call(ctx, call)
	}
	return s.callWithClaim(ctx, call, key)
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
		Request: service.Request{ID: requestID(c), Method: r.Method, Path: target, Header: forwardedHeaders(r.Header), Body: body},
	}, nil
}

// callWithClaim runs a call under an idempotency key. Once the key is claimed,
// the call is not cancelled when its caller disconnects, so that a repeat gets
// the stored response.
func (s *Server) callWithClaim(ctx context.Context, call *dispatch.Call, key string) (*service.Response, error) {
	scope := claim.Scope{Account: call.Account, Service: call.Pool, Key: key}
	boundRequest := slices.Concat([]byte(call.Request.Method+" "+call.Request.Path+"\n"), call.Request.Body)
	c, err := s.Claims.Begin(ctx, scope, boundRequest)
	if err != nil {
		return nil, err
	}
	if c.Replay != nil {
		return replayed(c.Replay), nil
	}
	ctx = context.WithoutCancel(ctx)
	resp, err := s.Dispatcher.Call(ctx, call)
	finishCtx, cancel := context.WithTimeout(ctx, claimFinishTimeout)
	defer cancel()
	s.finishClaim(finishCtx, c, resp, err)
	return resp, err
}

// finishClaim completes or releases a claim depending on the outcome of the
// call.
func (s *Server) finishClaim(ctx context.Context, c *claim.Claim, resp *service.Response, callErr error) {
	switch {
	case callErr == nil:
		s.Claims.Finish(ctx, c, claim.Done, resp)
	case outcome.FromError(callErr).Outcome == outcome.NotRun:
		s.Claims.Release(ctx, c)
	default:
		s.Claims.Finish(ctx, c, claim.Unknown, nil)
	}
}

// replayed returns a stored response marked as replayed.
func replayed(resp *service.Response) *service.Response {
	return &service.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body, Replayed: true}
}

// setWriteDeadline sets the deadline for the caller to receive a whole
// response.
func (s *Server) setWriteDeadline(c *echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(s.StallTimeout))
}

// writeResponse forwards a service's response. It drops the service's values
// for this system's own headers, so that the response can't claim another
// outcome or host.
func writeResponse(c *echo.Context, resp *service.Response) error {
	w := c.Response()
	if resp.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	for name, values := range withoutOwnHeaders(resp.Header) {
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
