package forward

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// noticeLifetime is how long a notice is kept after the endpoint is no longer
// known: its registration may come back.
const noticeLifetime = 10 * time.Minute

// Notices has what endpoints have said in responses to this daemon and what binds
// it, whatever coordinators know. It is safe for concurrent use.
type Notices struct {
	Clock clockwork.Clock
	// OnLeaving is called when an endpoint says for the first time that it is
	// leaving.
	OnLeaving func(endpoint table.EndpointName)

	mu  sync.Mutex
	all map[table.EndpointName]notice
}

// notice is what one endpoint has said.
type notice struct {
	at time.Time
	// leaving ends only with the endpoint, whose next start has another name.
	leaving bool
}

// Record takes in what a response of an endpoint announces.
func (n *Notices) Record(name table.EndpointName, a placement.Announcement) {
	if !a.Leaving {
		return
	}
	n.mu.Lock()
	was := n.all[name].leaving
	if n.all == nil {
		n.all = map[table.EndpointName]notice{}
	}
	n.all[name] = notice{at: n.Clock.Now(), leaving: true}
	n.mu.Unlock()
	if !was {
		n.OnLeaving(name)
	}
}

// MaySend reports whether a request may be sent to an endpoint.
func (n *Notices) MaySend(name table.EndpointName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.all[name].leaving
}

// Prune drops old notices of endpoints that are no longer known.
func (n *Notices) Prune(isKnown func(table.EndpointName) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, one := range n.all {
		if n.Clock.Since(one.at) >= noticeLifetime && !isKnown(name) {
			delete(n.all, name)
		}
	}
}
