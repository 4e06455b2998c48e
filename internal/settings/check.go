package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/internal/strictjson"
)

// minTimeout is the shortest useful deadline of a call to the platform.
const minTimeout = 10 * time.Millisecond

// Fault is one error in a settings file.
type Fault struct {
	// Path is where it stands, such as "platform.url".
	Path    string
	Problem string
}

// Faults is every fault found; it is an error when not empty.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.Path+": "+one.Problem)
	}
	return strings.Join(lines, "\n")
}

// checker gathers faults, one per path: the first tells the cause.
type checker struct {
	faults Faults
}

func (c *checker) malformed(f strictjson.Fault) {
	path := f.Path
	if path == "" {
		path = "(file)"
	}
	if f.Value == "" {
		c.require(false, path, "allowed: %s", f.Allowed)
		return
	}
	c.require(false, path, "%s is not allowed; allowed: %s", f.Value, f.Allowed)
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if ok || c.has(path) {
		return
	}
	c.faults = append(c.faults, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// has reports whether the path, or what holds it, has a fault already.
func (c *checker) has(path string) bool {
	return slices.ContainsFunc(c.faults, func(f Fault) bool {
		return f.Path == "(file)" || f.Path == path || strings.HasPrefix(path, f.Path+".")
	})
}

// check gathers the faults of what can be told without reading other files.
func (s *Settings) check(c *checker) {
	c.require(s.Host != "", "host", "is missing")
	c.require(s.Region != "", "region", "is missing")
	c.require(s.Zone != "", "zone", "is missing")
	s.checkAddresses(c)
	c.checkPlatform(&s.Platform)
	s.checkOperatorKey(c)
	s.Gateway.check(c)
	s.CallerTLS.check(c, "callerTls")
	s.OperatorTLS.check(c, "operatorTls")
	s.PeerTLS.check(c)
	s.checkPolicy(c)
	c.require(s.MemoryMB >= 0, "memoryMb", "%g is negative", s.MemoryMB)
	c.require(s.Descriptors >= 0, "descriptors", "%d is negative", s.Descriptors)
	c.require(s.CellSize >= 0, "cellSize", "%d is negative", s.CellSize)
}

// checkPolicy wants a known way of placing, and known mechanisms to leave out.
func (s *Settings) checkPolicy(c *checker) {
	known := slices.Contains([]Policy{"", PolicyCells, PolicyRoundRobin, PolicyLeastOutstanding}, s.Policy)
	c.require(known, "policy", "%q is none of cells, roundRobin and leastOutstanding", s.Policy)
	for i, m := range s.Disabled {
		path := fmt.Sprintf("disabled[%d]", i)
		c.require(slices.Contains(schedule.Mechanisms(), m), path, "%q is none of %v", m, schedule.Mechanisms())
	}
}

// checkOperatorKey wants a key where there is an interface that it opens.
func (s *Settings) checkOperatorKey(c *checker) {
	if s.Gateway != nil && s.OperatorKey == (Secret{}) {
		return
	}
	c.require((s.OperatorKey.File == "") != (s.OperatorKey.Environment == ""), "operatorKey", "needs either file or environment")
}

func (s *Settings) checkAddresses(c *checker) {
	taken := map[string]string{}
	for _, a := range []struct{ path, address string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"operatorAddress", s.OperatorAddress},
	} {
		c.require(a.address != "", a.path, "is missing")
		addr, err := netip.ParseAddrPort(a.address)
		c.require(err == nil && addr.Port() != 0, a.path, "%q is not an IP address with a port, such as 10.0.0.1:7400", a.address)
		c.require(!addr.Addr().IsUnspecified(), a.path, "%q can't be told to others; give the host's own IP address", a.address)
		c.require(taken[a.address] == "", a.path, "%q is the %s as well", a.address, taken[a.address])
		taken[a.address] = a.path
	}
	for i, peer := range s.Peers {
		addr, err := netip.ParseAddrPort(peer)
		c.require(err == nil && addr.Port() != 0, fmt.Sprintf("peers[%d]", i), "%q is not an IP address with a port, such as 10.0.0.1:7401", peer)
	}
}

func (c *checker) checkPlatform(p *Platform) {
	c.require(p.URL != "", "platform.url", "is missing")
	u, err := url.Parse(p.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && (u.Path == "" || u.Path == "/") && u.RawQuery == ""
	if ok {
		_, err = netip.ParseAddrPort(u.Host)
	}
	c.require(ok && err == nil, "platform.url", "%q is not http:// or https:// with an IP address and a port", p.URL)
	c.require(p.Timeout != 0, "platform.timeout", "is missing; allowed: a duration such as 500ms")
	c.require(p.Timeout.Std() >= minTimeout, "platform.timeout", "%s is under %s", p.Timeout.Std(), minTimeout)
}
