package duty

import (
	"sync"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/usage"
)

// maxAssembled is the number of sources with incomplete reports that are kept.
const maxAssembled = 4096

// assembly finds out when all datagrams of a report have arrived. It is safe for
// concurrent use; the zero value is empty.
type assembly struct {
	mu      sync.Mutex
	reports map[usage.Source]*partialReport
}

// partialReport is the newest report of a source of which a datagram is missing.
type partialReport struct {
	until int64
	seen  map[uint32]bool
}

// complete records a datagram and reports whether it completes its report.
func (a *assembly) complete(m *peerv1.DutyReport) bool {
	if m.GetParts() <= 1 {
		return true
	}
	id := usage.Source{Host: m.GetHost(), Incarnation: m.GetIncarnation()}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reports == nil || len(a.reports) >= maxAssembled {
		a.reports = map[usage.Source]*partialReport{}
	}
	p := a.reports[id]
	if p == nil || p.until < m.GetUntilMs() {
		p = &partialReport{until: m.GetUntilMs(), seen: map[uint32]bool{}}
		a.reports[id] = p
	}
	if p.until > m.GetUntilMs() {
		return false
	}
	p.seen[m.GetPart()] = true
	if len(p.seen) < int(m.GetParts()) {
		return false
	}
	delete(a.reports, id)
	return true
}
