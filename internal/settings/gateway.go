package settings

import (
	"net/netip"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Gateway is the part of the settings for a daemon whose configuration and
// endpoints lie in the platform's store.
type Gateway struct {
	// ReadyAddress answers the platform's question whether this host takes
	// callers, DirectoryAddress callers who ask where to connect.
	ReadyAddress     string `json:"readyAddress"`
	DirectoryAddress string `json:"directoryAddress"`
	// BeaconPort is the UDP port on which the daemons tell each other how
	// fresh their knowledge is; it is the same on all hosts.
	BeaconPort int `json:"beaconPort"`
	// AddressLifetime is how long callers may keep an answer of addresses.
	AddressLifetime table.Duration `json:"addressLifetime"`
	// RevokeAfter is the time within which a key that was taken away must not
	// be used any longer, whatever this host can reach.
	RevokeAfter table.Duration `json:"revokeAfter"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace table.Duration `json:"grace"`
	// Retry bounds what all daemons together send beyond the first time.
	Retry Retry `json:"retry"`
}

// Retry bounds, for each pool, what is sent beyond the first time in each
// window: Share of the requests and Slack more.
type Retry struct {
	Share  float64        `json:"share"`
	Slack  float64        `json:"slack"`
	Window table.Duration `json:"window"`
}

// The shortest useful times.
const (
	minRevokeAfter = time.Second
	minGrace       = time.Second
)

func (g *Gateway) check(c *checker) {
	if g == nil {
		return
	}
	for _, a := range []struct{ path, address string }{
		{"gateway.readyAddress", g.ReadyAddress},
		{"gateway.directoryAddress", g.DirectoryAddress},
	} {
		addr, err := netip.ParseAddrPort(a.address)
		c.require(err == nil && addr.Port() != 0, a.path, "%q is not an IP address with a port, such as 10.0.0.1:7400", a.address)
	}
	c.require(g.BeaconPort > 0 && g.BeaconPort < 1<<16, "gateway.beaconPort", "%d is not a port", g.BeaconPort)
	c.require(g.AddressLifetime > 0, "gateway.addressLifetime", "is missing; allowed: a duration such as 2s")
	c.require(g.RevokeAfter.Std() >= minRevokeAfter, "gateway.revokeAfter", "%s is under %s", g.RevokeAfter.Std(), minRevokeAfter)
	c.require(g.Grace.Std() >= minGrace, "gateway.grace", "%s is under %s", g.Grace.Std(), minGrace)
	c.require(g.Retry.Share >= 0, "gateway.retry.share", "%g is negative", g.Retry.Share)
	c.require(g.Retry.Slack >= 0, "gateway.retry.slack", "%g is negative", g.Retry.Slack)
	c.require(g.Retry.Window > 0, "gateway.retry.window", "is missing; allowed: a duration such as 10s")
}
