package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against daemons that give up sound engines which are silent for some time,
// or leave them alone afterwards.
func TestSoundEnginesMayBeSilent(t *testing.T) {
	t.Run("requests before and during a second", func(t *testing.T) { testSilence(t, time.Second, true) })
	// Requests that come during a longer silence may be refused: their callers leave
	// before a slot is free.
	t.Run("requests before three seconds", func(t *testing.T) { testSilence(t, 3*time.Second, false) })
}

func testSilence(t *testing.T, silence time.Duration, during bool) {
	s := newTestSite(t, 2)
	for _, e := range s.engines {
		e.Events, e.Delay = 20, 10*time.Millisecond
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	send := func(send func() response) {
		wg.Go(func() {
			a := send()
			if a.err != nil || a.status != http.StatusOK {
				t.Errorf("status %d, %v", a.status, a.err)
			}
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, a.id)
		})
	}
	sendAll := func() {
		for i, d := range s.daemons {
			for n := range 3 {
				send(func() response { return s.chatAlone(d, 100*i+n) })
				send(func() response { return s.chat(d, "draft") })
				send(func() response { return s.call(d, http.MethodPost, "/pay/x", nil, "") })
			}
		}
	}
	sendAll()
	time.Sleep(50 * time.Millisecond)
	for _, e := range s.engines {
		e.Silence(silence)
	}
	if during {
		sendAll()
	}
	wg.Wait()
	for _, id := range ids {
		if n := len(s.runs(id)); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	before := map[string]int{}
	for id, e := range s.engines {
		before[id] = len(e.Runs())
	}
	s.await("all engines are used again", func() bool {
		sendAll()
		wg.Wait()
		for id, e := range s.engines {
			if len(e.Runs()) == before[id] {
				return false
			}
		}
		return true
	})
}
