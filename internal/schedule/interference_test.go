package schedule

import (
	"testing"
	"time"
)

var (
	quickClass  = ClassPolicy{Name: "quick", Tier: 0, Weight: 1, MaxWait: 6 * time.Second, Target: 250 * time.Millisecond, Pause: 120 * time.Millisecond}
	reportClass = ClassPolicy{Name: "report", Tier: 1, Weight: 1, Target: 600 * time.Millisecond, Pause: 200 * time.Millisecond}
)

const (
	// longPrompt takes much longer to read than quick streams may pause, shortPrompt much
	// less.
	longPrompt  = 12_000
	shortPrompt = 1_200
)

// begunAfter lets time pass and tells the first token of a request.
func (c *decodeCell) begunAfter(id RequestID, d time.Duration) {
	c.clock.Advance(d)
	c.Progress(id, Progress{FirstToken: d, Tokens: 1, Elapsed: d})
	c.Step()
}

// newProtectedCell is a cell that runs quick streams while long reads come, so
// that some engines are kept for decoding.
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
		t.Fatal("no engine is kept for decoding")
	}
	return c
}

// The first requests of a class that waits have long prompts, for which every
// engine is busy. Those behind them have short ones and fit on decode engines,
// but the class was taken to find no engine at all.
func TestShortReadsPassLongOnes(t *testing.T) {
	c := newProtectedCell(t, 4, 30)
	waiting := 0
	for range 8 {
		if _, e := c.ask("report", longPrompt, 50); e == "" {
			waiting++
		}
	}
	if waiting < triesPerClass+1 {
		t.Fatalf("%d long reads wait, too few for this test", waiting)
	}
	c.clock.Advance(200 * time.Millisecond)
	id, e := c.ask("report", shortPrompt, 50)
	for range 4 {
		if e != "" {
			return
		}
		c.clock.Advance(blockedPause + time.Millisecond)
		for _, d := range c.Step() {
			if d.ID == id {
				e = d.Endpoint
			}
		}
	}
	t.Error("a short read waits behind long ones")
}

// Several short prompts come at once. Read one after the other on one engine,
// they hold up its streams as a long one does.
func TestShortReadsAreSpread(t *testing.T) {
	c := newProtectedCell(t, 10, 40)
	patient := quickClass
	patient.Target = 2 * time.Second
	c.class("quick").setPolicy(patient)
	c.clock.Advance(time.Second)
	c.Step()
	given := map[Endpoint]time.Duration{}
	for range 30 {
		_, e := c.ask("quick", 2000, 300)
		if e != "" {
			given[e] += c.pool.ReadTime(2000)
		}
	}
	for e, read := range given {
		if c.decodeNames()[e] && c.pool.Breaks(&c.endpoints[e].Engine, read, 2000) {
			t.Errorf("%s was given %v to read at once", e, read)
		}
	}
}

// Fewer quick streams come, and an engine is given back. Long reads must not
// come there while some of its streams still run.
func TestEngineIsGivenBackEmpty(t *testing.T) {
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
		for _, e := range c.list {
			if decoding[e.policy.Name] && !e.Decode && e.Protected() > 0 {
				t.Fatalf("%s takes long reads beside %d streams", e.policy.Name, e.Protected())
			}
		}
	}
	if after := len(c.decodeNames()); after >= before {
		t.Errorf("%d engines are kept for decoding, %d with five times as many streams", after, before)
	}
}

// A single engine can't be divided: it takes everything.
func TestSingleEngineTakesBoth(t *testing.T) {
	c := newDecodeCell(1, quickClass, reportClass)
	for range 5 {
		for _, one := range []struct {
			class  Class
			prompt int
		}{{"quick", 700}, {"report", longPrompt}} {
			id, e := c.ask(one.class, one.prompt, 100)
			if e == "" {
				t.Fatalf("%s waits for the only engine, which is idle", one.class)
			}
			c.begunAfter(id, 300*time.Millisecond)
			c.Release(id, Report{Done: true, Tokens: 5})
			c.clock.Advance(time.Second)
			c.Step()
		}
	}
}
