// Package catalog holds the configuration that operators keep in the
// platform's store: routes, client accounts with their API keys, and pools of
// endpoints. It looks up the route and account of a request and derives the
// scheduling table from the routes.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/pkg/table"
)

// Version orders configurations. Operators' versions increase, but not by one
// each time.
type Version uint64

// Kind determines whether a request may be retried.
type Kind int

// The kinds of request.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests may run at most once.
	Unsafe
	// Stream requests are answered by an event stream. They may run at most
	// once, unless their route is resumable: then the stream may be continued
	// at another endpoint.
	Stream
)

// Route maps requests for one host and path prefix to a class.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable allows a stream to be continued at another endpoint.
	Resumable bool
	// Public routes need no key.
	Public bool
	Tier   table.Tier
	// Shares has at least one entry with a positive weight.
	Shares []Share
	// Attempts is the maximum number of endpoints that may run one request; at
	// least 1.
	Attempts int
	// Timeout bounds the time until the response is complete; positive.
	Timeout time.Duration
	// Target is the latency target for the response or, for streams, the time
	// to first token. Pause is the target for the gap between events. Zero
	// means no target.
	Target, Pause time.Duration
	// Leaves is how long callers wait for the first event before they
	// disconnect; zero means until the timeout.
	Leaves time.Duration
}

// Share is the weight with which a route's requests are sent to a pool.
type Share struct {
	Pool   table.Pool
	Weight float64
}

// Account is a client account.
type Account struct {
	Name table.AccountName
	Keys []string
	// Tier overrides the route's tier if HasTier is set.
	Tier    table.Tier
	HasTier bool
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name table.Pool
	// MaxConnections is how many connections one endpoint accepts from all
	// daemons together; zero means no known limit.
	MaxConnections int
	// Memory is the KV cache size of one engine in tokens; zero marks a plain
	// service.
	Memory int
	// Slots is how many requests an engine runs concurrently. It applies if the
	// endpoint's own registration has no number; zero means not configured.
	Slots int
	// Scaling is nil if engines of the pool can't be ordered.
	Scaling *autoscale.Spec
}

// Limits bounds what a caller may send; zero means unlimited.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// Header bounds the time for the head of a request.
	Header time.Duration
	// Idle is the idle timeout of callers' connections.
	Idle time.Duration
}

// Access is who may send requests to routes that are not public.
type Access int

const (
	// AccessByKey allows requests with a key of an account. If there are no accounts, or
	// none has a key, it allows none.
	AccessByKey Access = iota
	// AccessOpen allows all requests: the configuration has no list of accounts at all.
	AccessOpen
)

// Catalog is one version of the configuration. It is immutable after Index.
type Catalog struct {
	Version Version
	Routes  []Route
	// Access decides whether Accounts matter: an empty list closes all routes that are
	// not public, a missing one opens them.
	Access   Access
	Accounts []Account
	Pools    []Pool
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Account
	pools  map[table.Pool]*Pool
	// maxTier is the highest tier number of all routes and accounts.
	maxTier table.Tier
}

// Index builds the lookup maps. It must be called once, before any lookup.
func (c *Catalog) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.byKey = map[string]*Account{}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
	c.maxTier = c.findMaxTier()
	c.pools = map[table.Pool]*Pool{}
	for i := range c.Pools {
		c.pools[c.Pools[i].Name] = &c.Pools[i]
	}
}

// Route returns the host's route with the longest matching path prefix, or
// nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account to which an API key belongs, or nil.
func (c *Catalog) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// NeedsKey reports whether requests on a route need an API key.
func (c *Catalog) NeedsKey(r *Route) bool { return !r.Public && c.Access != AccessOpen }

// Pool returns the pool with the given name, or nil.
func (c *Catalog) Pool(name table.Pool) *Pool { return c.pools[name] }

// IdleConnections returns how many idle connections each of the given number
// of daemons may keep to one endpoint, so that together with the connections
// in use they stay within the smallest MaxConnections of all pools. It returns
// zero if no pool has a limit.
func (c *Catalog) IdleConnections(daemons int) int {
	least := 0
	for _, p := range c.Pools {
		if p.MaxConnections == 0 {
			continue
		}
		n := max(1, (p.MaxConnections-p.Slots)/max(1, daemons))
		if least == 0 || n < least {
			least = n
		}
	}
	return least
}

// TierOf returns the tier of an account's requests on a route: the account's
// own tier if it has one, else the route's.
func TierOf(r *Route, a *Account) table.Tier {
	if a != nil && a.HasTier {
		return a.Tier
	}
	return r.Tier
}

// PickPool returns a pool, chosen by the weights of the shares; draw is a
// uniform random number in [0, 1).
func (r *Route) PickPool(draw float64) table.Pool {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Shares {
		if left -= s.Weight; left < 0 {
			return s.Pool
		}
	}
	return r.Shares[0].Pool
}
