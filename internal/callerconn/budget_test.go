package callerconn

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// testBudget is a budget whose accounts have names.
type testBudget struct {
	*Budget
	t     *testing.T
	clock *clockwork.FakeClock
	named map[string]*account
	// ended lists the names of the accounts that have given way, in their order.
	ended []string
}

func newTestBudget(t *testing.T, limit Bytes, maxConns int) *testBudget {
	clock := clockwork.NewFakeClock()
	return &testBudget{Budget: NewBudget(clock, limit, maxConns), t: t, clock: clock, named: map[string]*account{}}
}

func (b *testBudget) connect(name string) {
	b.t.Helper()
	a := b.open(func(bool) { b.ended = append(b.ended, name) })
	if a == nil {
		b.t.Fatalf("there is no place for %s", name)
	}
	b.named[name] = a
}

// receive receives a part of a body that costs as much as it has bytes.
func (b *testBudget) receive(name string, n Bytes, whole bool) error {
	return b.named[name].receive(progress{bytes: int64(n), cost: n, whole: whole})
}

func (b *testBudget) mustReceive(name string, n Bytes, whole bool) {
	b.t.Helper()
	if err := b.receive(name, n, whole); err != nil {
		b.t.Fatalf("%s: %v", name, err)
	}
}

func (b *testBudget) check(want ...string) {
	b.t.Helper()
	if len(b.ended) != len(want) {
		b.t.Fatalf("%v gave way, want %v", b.ended, want)
	}
	for i := range want {
		if b.ended[i] != want[i] {
			b.t.Fatalf("%v gave way, want %v", b.ended, want)
		}
	}
}

// closeEnded closes the connections that have given way, as their servers do.
func (b *testBudget) closeEnded() {
	for _, name := range b.ended {
		b.named[name].close()
	}
}

// Guards against new connections that find no place while others are idle or stand still,
// and against ending requests that an endpoint may have.
func TestWhoGivesWayForAConnection(t *testing.T) {
	b := newTestBudget(t, 1<<20, 4)
	b.connect("served")
	b.mustReceive("served", 100, true)
	b.connect("slow")
	b.mustReceive("slow", 100, false)
	b.clock.Advance(time.Second)
	b.connect("idle")
	b.clock.Advance(time.Second)
	b.connect("newer idle")
	b.clock.Advance(time.Second)
	b.connect("1")
	b.check("idle")
	b.clock.Advance(time.Second)
	b.connect("2")
	b.check("idle", "newer idle")
	b.mustReceive("1", 100, true)
	b.mustReceive("2", 100, true)
	b.connect("3")
	b.check("idle", "newer idle", "slow")
	b.mustReceive("3", 100, true)
	go func() {
		_ = b.clock.BlockUntilContext(t.Context(), 1)
		b.clock.Advance(settleTime)
	}()
	for range 2 { // Only the first one waits.
		if b.open(func(bool) {}) != nil {
			t.Error("there is a place although four requests are served")
		}
	}
	b.named["1"].finish(false, false)
	b.connect("4")
	b.check("idle", "newer idle", "slow", "1")
}

// Guards against large requests that end because of others that have stopped, against
// ending the fast ones instead, and against refusing small ones.
func TestWhoGivesWayForBytes(t *testing.T) {
	const limit = 8 << 20
	b := newTestBudget(t, limit, 100)
	for _, name := range []string{"stalled", "more stalled", "fast", "served", "new"} {
		b.connect(name)
	}
	b.mustReceive("stalled", 1<<20, false)
	b.mustReceive("more stalled", 2<<20, false)
	b.mustReceive("served", 1<<20, true)
	for range 5 {
		b.clock.Advance(settleTime)
		b.mustReceive("fast", 512<<10, false)
	}
	// 6.5 MiB are held, and 7 MiB may be held for large requests.
	go func() {
		for b.Figures().SlowEnded == 0 {
			time.Sleep(time.Millisecond)
		}
		b.closeEnded()
	}()
	b.mustReceive("new", 1<<20, false)
	b.check("more stalled")
	b.connect("small")
	b.mustReceive("small", 10<<10, true)
	b.check("more stalled")
}

// Guards against a full budget that refuses ordinary requests, and against an end of those
// that are served.
func TestNoRoom(t *testing.T) {
	const limit = 8 << 20
	b := newTestBudget(t, limit, 100)
	for _, name := range []string{"1", "2", "3"} {
		b.connect(name)
		b.mustReceive(name, 2<<20, true)
	}
	b.connect("large")
	if err := b.receive("large", 2<<20, true); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a large request: %v, want %v", err, ErrNoRoom)
	}
	b.connect("small")
	b.mustReceive("small", 10<<10, true)
	b.check()
}

// Guards against refusing a request that is within the limits for its size alone.
func TestOneLargeRequestIsServed(t *testing.T) {
	b := newTestBudget(t, 1<<20, 100)
	b.connect("large")
	b.mustReceive("large", 700<<10, false)
	b.mustReceive("large", 600<<10, false)
	if err := b.receive("large", 400<<10, false); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a request without end: %v, want %v", err, ErrNoRoom)
	}
	b.connect("other")
	b.mustReceive("other", 10<<10, true)
	if err := b.receive("other", 100<<10, true); !errors.Is(err, ErrNoRoom) {
		t.Errorf("another large request: %v, want %v", err, ErrNoRoom)
	}
	b.named["large"].finish(false, false)
	b.mustReceive("other", 1<<20, true)
}

// Guards against connections that stay open for longer than the configuration allows, or not
// as long.
func TestEndLate(t *testing.T) {
	times := Times{Head: 3 * time.Second, Request: 8 * time.Second, Idle: 15 * time.Second, Write: 30 * time.Second}
	b := newTestBudget(t, 1<<20, 100)
	for _, name := range []string{"idle", "head", "body", "served", "unread"} {
		b.connect(name)
	}
	if err := b.named["head"].receive(progress{bytes: 1, cost: 1, inHead: true}); err != nil {
		t.Fatal(err)
	}
	b.mustReceive("body", 1, false)
	b.mustReceive("served", 1, true)
	b.mustReceive("unread", 1, true)
	b.named["unread"].writing.Store(b.clock.Now().UnixNano())
	var before time.Duration
	for _, tt := range []struct {
		at   time.Duration
		want []string
	}{
		{times.Head, nil},
		{times.Head + 1, []string{"head"}},
		{times.Request, []string{"head"}},
		{times.Request + 1, []string{"head", "body"}},
		{times.Idle, []string{"head", "body"}},
		{times.Idle + 1, []string{"head", "body", "idle"}},
		{times.Write, []string{"head", "body", "idle"}},
		{times.Write + 1, []string{"head", "body", "idle", "unread"}},
		{time.Hour, []string{"head", "body", "idle", "unread"}},
	} {
		b.clock.Advance(tt.at - before)
		before = tt.at
		b.EndLate(times)
		b.check(tt.want...)
	}
}

// Guards against limits that ordinary numbers of callers meet, and against those that the
// host can't bear.
func TestDivide(t *testing.T) {
	for _, tt := range []struct {
		total       Bytes
		descriptors int
		limit       Bytes
		maxConns    int
	}{
		{40 << 20, 0, 20 << 20, minConns}, {40 << 20, 256, 20 << 20, minConns}, {40 << 20, 1024, 20 << 20, 384},
		{40 << 20, 2870, 20 << 20, 1024}, {1 << 30, 2870, 512 << 20, 1307}, {1 << 20, 2870, 512 << 10, 25},
	} {
		if limit, maxConns := Divide(tt.total, tt.descriptors); limit != tt.limit || maxConns != tt.maxConns {
			t.Errorf("%+v: %d bytes, %d connections", tt, limit, maxConns)
		}
	}
}

// Guards against memory that connections need and that is lent all the same.
func TestUnused(t *testing.T) {
	const limit, maxConns = 1 << 20, 4
	b := NewBudget(clockwork.NewFakeClock(), limit, maxConns)
	before := b.Unused()
	a := b.open(func(bool) {})
	if got := b.Unused(); before != limit+maxConns*connCost || got != before-connCost {
		t.Errorf("%d bytes are unused beside a connection, %d before", got, before)
	}
	a.close()
	if got := b.Unused(); got != before {
		t.Errorf("%d bytes are unused afterwards, want %d", got, before)
	}
}
