package soak

import (
	"time"

	"github.com/beechhead/beechhead/platform"
	form "github.com/beechhead/beechhead/platform/standin"
)

// rewritePause is how long after the store's return the operator and the
// endpoints write again what they had written.
const rewritePause = 300 * time.Millisecond

// copyStore makes the store go away and come back from a copy. No endpoint is on
// its way out meanwhile.
func (r *run) copyStore(f Fault) {
	r.drainLock.Lock()
	defer r.drainLock.Unlock()
	r.copyLock.Lock()
	defer r.copyLock.Unlock()
	if r.o.Plant == plantHideEra {
		r.writeMuch()
	}
	r.storeLock.Lock()
	r.must(r.site.post(r.site.storeURL(), form.StoreFaults{Down: true}))
	time.Sleep(copyAway)
	r.must(r.site.edit(form.Edit{RestoreAgeMs: int(f.For.Milliseconds())}))
	r.must(r.site.post(r.site.storeURL(), form.StoreFaults{HideEra: r.o.Plant == plantHideEra}))
	r.storeLock.Unlock()
	time.Sleep(rewritePause)
	r.rewrite()
}

// writeMuch makes the endpoints write more than they write again, so that the
// store stays behind what daemons have seen of it.
func (r *run) writeMuch() {
	const times = 4
	for range times {
		r.must(r.site.register())
	}
	time.Sleep(time.Second)
}

// rewrite writes the operator's document and the endpoints' entries again.
func (r *run) rewrite() {
	s := r.site
	s.mu.Lock()
	r.must(s.putConfig())
	ended := s.ended
	s.mu.Unlock()
	for _, id := range ended {
		r.must(s.edit(form.Edit{Table: platform.TableEngines, Key: id}))
	}
	r.must(s.register())
}
