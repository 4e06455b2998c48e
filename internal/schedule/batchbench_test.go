package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// BenchmarkBatching measures the reserve, decision, first token and release of
// one request on batching engines, with the given number of requests waiting.
func BenchmarkBatching(b *testing.B) {
	for _, engines := range []int{32, 256, 910} {
		for _, waiting := range []int{0, 10_000} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				benchmarkBatching(b, engines, waiting)
			})
		}
	}
}

func benchmarkBatching(b *testing.B, engines, waiting int) {
	clock := clockwork.NewFakeClock()
	c := NewCell(clock)
	cfg := Config{Classes: []ClassPolicy{
		{Name: "quick", Tier: 0, Weight: 1, FirstTokenTarget: 250 * time.Millisecond, GapTarget: 120 * time.Millisecond},
		{Name: "report", Tier: 1, Weight: 1, FirstTokenTarget: 600 * time.Millisecond, GapTarget: 200 * time.Millisecond},
	}}
	for i := range engines {
		cfg.Endpoints = append(cfg.Endpoints, EndpointPolicy{Name: Endpoint(fmt.Sprintf("e%03d", i)), Concurrency: 32, CacheTokens: 300_000})
	}
	c.Configure(cfg)
	id := uint64(0)
	ask := func(class Class, own int) RequestID {
		id++
		r := RequestID{Host: "h", Sequence: id}
		c.Reserve(Request{
			ID: r, Class: class, PromptTokens: 6000 + own, EstimatedTokens: 100,
			Parts: []Part{{ID: 1, Tokens: 2500}, {ID: 10 + id%150, Tokens: 3500}, {ID: 1<<40 | id, Tokens: own}},
		})
		return r
	}
	for range waiting {
		ask("report", 8000)
	}
	c.Step()
	b.ResetTimer()
	for range b.N {
		r := ask("quick", 500)
		c.Step()
		clock.Advance(time.Millisecond)
		c.Progress(r, Progress{FirstToken: 60 * time.Millisecond, Tokens: 1, Elapsed: 60 * time.Millisecond})
		c.Release(r, Report{Done: true, Tokens: 70, FirstToken: 60 * time.Millisecond, Duration: time.Second, LongestGap: 30 * time.Millisecond})
	}
}
