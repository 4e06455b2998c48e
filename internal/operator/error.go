package operator

import (
	"net/http"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Message string `json:"message"`
	// Faults lists what is wrong with a table or an edit.
	Faults table.Faults `json:"faults,omitempty"`
	// Conflict shows both sides of edits of the same rows.
	Conflict *tablesync.Conflict `json:"conflict,omitempty"`
}

func (s *Server) handleError(c *echo.Context, err error) {
	if resp, unwrapErr := echo.UnwrapResponse(c.Response()); unwrapErr == nil && resp.Committed {
		return
	}
	body := Error{Message: err.Error()}
	status := echo.StatusCode(err)
	if httpErr, ok := errors.Into[*echo.HTTPError](err); ok {
		body.Message = httpErr.Message
	}
	if status == 0 {
		status = tablesync.HTTPStatus(err)
	}
	if faults, ok := errors.Into[table.Faults](err); ok {
		body = Error{Message: "the table would have faults", Faults: faults}
	}
	if conflict, ok := errors.Into[*tablesync.Conflict](err); ok {
		body.Conflict = conflict
	}
	if status == http.StatusUnauthorized {
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
	}
	if status >= http.StatusInternalServerError {
		s.Logger.Warn("operator's request failed", "path", c.Request().URL.Path, "error", err)
	}
	_ = c.JSON(status, body)
}
