package schedule

import (
	"testing"
	"time"
)

// askUseful reserves a place for a caller who leaves after a time.
func (c *decodeCell) askUseful(class Class, prompt int, useful time.Duration) RequestID {
	c.next++
	id := RequestID{Host: "h", Sequence: c.next}
	c.Reserve(Request{ID: id, Class: class, PromptTokens: prompt, EstimatedTokens: 100, Useful: useful})
	return id
}

// A burst takes all engines for seconds. Requests waited until a moment before
// their callers left, were sent, and were read by engines for nobody; the
// callers had no time left to come back. Each must be refused while its caller
// still waits, with a time to come back that differs from the others'.
func TestNothingIsSentInVain(t *testing.T) {
	const useful = 2400 * time.Millisecond
	c := newDecodeCell(1, ClassPolicy{Name: "heavy", Tier: 0, Weight: 1, Target: 2 * time.Second})
	for range 64 {
		c.ask("heavy", 4000, 100)
	}
	asked := c.clock.Now()
	for range 20 {
		c.askUseful("heavy", 4000, useful)
	}
	refused := map[time.Duration]bool{}
	for range 300 {
		for _, d := range c.Step() {
			at := c.clock.Since(asked)
			switch {
			case d.Endpoint != "" && at+c.pool.Overhead() > useful:
				t.Errorf("a request was sent after %v, its caller leaves after %v", at, useful)
			case d.Refusal == RefusedTooLate && at > useful:
				t.Errorf("a request was refused after %v, its caller has left after %v", at, useful)
			case d.Refusal == RefusedTooLate:
				refused[d.RetryAfter] = true
			}
		}
		c.clock.Advance(10 * time.Millisecond)
	}
	for _, e := range c.entries {
		if e.endpoint == nil && e.request.Useful > 0 {
			t.Errorf("a request waits for a caller who has left")
		}
	}
	if len(refused) < 5 {
		t.Errorf("callers are told %d different times to come back", len(refused))
	}
	for after := range refused {
		if after < minReturn/2 || after > 2*maxReturn {
			t.Errorf("a caller is told to come back after %v", after)
		}
	}
}

// Requests without such a time wait as long as they must: a stream that has
// begun elsewhere can't be refused.
func TestRequestsOfUnknownUseWait(t *testing.T) {
	c := newDecodeCell(1, ClassPolicy{Name: "heavy", Tier: 0, Weight: 1, Target: 2 * time.Second})
	for range 70 {
		c.ask("heavy", 4000, 100)
	}
	waiting := c.waiting
	for range 100 {
		c.clock.Advance(100 * time.Millisecond)
		for _, d := range c.Step() {
			if d.Refusal != "" {
				t.Fatalf("refused as %s", d.Refusal)
			}
		}
	}
	if waiting == 0 || c.waiting == 0 {
		t.Errorf("%d waited, %d do now", waiting, c.waiting)
	}
}

// One caller leaves much sooner than the one before it in the queue. It must
// not be granted a place when its turn comes after it has left.
func TestTurnThatComesTooLate(t *testing.T) {
	c := newDecodeCell(1, heavyClass)
	var first []RequestID
	for range 64 {
		id, _ := c.ask("heavy", 100, 100)
		first = append(first, id)
	}
	c.askUseful("heavy", 100, 10*time.Second)
	soon := c.askUseful("heavy", 100, 500*time.Millisecond)
	c.Step()
	c.clock.Advance(time.Second)
	for _, id := range first {
		c.Release(id, Report{Done: true, Tokens: 10, FirstToken: 100 * time.Millisecond, Duration: time.Second})
	}
	for _, d := range c.Step() {
		if d.ID == soon && d.Refusal != RefusedTooLate {
			t.Errorf("the caller who has left got %+v", d)
		}
	}
}
