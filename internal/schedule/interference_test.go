package schedule

import (
	"testing"
	"time"
)

var (
	quickClass  = ClassPolicy{Name: "quick", Tier: 0, Weight: 1, MaxWait: 6 * time.Second, FirstTokenTarget: 250 * time.Millisecond, GapTarget: 120 * time.Millisecond}
	reportClass = ClassPolicy{Name: "report", Tier: 1, Weight: 1, FirstTokenTarget: 600 * time.Millisecond, GapTarget: 200 * time.Millisecond}
)

const (
	// The prefill of longPrompt takes much longer than the maximum gap of quick
	// streams, that of shortPrompt much less.
	longPrompt  = 12_000
	shortPrompt = 1_200
)

// begunAfter advances the clock by d and reports the first token of a request.
func (c *decodeCell) begunAfter(id RequestID, d time.Duration) {
	c.clock.Advance(d)
	c.Progress(id, Progress{FirstToken: d, Tokens: 1, Elapsed: d})
	c.Step()
}

// newProtectedCell returns a cell that runs quick streams while requests with
// long prompts arrive, so that some engines are reserved for decoding.
func newProtectedCell(t *testing.T, engines, streams int) *decodeCell {
	t.Helper()
	c := newDecodeCell(engines, quickClass, reportClass)
	for range 12 {
		id, _ := c.ask("report", longPrompt, 50)
		c.begunAfter(id, 300*time.Millisecond)
		c.Release(id, Report{Done: true, Tokens: 1})
	}
	for range streams {
		id, _ := c.ask("quick", 700, 300)
		c.begun(id)
		c.ask("report", longPrompt, 50)
	}
	if len(c.decodeNames()) == 0 {
		t.Fatal("no engine is reserved for decoding")
	}
	return c
}

// Guards against head-of-line blocking in a class. Its first requests have long
// prompts, for which all engines are busy; those behind them have short prompts
// and fit on decode engines, but were not tried because the whole class was
// considered blocked.
func TestShortReadsPassLongOnes(t *testing.T) {
	c := newProtectedCell(t, 4, 30)
	waiting := 0
	for range 8 {
		if _, e := c.ask("report", longPrompt, 50); e == "" {
			waiting++
		}
	}
	if waiting < maxTriesPerClass+1 {
		t.Fatalf("%d requests with long prompts wait, too few for this test", waiting)
	}
	c.clock.Advance(200 * time.Millisecond)
	id, e := c.ask("report", shortPrompt, 50)
	for range 4 {
		if e != "" {
			return
		}
		c.clock.Advance(blockedRetryInterval + time.Millisecond)
		for _, d := range c.Step() {
			if d.ID == id {
				e = d.Endpoint
			}
		}
	}
	t.Error("a request with a short prompt waits behind those with long ones")
}

// Several short prompts arrive at once. Prefilled one after the other on the same
// engine, they would interrupt its streams like a long one.
func TestShortReadsAreSpread(t *testing.T) {
	c := newProtectedCell(t, 10, 40)
	patient := quickClass
	patient.FirstTokenTarget = 2 * time.Second
	c.class("quick").setPolicy(patient)
	c.clock.Advance(time.Second)
	c.Step()
	given := map[Endpoint]time.Duration{}
	for range 30 {
		_, e := c.ask("quick", 2000, 300)
		if e != "" {
			given[e] += c.pool.PrefillTime(2000)
		}
	}
	for e, read := range given {
		if c.decodeNames()[e] && c.pool.ExceedsGapLimit(&c.endpoints[e].Engine, read, 2000) {
			t.Errorf("%s was granted prompts with a prefill time of %v at once", e, read)
		}
	}
}

// The number of quick streams falls, and an engine is no longer reserved for
// decoding. It must not be given long prompts while some of its streams run.
func TestEngineTakesLongPromptsOnlyAfterItsStreamsEnd(t *testing.T) {
	c := newProtectedCell(t, 10, 10)
	var streams []RequestID
	for i := range 150 {
		id, _ := c.ask("quick", 700, 300)
		c.begunAfter(id, 15*time.Millisecond)
		streams = append(streams, id)
		if i%10 == 0 {
			long, _ := c.ask("report", longPrompt, 50)
			c.begunAfter(long, 200*time.Millisecond)
			c.Release(long, Report{Done: true, Tokens: 1})
		}
	}
	before := len(c.decodeNames())
	for _, id := range streams[:120] {
		c.Release(id, Report{Done: true, Tokens: 70, Duration: time.Second})
	}
	for range 200 {
		decoding := c.decodeNames()
		c.clock.Advance(100 * time.Millisecond)
		c.Step()
		c.ask("report", longPrompt, 50)
		for _, e := range c.sortedEndpoints {
			if decoding[e.policy.Name] && !e.Decode && e.Protected() > 0 {
				t.Fatalf("%s may be given long prompts while it runs %d streams", e.policy.Name, e.Protected())
			}
		}
	}
	if after := len(c.decodeNames()); after >= before {
		t.Errorf("%d engines are reserved for decoding, %d with five times as many streams", after, before)
	}
}

// A single engine must take all kinds of requests.
func TestSingleEngineTakesBoth(t *testing.T) {
	c := newDecodeCell(1, quickClass, reportClass)
	for range 5 {
		for _, one := range []struct {
			class  Class
			prompt int
		}{{"quick", 700}, {"report", longPrompt}} {
			id, e := c.ask(one.class, one.prompt, 100)
			if e == "" {
				t.Fatalf("a request of class %s waits although the only engine is idle", one.class)
			}
			c.begunAfter(id, 300*time.Millisecond)
			c.Release(id, Report{Done: true, Tokens: 5})
			c.clock.Advance(time.Second)
			c.Step()
		}
	}
}
