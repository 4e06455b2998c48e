package settings

import (
	"net/netip"
	"net/url"
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
	// EndpointProxy is the address of an HTTP proxy through which this host opens its
	// connections to endpoints, with CONNECT; empty if it reaches them directly. Status
	// 502 of the proxy means that the endpoint refused the connection, 504 that it did
	// not answer.
	EndpointProxy string `json:"endpointProxy,omitempty"`
	// AddressLifetime is how long callers may keep an answer of addresses.
	AddressLifetime table.Duration `json:"addressLifetime"`
	// RevokeAfter is the time within which a key that was taken away must not
	// be used any longer, whatever this host can reach.
	RevokeAfter table.Duration `json:"revokeAfter"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace table.Duration `json:"grace"`
	// Retry bounds what all daemons together send beyond the first time.
	Retry Retry `json:"retry"`
	// Machine describes this host; absent where all hosts are alike.
	Machine *Machine `json:"machine,omitempty"`
	// Duties are the calls that one daemon at a time makes for all; absent if there are
	// none.
	Duties *Duties `json:"duties,omitempty"`
}

// Duties are the calls to the platform that one daemon at a time makes.
type Duties struct {
	// URL is the base of the platform's API, such as "http://10.0.0.1:7000".
	URL string `json:"url"`
	// Names lists the duties, in the platform's words.
	Names []string `json:"names"`
	// CallsPerSecond is how many of these calls the platform accepts.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// ChecksFence is set if the platform refuses calls with a fencing token that
	// is lower than one that it has seen.
	ChecksFence bool `json:"checksFence"`
	// LeaseDuration is the time within which two hosts must not act by turns; zero
	// means the default.
	LeaseDuration table.Duration `json:"leaseDuration"`
	// UsageWindow is the length of a window of usage, UsageDue the time after
	// its end within which it is to be reported; zero if there are none.
	UsageWindow table.Duration `json:"usageWindow"`
	UsageDue    table.Duration `json:"usageDue"`
}

// minDutyTime is the shortest duration of a lease that can be renewed in time, and
// the shortest window that can be reported.
const minDutyTime = time.Second

func (d *Duties) check(c *checker) {
	if d == nil {
		return
	}
	u, err := url.Parse(d.URL)
	c.require(err == nil && u.Scheme == "http" && u.Host != "", "gateway.duties.url", "%q is not a URL such as http://10.0.0.1:7000", d.URL)
	c.require(d.CallsPerSecond > 0, "gateway.duties.callsPerSecond", "%g is not positive", d.CallsPerSecond)
	for _, one := range []struct {
		path  string
		value time.Duration
	}{
		{"leaseDuration", d.LeaseDuration.Std()}, {"usageWindow", d.UsageWindow.Std()}, {"usageDue", d.UsageDue.Std()},
	} {
		c.require(one.value == 0 || one.value >= minDutyTime, "gateway.duties."+one.path, "%s is under %s", one.value, minDutyTime)
	}
	c.require(d.UsageWindow == 0 || d.UsageDue > 0, "gateway.duties.usageDue", "is missing; allowed: a duration such as 10s")
}

// Machine describes the resources of a host for its daemon.
type Machine struct {
	// ProcessorShare is the part of a core that it may use, ProcessorSpeed how
	// fast that core is, as a multiple of an ordinary one.
	ProcessorShare float64 `json:"processorShare"`
	ProcessorSpeed float64 `json:"processorSpeed"`
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
	// MemoryMB is the memory that the daemon may use, in MiB; zero is unknown. If it is
	// known, the daemon holds what callers have not read yet.
	MemoryMB float64 `json:"memoryMb,omitempty"`
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
	c.require(m.MemoryMB >= 0, "gateway.machine.memoryMb", "%g is negative", m.MemoryMB)
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
	checkAddress(c, "gateway.readyAddress", g.ReadyAddress)
	checkAddress(c, "gateway.directoryAddress", g.DirectoryAddress)
	if g.EndpointProxy != "" {
		checkAddress(c, "gateway.endpointProxy", g.EndpointProxy)
	}
	c.require(g.BeaconPort > 0 && g.BeaconPort < 1<<16, "gateway.beaconPort", "%d is not a port", g.BeaconPort)
	c.require(g.AddressLifetime > 0, "gateway.addressLifetime", "is missing; allowed: a duration such as 2s")
	c.require(g.RevokeAfter.Std() >= minRevokeAfter, "gateway.revokeAfter", "%s is under %s", g.RevokeAfter.Std(), minRevokeAfter)
	c.require(g.Grace.Std() >= minGrace, "gateway.grace", "%s is under %s", g.Grace.Std(), minGrace)
	g.Machine.check(c)
	g.Duties.check(c)
	c.require(g.Retry.Share >= 0, "gateway.retry.share", "%g is negative", g.Retry.Share)
	c.require(g.Retry.Slack >= 0, "gateway.retry.slack", "%g is negative", g.Retry.Slack)
	c.require(g.Retry.Window > 0, "gateway.retry.window", "is missing; allowed: a duration such as 10s")
}

func checkAddress(c *checker, path, address string) {
	addr, err := netip.ParseAddrPort(address)
	c.require(err == nil && addr.Port() != 0, path, "%q is not an IP address with a port, such as 10.0.0.1:7400", address)
}
