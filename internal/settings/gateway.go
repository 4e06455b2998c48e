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
	// Machine is what this host has; absent where all hosts are alike.
	Machine *Machine `json:"machine,omitempty"`
}

// Machine is what a host has for its daemon.
type Machine struct {
	// ProcessorShare is the part of a core that it may use, ProcessorSpeed how
	// fast that core is, as a multiple of an ordinary one.
	ProcessorShare float64 `json:"processorShare"`
	ProcessorSpeed float64 `json:"processorSpeed"`
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
}

const (
	// requestSeconds is the processor time of a request on an ordinary core,
	// requestMbits what it moves over the link both ways. Measured on the
	// users' large sites: 1.2 ms, and 12 KB of prompt and 4 KB of answer, each
	// in and out.
	requestSeconds = 0.0012
	requestMbits   = 0.25
)

// Capacity returns how many requests a second the machine can carry; zero is
// unknown.
func (m *Machine) Capacity() uint32 {
	if m == nil {
		return 0
	}
	return uint32(max(1, min(m.ProcessorShare*m.ProcessorSpeed/requestSeconds, m.LinkMbps/requestMbits)))
}

func (m *Machine) check(c *checker) {
	if m == nil {
		return
	}
	c.require(m.ProcessorShare > 0, "gateway.machine.processorShare", "%g is not positive", m.ProcessorShare)
	c.require(m.ProcessorSpeed > 0, "gateway.machine.processorSpeed", "%g is not positive", m.ProcessorSpeed)
	c.require(m.LinkMbps > 0, "gateway.machine.linkMbps", "%g is not positive", m.LinkMbps)
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
	g.Machine.check(c)
	c.require(g.Retry.Share >= 0, "gateway.retry.share", "%g is negative", g.Retry.Share)
	c.require(g.Retry.Slack >= 0, "gateway.retry.slack", "%g is negative", g.Retry.Slack)
	c.require(g.Retry.Window > 0, "gateway.retry.window", "is missing; allowed: a duration such as 10s")
}
