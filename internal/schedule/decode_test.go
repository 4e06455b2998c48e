package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

var (
	hurriedClass = ClassPolicy{Name: "hurried", Tier: 0, Weight: 1, MaxWait: 6 * time.Second, Target: 300 * time.Millisecond, Pause: 200 * time.Millisecond}
	heavyClass   = ClassPolicy{Name: "heavy", Tier: 2, Weight: 1, MaxWait: 7 * time.Second, Target: 2 * time.Second, Pause: 800 * time.Millisecond}
	briefClass   = ClassPolicy{Name: "brief", Tier: 1, Weight: 1, MaxWait: 2 * time.Second, Target: 500 * time.Millisecond, Pause: 300 * time.Millisecond}
)

// decodeCell is a cell of engines with a fake clock.
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
		cfg.Endpoints = append(cfg.Endpoints, EndpointPolicy{Name: Endpoint(fmt.Sprintf("e%02d", i)), Concurrency: 64, Memory: 600_000})
	}
	c.Configure(cfg)
	return c
}

// ask reserves a place and returns the engine, or "" if the request waits.
func (c *decodeCell) ask(class Class, prompt, answer int) (RequestID, Endpoint) {
	c.next++
	id := RequestID{Host: "h", Sequence: c.next}
	c.Reserve(Request{ID: id, Class: class, PromptTokens: prompt, EstimatedTokens: answer})
	for _, d := range c.Step() {
		if d.ID == id {
			return id, d.Endpoint
		}
	}
	return id, ""
}

// begun lets time pass and tells the first token of a request.
func (c *decodeCell) begun(id RequestID) {
	c.clock.Advance(110 * time.Millisecond)
	c.Progress(id, Progress{FirstToken: 100 * time.Millisecond, Tokens: 1, Elapsed: 100 * time.Millisecond})
	c.Step()
}

func (c *decodeCell) decodeNames() map[Endpoint]bool {
	names := map[Endpoint]bool{}
	for _, e := range c.list {
		if e.Decode {
			names[e.policy.Name] = true
		}
	}
	return names
}

// Callers of urgent streams see long pauses and, in a burst of long requests,
// find no slot at all: every engine runs some of both. The engines that run
// urgent streams must take no long answer of a lower tier, though they have
// free slots and others are busier.
func TestLongRequestsStayOffDecodeEngines(t *testing.T) {
	c := newDecodeCell(10, hurriedClass, heavyClass, briefClass)
	for range 60 {
		id, e := c.ask("hurried", 600, 300)
		if e == "" {
			t.Fatal("an urgent stream waits")
		}
		c.begun(id)
	}
	decoding := c.decodeNames()
	if len(decoding) != 3 {
		t.Fatalf("%d engines are kept for decoding for 60 streams, want 3", len(decoding))
	}
	for range 100 {
		id, e := c.ask("heavy", 4000, 400)
		if decoding[e] {
			t.Fatalf("a long answer went to the decode engine %s", e)
		}
		c.begun(id)
		decoding = c.decodeNames()
	}
}

// Without urgent streams no engine is kept free, or a site without them would
// lose part of its engines.
func TestNoDecodeEnginesWithoutHurriedStreams(t *testing.T) {
	c := newDecodeCell(4, hurriedClass, heavyClass)
	id, _ := c.ask("hurried", 600, 300)
	c.begun(id)
	if len(c.decodeNames()) == 0 {
		t.Error("no engine is kept for decoding for a stream")
	}
	c.Release(id, Report{Done: true, Tokens: 40})
	for range 400 {
		c.clock.Advance(100 * time.Millisecond)
		c.Step()
	}
	if n := len(c.decodeNames()); n != 0 {
		t.Errorf("%d engines are kept for decoding for nobody", n)
	}
}

// Two engines are left, one of them kept for decoding: long requests must not wait for
// ever when the other one goes.
func TestLastEngineTakesEverything(t *testing.T) {
	c := newDecodeCell(2, hurriedClass, heavyClass)
	id, _ := c.ask("hurried", 600, 300)
	c.begun(id)
	cfg := Config{Classes: []ClassPolicy{hurriedClass, heavyClass}}
	for name := range c.decodeNames() {
		cfg.Endpoints = append(cfg.Endpoints, EndpointPolicy{Name: name, Concurrency: 64, Memory: 600_000})
	}
	c.Configure(cfg)
	c.clock.Advance(time.Second)
	c.Step()
	if _, e := c.ask("heavy", 4000, 400); e == "" {
		t.Error("a long request waits though an engine is free")
	}
}

// Engines that run many long answers make a token in 20 ms, those with urgent
// streams alone in 5 ms. Callers saw requests wait while a quarter of the
// engines stood idle: the busy ones had been taken for stragglers.
func TestBusyEnginesAreNoStragglers(t *testing.T) {
	c := newDecodeCell(8, hurriedClass, heavyClass)
	fast := map[RequestID]time.Duration{}
	for range 90 {
		id, _ := c.ask("hurried", 600, 300)
		c.begun(id)
		fast[id] = 32 * 35 * time.Millisecond
	}
	for range 160 {
		id, e := c.ask("heavy", 2000, 400)
		if e == "" {
			t.Fatal("no place")
		}
		c.begun(id)
		fast[id] = 32 * 140 * time.Millisecond
	}
	for range 4 {
		for id, took := range fast {
			c.Progress(id, Progress{FirstToken: 100 * time.Millisecond, Tokens: 33, Elapsed: 100*time.Millisecond + took})
		}
		c.clock.Advance(judgeInterval)
		c.Step()
	}
	if n := c.out(EjectedSlow); n > 0 {
		t.Errorf("%d busy engines were ejected", n)
	}
}

// Urgent streams begin to come, or come much faster. Each runs for seconds, so
// that those which run show how many engines they need only then; long
// requests had taken all engines meanwhile, and the first seconds of each burst
// were late.
func TestDecodeEnginesFollowArrivals(t *testing.T) {
	c := newDecodeCell(20, hurriedClass, heavyClass)
	for range 100 {
		id, _ := c.ask("hurried", 600, 300)
		c.clock.Advance(5 * time.Millisecond)
		c.Progress(id, Progress{FirstToken: time.Millisecond, Tokens: 1, Elapsed: time.Millisecond})
	}
	c.clock.Advance(100 * time.Millisecond)
	c.Step()
	// 200 a second for 2 s each are 400 streams, though 100 run.
	if n := len(c.decodeNames()); n < 10 {
		t.Errorf("%d engines are kept for decoding after half a second of 200 streams a second", n)
	}
}
