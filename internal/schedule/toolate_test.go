package schedule

import (
	"testing"
	"time"
)

// askWithStartTimeout reserves a slot for a caller who gives up after the given
// time.
func (c *decodeCell) askWithStartTimeout(class Class, prompt int, startTimeout time.Duration) RequestID {
	c.next++
	id := RequestID{Host: "h", Sequence: c.next}
	c.Reserve(Request{ID: id, Class: class, PromptTokens: prompt, EstimatedTokens: 100, StartTimeout: startTimeout})
	return id
}

// Guards against granting requests whose callers give up before the response
// begins. A burst takes all engines for seconds; requests waited until just
// before their callers gave up and were then processed for nobody, and the
// callers had no time left to retry. Each request must be refused while its
// caller still waits, with retry times that differ between callers.
func TestRequestsAreRefusedBeforeCallersGiveUp(t *testing.T) {
	const startTimeout = 2400 * time.Millisecond
	c := newDecodeCell(1, ClassPolicy{Name: "heavy", Tier: 0, Weight: 1, FirstTokenTarget: 2 * time.Second})
	for range 64 {
		c.ask("heavy", 4000, 100)
	}
	asked := c.clock.Now()
	for range 20 {
		c.askWithStartTimeout("heavy", 4000, startTimeout)
	}
	refused := map[time.Duration]bool{}
	for range 300 {
		for _, d := range c.Step() {
			at := c.clock.Since(asked)
			switch {
			case d.Endpoint != "" && at+c.pool.Overhead() > startTimeout:
				t.Errorf("a request was granted after %v, its caller gives up after %v", at, startTimeout)
			case d.Refusal == RefusedTooLate && at > startTimeout:
				t.Errorf("a request was refused after %v, its caller gave up after %v", at, startTimeout)
			case d.Refusal == RefusedTooLate:
				refused[d.RetryAfter] = true
			}
		}
		c.clock.Advance(10 * time.Millisecond)
	}
	for _, e := range c.entries {
		if e.endpoint == nil && e.request.StartTimeout > 0 {
			t.Errorf("a request waits although its caller has given up")
		}
	}
	if len(refused) < 5 {
		t.Errorf("callers are told %d different retry times, want at least 5", len(refused))
	}
	for after := range refused {
		if after < 100*time.Millisecond || after > 6*time.Second {
			t.Errorf("a caller is told to retry after %v", after)
		}
	}
}

// Requests without a start timeout wait as long as necessary: a stream that has
// begun elsewhere can't be refused.
func TestRequestsWithoutStartTimeoutWait(t *testing.T) {
	c := newDecodeCell(1, ClassPolicy{Name: "heavy", Tier: 0, Weight: 1, FirstTokenTarget: 2 * time.Second})
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
		t.Errorf("%d requests waited at first, %d at the end", waiting, c.waiting)
	}
}

// A caller gives up much sooner than the one before it in the queue. Its request
// must not be granted a slot that becomes free after that.
func TestRequestOfCallerWhoGaveUpIsNotGranted(t *testing.T) {
	c := newDecodeCell(1, heavyClass)
	var first []RequestID
	for range 64 {
		id, _ := c.ask("heavy", 100, 100)
		first = append(first, id)
	}
	c.askWithStartTimeout("heavy", 100, 10*time.Second)
	soon := c.askWithStartTimeout("heavy", 100, 500*time.Millisecond)
	c.Step()
	c.clock.Advance(time.Second)
	for _, id := range first {
		c.Release(id, Report{Done: true, Tokens: 10, FirstToken: 100 * time.Millisecond, Duration: time.Second})
	}
	for _, d := range c.Step() {
		if d.ID == soon && d.Refusal != RefusedTooLate {
			t.Errorf("the request of a caller who has given up got %+v", d)
		}
	}
}
