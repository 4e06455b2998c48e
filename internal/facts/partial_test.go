package facts

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/tick"
)

// pagedTable is a table in which every row is written again each rewriteInterval. A
// response has at most pageRows rows, and the version of the last one.
type pagedTable struct {
	began time.Time
	rows  int
	calls int
}

const (
	pageRows        = 500
	rewriteInterval = 3 * time.Second
	pagedCallDelay  = 5 * time.Millisecond
)

// version returns the store's version: one for each row written.
func (p *pagedTable) version() uint64 {
	return uint64(time.Since(p.began)*time.Duration(p.rows)/rewriteInterval) + 1
}

func (p *pagedTable) changes(ctx context.Context, since uint64, _ time.Duration) (platform.Rows, error) {
	p.calls++
	select {
	case <-ctx.Done():
		return platform.Rows{}, ctx.Err()
	case <-bubbleclock.After(pagedCallDelay):
	}
	rows := platform.Rows{NowMs: int64(time.Since(p.began)/time.Millisecond) + 1}
	rows.Version = min(p.version(), since+pageRows)
	rows.More = rows.Version == since+pageRows
	for v := since + 1; v <= rows.Version; v++ {
		rows.Rows = append(rows.Rows, platform.FeedRow{Key: fmt.Sprint(v % uint64(p.rows)), Version: v, Value: []byte("x")})
	}
	return rows, nil
}

// Guards against a reader that falls behind: ten thousand endpoints rewrite their
// rows faster than one response after each pause can tell.
func TestReaderKeepsUpWithManyRewrittenRows(t *testing.T) {
	for _, rows := range []int{20, 10000, 20000} {
		synctest.Test(t, func(t *testing.T) {
			table := &pagedTable{began: time.Now(), rows: rows}
			s := newFixture()
			r := newEndpointReader(s)
			r.Clock, r.Checks = bubbleclock.New(), tick.NewGrid(bubbleclock.New())
			r.ShouldRead, r.OnRead = func() bool { return true }, func() {}
			r.Endpoints = Feed{Changes: table.changes, Snapshot: func(ctx context.Context) (platform.Rows, error) { return table.changes(ctx, 0, 0) }}
			ctx, cancel := context.WithCancel(t.Context())
			go r.follow(ctx, &feedState{name: "endpoints", feed: r.Endpoints, pollTimeout: endpointsPollTimeout, interval: endpointsPollInterval, apply: r.applyEndpoints})
			const length = 10 * time.Second
			time.Sleep(length)
			behind := table.version() - s.holder.Summary().Position.Version()
			// One pause, and the responses after it.
			if most := uint64(endpointsPollInterval+10*pagedCallDelay) * uint64(rows) / uint64(rewriteInterval); behind > most+1 {
				t.Errorf("%d rows: the reader is %d changes behind, want at most %d", rows, behind, most)
			}
			written := int(table.version())
			if most := int(length/endpointsPollInterval) + 2*written/pageRows + 2; table.calls > most {
				t.Errorf("%d rows: %d calls, want at most %d", rows, table.calls, most)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against facts that count as current as of the time of a response that does
// not have all changes.
func TestPartialResponseConfirmsNothing(t *testing.T) {
	s := newFixture()
	r := newEndpointReader(s)
	n := s.response(false, 5, platform.FeedRow{Key: "a", Version: 5, Value: []byte("x")})
	n.partial = true
	r.applyEndpoints(n)
	if got := s.holder.Summary(); got.EndpointsAsOf != 0 || got.Position.Version() != 5 {
		t.Errorf("after a partial response: position %d as of %d", got.Position.Version(), got.EndpointsAsOf)
	}
}
