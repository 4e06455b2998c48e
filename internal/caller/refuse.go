package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/outcome"
)

// errorBody is a refusal in the format of OpenAI's errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      outcome.Reason  `json:"code"`
	Outcome   outcome.Outcome `json:"outcome"`
	Addresses []string        `json:"addresses,omitempty"`
}

// statuses holds the HTTP status of the reasons that have one of their own.
var statuses = map[outcome.Reason]int{
	outcome.ReasonBadRequest:      http.StatusBadRequest,
	outcome.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	outcome.ReasonHeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	outcome.ReasonBodyTimeout:     http.StatusRequestTimeout,
	outcome.ReasonUnauthorized:    http.StatusUnauthorized,
	outcome.ReasonClassForbidden:  http.StatusForbidden,
	outcome.ReasonUnknownPath:     http.StatusNotFound,
	outcome.ReasonUnknownMethod:   http.StatusMethodNotAllowed,
	outcome.ReasonUnknownModel:    http.StatusNotFound,
	outcome.ReasonUnknownClass:    http.StatusNotFound,
	outcome.ReasonUnknownService:  http.StatusNotFound,
	outcome.ReasonOtherBody:       http.StatusUnprocessableEntity,
	outcome.ReasonQuarantined:     http.StatusUnprocessableEntity,
	outcome.ReasonInProgress:      http.StatusConflict,
	outcome.ReasonClaimUnknown:    http.StatusConflict,
	outcome.ReasonRateLimit:       http.StatusTooManyRequests,
	outcome.ReasonConcurrency:     http.StatusTooManyRequests,
	outcome.ReasonQueueFull:       http.StatusTooManyRequests,
}

// status returns the HTTP status of a refusal.
func status(r *outcome.Refusal) int {
	if code, ok := statuses[r.Reason]; ok {
		return code
	}
	if r.Outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// defaultRetryAfter is sent if a repeat may succeed and no better value is
// known.
const defaultRetryAfter = time.Second

// retryAfter returns the time after which a repeat may succeed, or zero if
// callers should not repeat the request by themselves. That is the case for a
// request that may have been executed.
func retryAfter(r *outcome.Refusal) time.Duration {
	code := status(r)
	temporary := code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable
	if r.RetryAfter == 0 && (r.Reason == outcome.ReasonInProgress || temporary && r.Outcome == outcome.NotRun) {
		return defaultRetryAfter
	}
	return r.RetryAfter
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

func newErrorBody(r *outcome.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message:   r.Message,
		Type:      errorType(status(r)),
		Code:      r.Reason,
		Outcome:   r.Outcome,
		Addresses: r.Addresses,
	}}
}

// handleError writes a refusal. If the headers were already sent, they can't be
// changed; a streamed response then ends with an error event instead.
func (s *Server) handleError(c *echo.Context, err error) {
	refusal := refusalOf(err)
	s.Metrics.CountRefusal(refusal.Reason)
	if resp, unwrapErr := echo.UnwrapResponse(c.Response()); unwrapErr == nil && resp.Committed {
		return
	}
	h := c.Response().Header()
	h.Set(HeaderOutcome, string(refusal.Outcome))
	if after := retryAfter(refusal); after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	switch refusal.Reason {
	case outcome.ReasonLeaving, outcome.ReasonBodyTimeout, outcome.ReasonOverloaded:
		h.Set("Connection", "close")
	case outcome.ReasonUnauthorized:
		h.Set("WWW-Authenticate", "Bearer")
	}
	_ = c.JSON(status(refusal), newErrorBody(refusal))
}

// refusalOf returns the refusal in err's chain. It turns the router's own
// errors into refusals for an unknown path or method.
func refusalOf(err error) *outcome.Refusal {
	switch echo.StatusCode(err) {
	case http.StatusNotFound:
		return outcome.NotRunError(outcome.ReasonUnknownPath, "there is nothing at this path")
	case http.StatusMethodNotAllowed:
		return outcome.NotRunError(outcome.ReasonUnknownMethod, "the path does not take this method")
	}
	return outcome.FromError(err)
}
