package gateway

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"

	wire "github.com/beechhead/beechhead/platform"
)

// interfaces answers callers who ask where to connect, and the platform that
// asks whether this host takes callers.
func (g *Gateway) interfaces() http.Handler {
	e := echo.NewWithConfig(echo.Config{Logger: g.logger})
	e.GET(wire.PathReady, g.ready)
	e.GET(wire.PathResolve, g.resolve)
	return e
}

// figures serves the counters as text.
func (g *Gateway) figures() http.Handler {
	e := echo.NewWithConfig(echo.Config{Logger: g.logger})
	e.GET("/metrics", func(c *echo.Context) error {
		g.updateGauges()
		c.Response().Header().Set("Content-Type", metric.PrometheusType)
		return g.metrics.WritePrometheus(c.Response())
	})
	return e
}

// ready tells whether this host takes callers: it knows the configuration, is
// not leaving, and its knowledge is fresh enough for keys to be used.
func (g *Gateway) ready(c *echo.Context) error {
	if !g.takesCallers() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (g *Gateway) takesCallers() bool {
	if g.view.Self().State != membership.Ready {
		return false
	}
	age, ok := g.holder.ConfigAge()
	return ok && age < g.conf().Gateway.RevokeAfter.Std()-revokeMargin
}

// minOwnZone is how many hosts of the caller's own zone must be ready for the
// others to be left out: with fewer, the loss of one would leave too few.
const minOwnZone = 2

// resolve answers a caller that asks where to connect.
func (g *Gateway) resolve(c *echo.Context) error {
	addresses := g.addresses(wire.ResolveZone(c.Request()), c.Request().RemoteAddr)
	if len(addresses) == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, wire.Resolved{
		Addresses: addresses,
		TTL:       g.conf().Gateway.AddressLifetime.Std().Seconds(),
	})
}

// addresses returns where a caller of a zone should connect. Callers draw one
// of them at random.
func (g *Gateway) addresses(zone, caller string) []string {
	ready := g.view.Ready()
	own := ready.Zone(zone)
	if own.Len() < minOwnZone {
		own = ready
	}
	var addresses []string
	for _, h := range own.Spread(callerHost(caller), mostAddresses) {
		addresses = append(addresses, h.CallerAddress)
	}
	return addresses
}

// mostAddresses is how many hosts a caller is told: enough that some are left
// when half of all fail, and few enough that capable ones stand out among them.
const mostAddresses = 8

// callerHost returns the part of a caller's address that stays the same.
func callerHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
