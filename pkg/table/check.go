package table

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
)

// Fault is one validation error in a table: where it is, the rejected value and
// the values that are accepted.
type Fault struct {
	// Row is the kind and name of the row, such as "class/counter".
	Row string `json:"row"`
	// Field is the JSON name of the field.
	Field string `json:"field"`
	// Value is the rejected value.
	Value string `json:"value"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

// Faults lists all validation errors of a table. It is an error if it is not
// empty.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, fmt.Sprintf("%s: %s: %q: allowed: %s", one.Row, one.Field, one.Value, one.Allowed))
	}
	return strings.Join(lines, "\n")
}

var (
	namePattern    = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)
	adapterPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._/:@-]{0,254}$`)
	hashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	allowedName     = "1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit"
	allowedAdapter  = "1 to 255 letters, digits, '.', '_', '/', ':', '@' and '-', the first a letter or digit"
	allowedURL      = "http:// or https:// with an IP address and a port, such as http://10.0.0.1:8000"
	allowedDuration = "zero or a positive duration"
)

// checker collects the faults of a table.
type checker struct {
	faults Faults
	// pools maps each pool to the kind of its first endpoint.
	pools   map[Pool]EndpointKind
	classes map[ClassName]bool
	// seen holds the rows that have been checked.
	seen map[string]bool
	// hashes maps each key hash found so far to its account.
	hashes map[string]AccountName
}

func (c *checker) require(ok bool, row, field string, value any, allowed string) {
	if ok {
		return
	}
	c.faults = append(c.faults, Fault{Row: row, Field: field, Value: fmt.Sprint(value), Allowed: allowed})
}

// Check validates the table and returns all faults. It returns none if the
// table is valid.
func (t *Table) Check() Faults {
	c := &checker{
		pools:   map[Pool]EndpointKind{},
		classes: map[ClassName]bool{},
		seen:    map[string]bool{},
		hashes:  map[string]AccountName{},
	}
	for i := range t.Endpoints {
		c.endpoint(&t.Endpoints[i])
	}
	for i := range t.Classes {
		c.class(&t.Classes[i])
		c.classes[t.Classes[i].Name] = true
	}
	for i := range t.Accounts {
		c.account(&t.Accounts[i])
	}
	return c.faults
}

func (c *checker) unique(row string) {
	c.require(!c.seen[row], row, "name", row, "a name that no other row has")
	c.seen[row] = true
}

func (c *checker) class(cl *Class) {
	row := "class/" + string(cl.Name)
	c.unique(row)
	c.require(namePattern.MatchString(string(cl.Name)), row, "name", cl.Name, allowedName)
	c.require(cl.Tier >= 0 && cl.Tier <= MaxTier, row, "tier", cl.Tier, "0 to 9, 0 first")
	c.require(cl.Weight >= 1 && cl.Weight <= 1000, row, "weight", cl.Weight, "1 to 1000")
	c.require(len(cl.Pools) > 0, row, "pools", cl.Pools, "at least one model or service")
	for _, p := range cl.Pools {
		c.require(c.pools[p] != "", row, "pools", p, "a pool that an endpoint row has")
	}
	c.require(cl.MaxWait > 0, row, "maxWait", cl.MaxWait.Std(), "a positive duration")
	c.require(cl.Target.FirstToken >= 0, row, "target.firstToken", cl.Target.FirstToken.Std(), allowedDuration)
	c.require(cl.Target.BetweenTokens >= 0, row, "target.betweenTokens", cl.Target.BetweenTokens.Std(), allowedDuration)
	c.require(cl.Target.WholeAnswer >= 0, row, "target.wholeAnswer", cl.Target.WholeAnswer.Std(), allowedDuration)
	c.require(cl.Idempotent || !cl.Preemptible, row, "preemptible", cl.Preemptible, "false, since preemption resumes and the class is not idempotent")
	c.limits(row, &cl.Limits)
}

func (c *checker) limits(row string, l *Limits) {
	const allowed = "zero (unlimited) or positive"
	c.require(l.Rate >= 0, row, "limits.rate", l.Rate, allowed)
	c.require(l.Concurrency >= 0, row, "limits.concurrency", l.Concurrency, allowed)
	c.require(l.Queue >= 0, row, "limits.queue", l.Queue, allowed)
	c.require(l.Tokens >= 0, row, "limits.tokens", l.Tokens, allowed)
	c.require(l.AccountRate >= 0, row, "limits.accountRate", l.AccountRate, allowed)
	c.require(l.AccountConcurrency >= 0, row, "limits.accountConcurrency", l.AccountConcurrency, allowed)
}

func (c *checker) endpoint(e *Endpoint) {
	row := "endpoint/" + string(e.Name)
	c.unique(row)
	c.require(namePattern.MatchString(string(e.Name)), row, "name", e.Name, allowedName)
	c.require(e.Kind == KindEngine || e.Kind == KindService, row, "kind", e.Kind, "engine or service")
	c.require(namePattern.MatchString(string(e.Pool)), row, "pool", e.Pool, allowedName)
	c.require(isEndpointURL(e.URL), row, "url", e.URL, allowedURL)
	c.require(e.Region == "" || namePattern.MatchString(e.Region), row, "region", e.Region, allowedName)
	c.require(e.Zone == "" || namePattern.MatchString(e.Zone), row, "zone", e.Zone, allowedName)
	c.require(e.Concurrency >= 1, row, "concurrency", e.Concurrency, "at least 1")
	c.require(e.MemoryTokens >= 0, row, "memoryTokens", e.MemoryTokens, "at least 0")
	version := string(e.SoftwareVersion)
	c.require(version == "" || namePattern.MatchString(version), row, "softwareVersion", version, allowedName)
	for _, name := range e.Adapters {
		c.require(adapterPattern.MatchString(name), row, "adapters", name, allowedAdapter)
	}
	c.poolKind(row, e)
}

// poolKind requires that all endpoints of a pool are of one kind, because a
// request for one kind can't be served by the other.
func (c *checker) poolKind(row string, e *Endpoint) {
	first, known := c.pools[e.Pool]
	c.require(!known || first == e.Kind, row, "kind", e.Kind, string(first)+", as the other endpoints of pool "+string(e.Pool))
	if !known {
		c.pools[e.Pool] = e.Kind
	}
}

// isEndpointURL reports whether text is a valid base URL of an endpoint: an IP
// address and a port, with an optional path that does not end in a slash.
func isEndpointURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	addr, err := netip.ParseAddrPort(u.Host)
	plain := u.User == nil && u.RawQuery == "" && !u.ForceQuery && u.Fragment == "" && !strings.HasSuffix(text, "#")
	return err == nil && addr.Port() != 0 && plain && !strings.HasSuffix(u.Path, "/")
}

func (c *checker) account(a *Account) {
	row := "account/" + string(a.Name)
	c.unique(row)
	c.require(namePattern.MatchString(string(a.Name)), row, "name", a.Name, allowedName)
	c.require(len(a.Classes) > 0, row, "classes", a.Classes, "at least one class; the first is the default")
	for _, name := range a.Classes {
		c.require(c.classes[name], row, "classes", name, "the name of a class row")
	}
	for _, h := range a.KeyHashes {
		c.require(hashPattern.MatchString(h), row, "keyHashes", h, "a SHA-256 sum in lower-case hex")
		other, taken := c.hashes[h]
		c.require(!taken, row, "keyHashes", h, "a key of its own; "+string(other)+" has this one")
		c.hashes[h] = a.Name
	}
}
