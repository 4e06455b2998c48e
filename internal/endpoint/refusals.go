package endpoint

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/pkg/table"
)

// refusalMemory is how long after a refusal further ones of the same pool are expected.
const refusalMemory = 10 * time.Second

// Refusals records when endpoints have last refused a request without naming it, by pool.
// On a connection that has carried another request, such a refusal proves nothing. It is
// safe for concurrent use.
type Refusals struct {
	mu   sync.Mutex
	last map[table.Pool]time.Time
}

// Record records a refusal.
func (r *Refusals) Record(pool table.Pool, clock clockwork.Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[table.Pool]time.Time{}
	}
	r.last[pool] = clock.Now()
}

// AreExpected reports whether further refusals are to be expected. A request that must not
// be repeated is then sent over a connection that has carried none.
func (r *Refusals) AreExpected(pool table.Pool, clock clockwork.Clock) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.last[pool]
	return ok && clock.Since(at) < refusalMemory
}
