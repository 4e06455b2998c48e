package operator

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

func (s *Server) table(c *echo.Context) error {
	v := s.Keeper.Current()
	if v == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no table is in force")
	}
	return c.JSON(http.StatusOK, v)
}

// putTable replaces the table if its version is still the one given.
func (s *Server) putTable(c *echo.Context) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxTable))
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "the table can't be read whole: "+err.Error())
	}
	v, faults := table.ReadJSON(data)
	if len(faults) > 0 {
		return faults
	}
	accepted, err := s.Editor.Put(c.Request().Context(), *v, operatorName(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, accepted)
}

// edit changes, adds or deletes one row.
func (s *Server) edit(c *echo.Context) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxTable))
	d.DisallowUnknownFields()
	var e tablesync.RowEdit
	if err := d.Decode(&e); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the body is not an edit: "+err.Error())
	}
	accepted, err := s.Editor.Edit(c.Request().Context(), e, operatorName(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, accepted)
}

func operatorName(c *echo.Context) string {
	if name := c.Request().Header.Get(HeaderOperator); name != "" {
		return name
	}
	return "unnamed"
}

func (s *Server) history(c *echo.Context) error {
	entries, err := s.Editor.History(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the history can't be read: "+err.Error())
	}
	if entries == nil {
		entries = []tablesync.HistoryEntry{}
	}
	return c.JSON(http.StatusOK, entries)
}
