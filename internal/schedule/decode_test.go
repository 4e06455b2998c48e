package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

var (
	latencySensitiveClass = ClassPolicy{Name: "latencySensitive", Tier: 0, Weight: 1, MaxWait: 6 * time.Second, FirstTokenTarget: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond}
	heavyClass            = ClassPolicy{Name: "heavy", Tier: 2, Weight: 1, MaxWait: 7 * time.Second, FirstTokenTarget: 2 * time.Second, GapTarget: 800 * time.Millisecond}
	briefClass            = ClassPolicy{Name: "brief", Tier: 1, Weight: 1, MaxWait: 2 * time.Second, FirstTokenTarget: 500 * time.Millisecond, GapTarget: 300 * time.Millisecond}
)

// decodeCell is a cell of batching engines with a fake clock.
type decodeCell struct {
	*Cell
	clock *clockwork.FakeClock
	next  uint64
}

func newDecodeCell(engines int, classes ...ClassPolicy) *decodeCell {
	clock := clockwork.NewFakeClock()
	c := &decodeCell{Cell: NewCell(clock), clock: clock}
	cfg := Config{Classes: classes}
	for i := range engines {
		cfg.Endpoints = append(cfg.Endpoints, EndpointPolicy{Name: Endpoint(fmt.Sprintf("e%02d", i)), Concurrency: 64, CacheTokens: 600_000})
	}
	c.Configure(cfg)
	return c
}

// ask reserves a slot and returns the granted engine, or "" if the request waits.
func (c *decodeCell) ask(class Class, prompt, response int) (RequestID, Endpoint) {
	c.next++
	id := RequestID{Host: "h", Sequence: c.next}
	c.Reserve(Request{ID: id, Class: class, PromptTokens: prompt, EstimatedTokens: response})
	for _, d := range c.Step() {
		if d.ID == id {
			return id, d.Endpoint
		}
	}
	return id, ""
}

// begun advances the clock and reports the first token of a request.
func (c *decodeCell) begun(id RequestID) {
	c.clock.Advance(110 * time.Millisecond)
	c.Progress(id, Progress{FirstToken: 100 * time.Millisecond, Tokens: 1, Elapsed: 100 * time.Millisecond})
	c.Step()
}

func (c *decodeCell) decodeNames() map[Endpoint]bool {
	names := map[Endpoint]bool{}
	for _, e := range c.sortedEndpoints {
		if e.Decode {
			names[e.policy.Name] = true
		}
	}
	return names
}

// Guards against long gaps in latency-sensitive streams and, during a burst of
// long requests, against a lack of slots for them. Both occur if every engine
// runs some of each kind. The engines that run latency-sensitive streams must not
// be given long requests of a lower tier, even if they have free slots and are
// less loaded than the others.
func TestLongRequestsStayOffDecodeEngines(t *testing.T) {
	c := newDecodeCell(10, latencySensitiveClass, heavyClass, briefClass)
	for range 60 {
		id, e := c.ask("latencySensitive", 600, 300)
		if e == "" {
			t.Fatal("a latency-sensitive stream waits")
		}
		c.begun(id)
	}
	decoding := c.decodeNames()
	if len(decoding) != 3 {
		t.Fatalf("%d engines are reserved for decoding for 60 streams, want 3", len(decoding))
	}
	for range 100 {
		id, e := c.ask("heavy", 4000, 400)
		if decoding[e] {
			t.Fatalf("a long request was granted the decode engine %s", e)
		}
		c.begun(id)
		decoding = c.decodeNames()
	}
}

// Without latency-sensitive streams no engine may be reserved for decoding;
// otherwise a site without such streams would lose part of its capacity.
func TestNoDecodeEnginesWithoutLatencySensitiveStreams(t *testing.T) {
	c := newDecodeCell(4, latencySensitiveClass, heavyClass)
	id, _ := c.ask("latencySensitive", 600, 300)
	c.begun(id)
	if len(c.decodeNames()) == 0 {
		t.Error("no engine is reserved for decoding for a stream")
	}
	c.Release(id, Report{Done: true, Tokens: 40})
	for range 400 {
		c.clock.Advance(100 * time.Millisecond)
		c.Step()
	}
	if n := len(c.decodeNames()); n != 0 {
		t.Errorf("%d engines are reserved for decoding without streams", n)
	}
}

// One of two engines is reserved for decoding. When the other one is removed,
// long requests must not wait forever.
func TestLastEngineTakesEverything(t *testing.T) {
	c := newDecodeCell(2, latencySensitiveClass, heavyClass)
	id, _ := c.ask("latencySensitive", 600, 300)
	c.begun(id)
	cfg := Config{Classes: []ClassPolicy{latencySensitiveClass, heavyClass}}
	for name := range c.decodeNames() {
		cfg.Endpoints = append(cfg.Endpoints, EndpointPolicy{Name: name, Concurrency: 64, CacheTokens: 600_000})
	}
	c.Configure(cfg)
	c.clock.Advance(time.Second)
	c.Step()
	if _, e := c.ask("heavy", 4000, 400); e == "" {
		t.Error("a long request waits although an engine is free")
	}
}

// Engines that run many long responses generate a token in 20 ms, those that run
// only latency-sensitive streams in 5 ms. The busy ones were ejected as
// stragglers, so that requests waited while a quarter of the engines were idle.
func TestBusyEnginesAreNotEjected(t *testing.T) {
	c := newDecodeCell(8, latencySensitiveClass, heavyClass)
	fast := map[RequestID]time.Duration{}
	for range 90 {
		id, _ := c.ask("latencySensitive", 600, 300)
		c.begun(id)
		fast[id] = 32 * 35 * time.Millisecond
	}
	for range 160 {
		id, e := c.ask("heavy", 2000, 400)
		if e == "" {
			t.Fatal("a long request waits")
		}
		c.begun(id)
		fast[id] = 32 * 140 * time.Millisecond
	}
	for range 4 {
		for id, took := range fast {
			c.Progress(id, Progress{FirstToken: 100 * time.Millisecond, Tokens: 33, Elapsed: 100*time.Millisecond + took})
		}
		c.clock.Advance(stragglerCheckInterval)
		c.Step()
	}
	if n := c.countEjected(EjectedSlow); n > 0 {
		t.Errorf("%d busy engines were ejected", n)
	}
}

// The rate of latency-sensitive streams rises suddenly. Since each stream runs
// for seconds, the number of running streams shows only after seconds how many
// engines they need. Meanwhile, long requests had taken all engines, and the
// streams of the first seconds of each burst were late.
func TestDecodeEnginesFollowArrivals(t *testing.T) {
	c := newDecodeCell(20, latencySensitiveClass, heavyClass)
	for range 100 {
		id, _ := c.ask("latencySensitive", 600, 300)
		c.clock.Advance(5 * time.Millisecond)
		c.Progress(id, Progress{FirstToken: time.Millisecond, Tokens: 1, Elapsed: time.Millisecond})
	}
	c.clock.Advance(100 * time.Millisecond)
	c.Step()
	// 200 streams per second of 2 s each are 400 concurrent streams, although
	// only 100 run so far.
	if n := len(c.decodeNames()); n < 10 {
		t.Errorf("%d engines are reserved for decoding after half a second of 200 streams per second", n)
	}
}
