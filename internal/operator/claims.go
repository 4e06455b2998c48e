package operator

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/pkg/table"
)

const defaultClaims = 100

// claims lists one page of claims: after a place in the list, of one account
// if it is given.
func (s *Server) claims(c *echo.Context) error {
	limit := defaultClaims
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return echo.NewHTTPError(http.StatusBadRequest, "limit is not a positive number")
		}
		limit = n
	}
	page, err := s.Claims.List(c.Request().Context(), table.AccountName(c.QueryParam("account")), c.QueryParam("after"), limit)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, page)
}
