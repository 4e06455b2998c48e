package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

// streamTokens is the number of tokens in each response of the benchmark's
// engine.
const streamTokens = 500

// tokenEngine responds as fast as it can, with one write and flush per token,
// as engines do.
func tokenEngine(tokens int) http.Handler {
	var event []byte
	event = fmt.Appendf(event, "data: %s\n\n", `{"id":"chatcmpl-7QZ","model":"assistant","created":1764720000,"choices":[{"index":0,"delta":{"content":"w17-3fa "},"finish_reason":null}]}`)
	last := []byte("data: {\"id\":\"chatcmpl-7QZ\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for range tokens {
			_, _ = w.Write(event)
			_ = rc.Flush()
		}
		_, _ = w.Write(last)
	})
}

// startBench starts a daemon with one engine and returns the URLs of both.
func startBench(b *testing.B, tokens int) (daemon, engine string) {
	b.Helper()
	server := httptest.NewServer(tokenEngine(tokens))
	b.Cleanup(server.Close)
	s := startSite(b, standin.SiteConfig{Daemons: 1, Engines: 1, Zones: 1, Table: func(t *table.Table) {
		t.Endpoints[0].URL = server.URL
		t.Endpoints[0].Concurrency = 4096
	}})
	return "http://" + s.Settings[0].CallerAddress, server.URL
}

var benchBody = []byte(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Break down the script."}]}`)

// benchClient keeps enough idle connections for all parallel callers.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: time.Minute}

func streamOnce(b *testing.B, url string) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(benchBody))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+standin.StudioKey)
	resp, err := benchClient.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(data), "[DONE]\n\n") {
		b.Errorf("status %d, %d bytes, error %v", resp.StatusCode, len(data), err)
	}
}

// BenchmarkStreamedTokens measures the tokens per second through one daemon,
// with the engine and the callers in the same process.
func BenchmarkStreamedTokens(b *testing.B) {
	daemon, engine := startBench(b, streamTokens)
	for _, c := range []struct{ name, url string }{{"direct", engine}, {"daemon", daemon}} {
		b.Run(c.name, func(b *testing.B) {
			b.SetParallelism(8)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					streamOnce(b, c.url)
				}
			})
			b.ReportMetric(float64(b.N*streamTokens)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkShortAnswer measures sequential responses of one token. The
// difference between its two results is the time that the daemon adds.
func BenchmarkShortAnswer(b *testing.B) {
	daemon, engine := startBench(b, 1)
	for _, c := range []struct{ name, url string }{{"direct", engine}, {"daemon", daemon}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				streamOnce(b, c.url)
			}
		})
	}
}
