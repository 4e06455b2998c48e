// Package limit enforces rate and concurrency limits across all daemons. Each
// limit is owned by one daemon at a time, which grants short-lived slices of
// it; every daemon admits requests only within the slices that it holds. See
// docs/design/limits.md for the design.
package limit

import (
	"strings"

	"github.com/beechhead/beechhead/pkg/table"
)

// Kind is the unit that a limit counts.
type Kind string

// The kinds of limit.
const (
	// Rate counts requests per second.
	Rate Kind = "rate"
	// Concurrency counts requests in progress.
	Concurrency Kind = "concurrency"
)

// Key identifies one limit.
type Key struct {
	Kind  Kind
	Class table.ClassName
	// Account is empty for the limit of the whole class.
	Account table.AccountName
}

// String returns the form used in messages between daemons, such as
// "rate/counter/studio".
func (k Key) String() string {
	return string(k.Kind) + "/" + string(k.Class) + "/" + string(k.Account)
}

// ParseKey parses the form returned by Key.String. Names in a table contain no
// slash.
func ParseKey(text string) (k Key, ok bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Key{}, false
	}
	k = Key{Kind: Kind(parts[0]), Class: table.ClassName(parts[1]), Account: table.AccountName(parts[2])}
	return k, k.Kind == Rate || k.Kind == Concurrency
}

// Value returns the limit set in a table; zero means unlimited.
func (k Key) Value(t *table.Table) float64 {
	cl, ok := t.Class(k.Class)
	if !ok {
		return 0
	}
	return k.of(&cl.Limits)
}

func (k Key) of(l *table.Limits) float64 {
	switch {
	case k.Kind == Rate && k.Account == "":
		return l.Rate
	case k.Kind == Rate:
		return l.AccountRate
	case k.Account == "":
		return float64(l.Concurrency)
	}
	return float64(l.AccountConcurrency)
}

// keysOf returns the limits that apply to a request. Concurrency limits come
// first, because their permits can be returned if a later limit refuses the
// request, while admissions by rate can't be refunded.
func keysOf(cl *table.Class, account table.AccountName) []Key {
	all := [...]Key{
		{Kind: Concurrency, Class: cl.Name, Account: account},
		{Kind: Concurrency, Class: cl.Name},
		{Kind: Rate, Class: cl.Name, Account: account},
		{Kind: Rate, Class: cl.Name},
	}
	var keys []Key
	for _, k := range all {
		if k.of(&cl.Limits) > 0 {
			keys = append(keys, k)
		}
	}
	return keys
}
