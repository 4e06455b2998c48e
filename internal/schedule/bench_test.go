package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkGrant measures one cycle of a busy cell: a release, the grant of the
// freed slot, and a reserve that refills the queue.
func BenchmarkGrant(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchmarkGrant(b, waiting) })
	}
}

func benchmarkGrant(b *testing.B, waiting int) {
	clock := newFakeClock()
	cell := NewCell(clock)
	cell.Configure(Config{Classes: modelClasses, Endpoints: endpoints(32, 8)})
	accounts := make([]Account, 40)
	for i := range accounts {
		accounts[i] = Account(fmt.Sprint("account-", i))
	}
	var running []RequestID
	n, granted := 0, 0
	reserve := func() {
		n++
		cell.Reserve(Request{
			ID: id(n), Class: modelClasses[n%len(modelClasses)].Name, Account: accounts[n%len(accounts)],
			PromptTokens: 100, Prefix: uint64(n % 500),
		})
	}
	turn := func() {
		clock.advance(time.Microsecond)
		if len(running) > 0 {
			i := n % len(running)
			cell.Release(running[i], Report{Tokens: 100, FirstToken: 50 * time.Millisecond, Duration: time.Second, Done: true})
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		reserve()
		for _, d := range cell.Step() {
			if !d.Preempt {
				granted++
				running = append(running, d.ID)
				continue
			}
			cell.Release(d.ID, Report{})
			running = slices.DeleteFunc(running, func(r RequestID) bool { return r == d.ID })
		}
	}
	for range waiting {
		reserve()
	}
	for range 20_000 {
		turn()
	}
	b.ReportAllocs()
	granted = 0
	for b.Loop() {
		turn()
	}
	b.ReportMetric(float64(granted)/float64(b.N), "grants/op")
}
