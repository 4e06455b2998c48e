package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against three failures after the store is restored from a copy:
// daemons revert to an old document, they miss changes because versions are
// reused, or the list of hosts stays lost.
func TestStoreRestoredFromCopy(t *testing.T) {
	s := newTestSite(t, 3)
	began := time.Now()
	s.config.Version++
	s.config.AddOpenRoute("late")
	s.putConfig()
	served := func(d *testDaemon) bool {
		return s.call(d, http.MethodGet, "/late/x", nil, "").status == http.StatusOK
	}
	for _, d := range s.daemons {
		s.await("the edit is applied", func() bool { return served(d) })
	}
	s.await("all hosts are registered", func() bool { return s.store.Count(platform.TableHosts) == len(s.daemons) })
	s.store.Restore(time.Since(began))
	for _, d := range s.daemons {
		s.await("the restore is detected", func() bool { return d.g.holder.Summary().Position.Era() == 1 })
		if !served(d) {
			t.Errorf("%s has reverted to the old document", d.ip)
		}
	}
	gone := s.engines["app-1"]
	s.store.Put(platform.TableEngines, "app-1", standin.NewEntry(gone.pool, gone.address, true))
	for _, d := range s.daemons {
		s.await("a change in the new era", func() bool {
			e, ok := d.g.holder.Endpoint("app-1")
			return ok && e.Draining
		})
	}
	s.await("all hosts are registered again", func() bool { return s.store.Count(platform.TableHosts) == len(s.daemons) })
}
