package gateway

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"

	wire "github.com/beechhead/beechhead/platform"
)

// directoryHandler returns the handler for address resolution, which callers
// use, and for the readiness check, which the platform uses.
func (g *Gateway) directoryHandler() http.Handler {
	e := echo.NewWithConfig(echo.Config{Logger: g.logger})
	e.GET(wire.PathReady, g.serveReady)
	e.GET(wire.PathResolve, g.serveResolve)
	return e
}

// metricsHandler returns the handler that serves the metrics as text.
func (g *Gateway) metricsHandler() http.Handler {
	e := echo.NewWithConfig(echo.Config{Logger: g.logger})
	e.GET("/metrics", func(c *echo.Context) error {
		g.updateGauges()
		c.Response().Header().Set("Content-Type", metric.PrometheusType)
		return g.metrics.WritePrometheus(c.Response())
	})
	return e
}

// serveReady answers the readiness check. The host is ready if it has a
// configuration that is recent enough to authenticate callers and if it is not
// leaving.
func (g *Gateway) serveReady(c *echo.Context) error {
	if !g.acceptsCallers() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (g *Gateway) acceptsCallers() bool {
	if g.view.Self().State != membership.Ready {
		return false
	}
	age, ok := g.holder.ConfigAge()
	return ok && age < g.conf().Gateway.RevokeAfter.Std()-revokeMargin
}

// minZoneHosts is the number of ready hosts in the caller's zone from which on
// only these are returned. With fewer, too few would be left if one of them
// failed.
const minZoneHosts = 2

// serveResolve answers a caller's address resolution request.
func (g *Gateway) serveResolve(c *echo.Context) error {
	addresses := g.addresses(wire.ResolveZone(c.Request()), c.Request().RemoteAddr)
	if len(addresses) == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, wire.ResolveResponse{
		Addresses: addresses,
		TTL:       g.conf().Gateway.AddressLifetime.Std().Seconds(),
	})
}

// addresses returns the addresses to which a caller in a zone should connect.
// Callers choose one of them at random.
func (g *Gateway) addresses(zone, caller string) []string {
	ready := g.view.Ready()
	candidates := ready.Zone(zone)
	if candidates.Len() < minZoneHosts {
		candidates = ready
	}
	var addresses []string
	for _, h := range candidates.SampleByCapacity(callerHost(caller), maxAddresses) {
		addresses = append(addresses, h.CallerAddress)
	}
	return addresses
}

// maxAddresses is the maximum number of addresses in a response: enough that
// some still work if half of all hosts fail, and few enough that hosts with
// more capacity get noticeably more callers.
const maxAddresses = 8

// callerHost returns the host of a caller's address, without the port, which
// differs between connections.
func callerHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
