package caller

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// Keys of the values that the middleware stores in the context.
const (
	contextID      = "requestID"
	contextAccount = "account"
	contextTable   = "table"
	contextHolding = "holding"
)

func requestID(c *echo.Context) string { id, _ := c.Get(contextID).(string); return id }
func account(c *echo.Context) *table.Account {
	a, _ := c.Get(contextAccount).(*table.Account)
	return a
}
func tableInForce(c *echo.Context) *table.Versioned {
	t, _ := c.Get(contextTable).(*table.Versioned)
	return t
}

// holding returns what the request makes the daemon hold.
func holding(c *echo.Context) *callerconn.Holding {
	if h, ok := c.Get(contextHolding).(*callerconn.Holding); ok {
		return h
	}
	return &callerconn.Holding{}
}

// identify gives each request an id, names the host, and refuses headers that
// are too large. It runs before routing, so that every response has both
// headers. It turns a panic into a refusal: net/http would close the
// connection, and the caller would get neither an outcome nor a request id.
func (s *Server) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) (err error) {
		defer func() {
			if p := recover(); p != nil {
				s.Metrics.Inc("panics")
				s.Logger.Error("panic", "panic", fmt.Sprint(p), "requestId", requestID(c), "stack", string(debug.Stack()))
				err = outcome.UnknownError(outcome.ReasonInternal, "an internal error; the request may have been executed")
			}
		}()
		// An earlier request on this connection may have set a deadline.
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{})
		id := rand.Text()
		c.Set(contextID, id)
		h := c.Response().Header()
		h.Set(HeaderRequestID, id)
		h.Set(HeaderHost, string(s.View.Self().ID))
		size, lines := headersSize(c.Request())
		if size > maxHeader {
			return outcome.NotRunError(outcome.ReasonHeadersTooLarge, "the headers exceed 32 KiB")
		}
		held := callerconn.NewHolding(c.Request().Context())
		defer held.Release()
		if err := held.AddHead(size, lines); err != nil {
			return outcome.NotRunError(outcome.ReasonOverloaded, err.Error())
		}
		c.Set(contextHolding, held)
		return next(c)
	}
}

// headersSize returns the size of the headers and of the target, in bytes, and the number of
// lines.
func headersSize(r *http.Request) (size, lines int) {
	size = len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
		lines += len(values)
	}
	return size, lines
}

// admit refuses requests that this host can't accept, and finds the account.
func (s *Server) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		// A leaving daemon terminates once no request is in progress, so a
		// request counts before it is admitted.
		n := s.inProgress.Add(1)
		defer s.inProgress.Add(-1)
		if refusal := s.hostRefusal(n); refusal != nil {
			return refusal
		}
		a, t := s.accounts.find(bearer(c.Request()))
		if a == nil {
			return outcome.NotRunError(outcome.ReasonUnauthorized, "the API key is missing or unknown")
		}
		c.Set(contextAccount, a)
		c.Set(contextTable, t)
		if s.View.Self().State == membership.Leaving {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// hostRefusal returns the refusal if this host accepts no requests at all, or
// nil.
func (s *Server) hostRefusal(inProgress int64) *outcome.Refusal {
	self := s.View.Self()
	var refusal *outcome.Refusal
	switch {
	case self.State == membership.Leaving && !s.View.Accepting():
		refusal = outcome.NotRunError(outcome.ReasonLeaving, "this host is leaving")
	case self.State == membership.Starting:
		refusal = outcome.NotRunError(outcome.ReasonNotReady, "this host is not ready")
	case s.Keeper.Stale():
		refusal = outcome.NotRunError(outcome.ReasonStaleTable, "this host may have missed an edit of the table")
	case inProgress > s.MaxRequests:
		refusal = outcome.NotRunError(outcome.ReasonOverloaded, "this host has too many requests in progress")
	default:
		return nil
	}
	refusal.Addresses = slices.DeleteFunc(s.View.Addresses(self.Zone), func(a string) bool { return a == self.CallerAddress })
	return refusal
}
