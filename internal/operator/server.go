// Package operator is the API that operators' commands use: the table, the
// hosts and the figures.
package operator

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/status"
	"github.com/beechhead/beechhead/internal/tablesync"
)

// HeaderOperator names who edits, for the history.
const HeaderOperator = "Beechhead-Operator"

const maxTable = 64 << 20

// Server answers operators. All fields must be set before it serves.
type Server struct {
	Logger  *slog.Logger
	Keeper  *tablesync.Replica
	Editor  *tablesync.Editor
	View    *membership.View
	Metrics *metric.Registry
	// Key opens the API.
	Key string
	// Status returns the figures of all daemons.
	Status func(ctx context.Context) *status.Site
	// Drain starts the graceful stop of this daemon.
	Drain func()
	// Claims lists claims.
	Claims *claim.Store
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.NewWithConfig(echo.Config{Logger: s.Logger, HTTPErrorHandler: s.handleError})
	e.GET("/healthz", func(c *echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.ready)
	e.GET("/metrics", s.metrics, s.authorize)
	g := e.Group("/v1", s.authorize)
	g.GET("/table", s.table)
	g.PUT("/table", s.putTable)
	g.POST("/table/edits", s.edit)
	g.GET("/table/history", s.history)
	g.GET("/hosts", s.hosts)
	g.GET("/claims", s.claims)
	g.GET("/addresses", s.addresses)
	g.GET("/status", s.status)
	g.POST("/drain", s.drain)
	return e
}

func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || s.Key == "" || subtle.ConstantTimeCompare([]byte(key), []byte(s.Key)) != 1 {
			return echo.NewHTTPError(http.StatusUnauthorized, "the operator key is missing or wrong")
		}
		return next(c)
	}
}

func (s *Server) ready(c *echo.Context) error {
	if s.View.Self().State != membership.Ready || s.Keeper.Stale() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// metrics writes the figures of this daemon as JSON or, on request, in
// Prometheus' text format.
func (s *Server) metrics(c *echo.Context) error {
	if c.QueryParam("format") == "prometheus" {
		c.Response().Header().Set("Content-Type", metric.PrometheusType)
		return s.Metrics.WritePrometheus(c.Response())
	}
	c.Response().Header().Set("Content-Type", "application/json")
	s.Metrics.WriteJSON(c.Response())
	return nil
}

func (s *Server) status(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.Status(c.Request().Context()))
}

// Draining is the answer to a drain.
type Draining struct {
	Host string `json:"host"`
	// InProgress counts the requests that are still to end.
	InProgress int64 `json:"inProgress"`
}

func (s *Server) drain(c *echo.Context) error {
	self := s.View.Self()
	s.Drain()
	return c.JSON(http.StatusAccepted, Draining{Host: string(self.ID), InProgress: int64(self.Load)})
}
