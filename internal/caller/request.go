package caller

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// class returns the class that the caller requested, or the account's default.
func class(c *echo.Context) (*table.Class, error) {
	a := account(c)
	name := table.ClassName(c.Request().Header.Get(HeaderClass))
	if name == "" {
		name = a.Classes[0]
	}
	cl, ok := tableInForce(c).Table.Class(name)
	if !ok {
		return nil, outcome.NotRunError(outcome.ReasonUnknownClass, "no class is named "+string(name))
	}
	for _, allowed := range a.Classes {
		if allowed == name {
			return cl, nil
		}
	}
	return nil, outcome.NotRunError(outcome.ReasonClassForbidden, "the account may not use class "+string(name))
}

// readBody reads the whole body before anything is sent to an endpoint, so that
// a caller that is slow or disconnects takes up no time of an endpoint.
func (s *Server) readBody(c *echo.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response())
	_ = rc.SetReadDeadline(time.Now().Add(s.BodyTimeout))
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
	body, err := callerconn.ReadBody(holding(c).Body(limited), c.Request().ContentLength, maxBody)
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return body, nil
	case errors.Is(err, callerconn.ErrGaveWay), errors.Is(err, callerconn.ErrNoRoom):
		return nil, outcome.NotRunError(outcome.ReasonOverloaded, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, outcome.NotRunError(outcome.ReasonBodyTimeout, "the body did not come in time")
	}
	if _, ok := errors.Into[*http.MaxBytesError](err); ok {
		return nil, outcome.NotRunError(outcome.ReasonTooLarge, "the body exceeds 8 MiB")
	}
	return nil, outcome.NotRunError(outcome.ReasonBadRequest, "the body ended early: "+err.Error())
}
