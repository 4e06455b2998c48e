package schedule

import (
	"testing"
	"time"
)

// learnEnds runs short responses on a cell until the length of responses and the pace of
// streams are known: 20 events a second, one for each token.
func learnEnds(c *decodeCell) {
	for range 20 {
		id, _ := c.ask("heavy", 100, 10)
		c.begun(id)
		c.clock.Advance(500 * time.Millisecond)
		c.Release(id, Report{Done: true, Tokens: 11, FirstToken: 100 * time.Millisecond, Duration: 600 * time.Millisecond})
	}
}

// askWithEndTimeout reserves a slot for a response that must have ended after 12 s.
func (c *decodeCell) askWithEndTimeout(response int, startTimeout time.Duration) (RequestID, Decision) {
	c.next++
	id := RequestID{Host: "h", Sequence: c.next}
	c.Reserve(Request{ID: id, Class: "heavy", PromptTokens: 100, EstimatedTokens: response, StartTimeout: startTimeout, EndTimeout: 12 * time.Second})
	for _, d := range c.Step() {
		if d.ID == id {
			return id, d
		}
	}
	return id, Decision{}
}

// Guards against a response that is begun on a busy engine though its caller leaves before
// it can end, and against a refusal that comes late or counts as another one.
func TestResponseThatOutlastsItsCallerIsRefusedAtOnce(t *testing.T) {
	c := newDecodeCell(1, heavyClass)
	learnEnds(c)
	if _, d := c.askWithEndTimeout(100, time.Second); d.Endpoint == "" {
		t.Fatalf("a response of 5 s got %+v", d)
	}
	c.clock.Advance(200 * time.Millisecond)
	c.Step()
	id, d := c.askWithEndTimeout(400, time.Second)
	if d == (Decision{}) {
		c.clock.Advance(tooLateInterval)
		for _, other := range c.Step() {
			if other.ID == id {
				d = other
			}
		}
	}
	if d.Refusal != RefusedTooLate || d.RetryAfter < 100*time.Millisecond {
		t.Errorf("a response of 20 s for a caller who leaves after 12 s got %+v", d)
	}
	if s := c.Status(); s.Classes[0].Outlasting != 1 || s.Classes[0].Refused[RefusedTooLate] != 1 {
		t.Errorf("%+v is counted, want one request that outlasts its caller", s.Classes[0])
	}
	if _, d := c.askWithEndTimeout(400, 0); d.Refusal != "" {
		t.Errorf("a request that an endpoint may have run got %+v", d)
	}
}

// Guards against a class that is never served again after its responses were expected to
// be too long: an idle engine takes any request.
func TestIdleEngineTakesLongResponse(t *testing.T) {
	c := newDecodeCell(1, heavyClass)
	learnEnds(c)
	c.clock.Advance(time.Second)
	c.Step()
	if _, d := c.askWithEndTimeout(4000, time.Second); d.Endpoint == "" {
		t.Errorf("got %+v", d)
	}
}

// Guards against a new coordinator that does not know what still has to end: the report of
// a running grant must tell it, even before it has learnt how fast the engines are.
func TestNewCoordinatorKnowsWhatHasToEnd(t *testing.T) {
	c := newDecodeCell(2, heavyClass)
	adopt := func(sequence uint64, left time.Duration, tokens int) {
		c.AdoptGrant(Holding{
			ID: RequestID{Host: "other", Sequence: sequence}, Class: "heavy", Endpoint: "e00",
			PromptTokens: 100, EstimatedTokens: 1000, FirstTokenReceived: true,
			Elapsed: 2 * time.Second, Left: left, Tokens: tokens,
		})
	}
	// Learning takes 12 s, in which each stream gets 240 events.
	adopt(1, 40*time.Second, 10)
	adopt(2, 40*time.Second, 900)
	adopt(3, 120*time.Second, 10)
	adopt(4, 0, 10)
	learnEnds(c)
	if got := c.Status().Endpoints[0].EndingLate; got != 1 {
		t.Errorf("%d streams are expected to end late, want the first one", got)
	}
}
