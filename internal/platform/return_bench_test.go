package platform_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/platform"
)

// BenchmarkReturnOfStore measures what a store meets during an outage of a
// second and in the first 100 ms of its return, from 50 daemons with 20 callers
// each that ask until they get an answer: through the client with its breaker,
// and through one that retries with the same jitter but without a breaker.
func BenchmarkReturnOfStore(b *testing.B) {
	b.Run("breaker", func(b *testing.B) { measureReturn(b, askThroughClient) })
	b.Run("none", func(b *testing.B) { measureReturn(b, askDirectly) })
}

const (
	outageDaemons = 50
	outageCallers = 20
	outage        = time.Second
	outageWindow  = 100 * time.Millisecond
	outagePause   = 50 * time.Millisecond
)

// ask asks the store once and reports whether it answered.
type ask func(ctx context.Context) bool

func askThroughClient(url string, transport *http.Transport) ask {
	client := platform.NewClient(url, transport, time.Second)
	return func(ctx context.Context) bool {
		_, err := client.Transact(ctx, platform.Write{})
		return err == nil
	}
}

func askDirectly(url string, transport *http.Transport) ask {
	client := &http.Client{Transport: transport}
	return func(ctx context.Context) bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
		if err != nil {
			return false
		}
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}

func measureReturn(b *testing.B, newAsk func(string, *http.Transport) ask) {
	var down, during, after atomic.Int64
	var window atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() == 1 {
			during.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if window.Load() {
			after.Add(1)
		}
		_, _ = w.Write([]byte(`{"committed":true,"rows":[{}]}`))
	}))
	defer server.Close()
	for b.Loop() {
		down.Store(1)
		var callers sync.WaitGroup
		for range outageDaemons {
			one := newAsk(server.URL, &http.Transport{MaxIdleConnsPerHost: outageCallers})
			for range outageCallers {
				callers.Go(func() { askUntilAnswered(b.Context(), one) })
			}
		}
		time.Sleep(outage)
		window.Store(true)
		down.Store(0)
		time.Sleep(outageWindow)
		window.Store(false)
		callers.Wait()
	}
	b.ReportMetric(float64(during.Load())/float64(b.N), "calls-in-outage")
	b.ReportMetric(float64(after.Load())/float64(b.N), "calls-in-first-100ms")
}

func askUntilAnswered(ctx context.Context, one ask) {
	for !one(ctx) {
		time.Sleep(time.Duration(rand.Int64N(int64(outagePause))))
	}
}
