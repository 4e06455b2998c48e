package operator

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/pkg/table"
)

// Host is a host as known to the daemon that was asked.
type Host struct {
	Host          string        `json:"host"`
	State         string        `json:"state"`
	Region        string        `json:"region"`
	Zone          string        `json:"zone"`
	CallerAddress string        `json:"callerAddress"`
	PeerAddress   string        `json:"peerAddress"`
	Load          uint32        `json:"load"`
	TableVersion  table.Version `json:"tableVersion"`
	Incarnation   uint64        `json:"incarnation,string"`
}

func (s *Server) hosts(c *echo.Context) error {
	hosts := []Host{}
	for _, h := range s.View.Current() {
		hosts = append(hosts, Host{
			Host: string(h.ID), State: h.State.String(), Region: h.Region, Zone: h.Zone,
			CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
			Load: h.Load, TableVersion: table.Version(h.TableVersion), Incarnation: h.Incarnation,
		})
	}
	return c.JSON(http.StatusOK, hosts)
}

// Addresses is the same answer as callers get.
type Addresses struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds int      `json:"lifetimeSeconds"`
}

func (s *Server) addresses(c *echo.Context) error {
	zone := c.QueryParam("zone")
	if zone == "" {
		zone = s.View.Self().Zone
	}
	return c.JSON(http.StatusOK, Addresses{
		Addresses:       s.View.Addresses(zone),
		LifetimeSeconds: int(membership.AddressLifetime.Seconds()),
	})
}
