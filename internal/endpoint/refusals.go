package endpoint

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// refusalMemory is how long after a refusal that names no request further ones of the
	// same pool are expected.
	refusalMemory = 10 * time.Second
	// namingMemory is how long after a refusal that names its request the endpoints of the
	// same pool are known to name it.
	namingMemory = 10 * time.Minute
)

// Refusals records when endpoints have last refused a request, by pool, without naming it
// and with its name. One that names no request proves nothing on a connection that has
// carried another request, nor if the endpoints of the pool name requests. It is safe for
// concurrent use.
type Refusals struct {
	mu             sync.Mutex
	unnamed, named map[table.Pool]time.Time
}

// Record records a refusal.
func (r *Refusals) Record(pool table.Pool, named bool, clock clockwork.Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unnamed == nil {
		r.unnamed, r.named = map[table.Pool]time.Time{}, map[table.Pool]time.Time{}
	}
	if named {
		r.named[pool] = clock.Now()
		return
	}
	r.unnamed[pool] = clock.Now()
}

// AreExpected reports whether further refusals that name no request, and may be honest, are
// to be expected. A request that must not be repeated is then sent over a connection that
// has carried none.
func (r *Refusals) AreExpected(pool table.Pool, clock clockwork.Clock) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return isWithin(r.unnamed, pool, refusalMemory, clock) && !isWithin(r.named, pool, namingMemory, clock)
}

// AreNamed reports whether the endpoints of the pool name the requests that they refuse.
func (r *Refusals) AreNamed(pool table.Pool, clock clockwork.Clock) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return isWithin(r.named, pool, namingMemory, clock)
}

// isWithin reports whether the time of a pool is less than d ago.
func isWithin(times map[table.Pool]time.Time, pool table.Pool, d time.Duration, clock clockwork.Clock) bool {
	at, ok := times[pool]
	return ok && clock.Since(at) < d
}
