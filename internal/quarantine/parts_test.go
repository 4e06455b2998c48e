package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/pkg/table"
)

// crashes simulates a fleet in which endpoints terminate, because of a part of prompts
// or for another reason. All daemons share one list, as if updates spread instantly.
type crashes struct {
	random *rand.Rand
	clock  *clockwork.FakeClock
	parts  *Parts
	// backAt holds when each endpoint takes requests again, running its requests.
	backAt  []time.Time
	running [][]*partRequest
	// starts numbers the starts of endpoints.
	starts int
	names  []table.EndpointName
	// subjects is the number of second parts.
	subjects int
	// sent counts sends of sound requests, refused those of them that were
	// quarantined, terminated the endpoints that the bad part has terminated.
	sent, refused, terminated int
}

// partRequest is a request on an endpoint.
type partRequest struct {
	keys   []PartKey
	bad    bool
	endsAt time.Time
	left   int
}

const (
	crashRunning  = 8
	crashRoutes   = 5
	crashAttempts = 6
	crashDuration = 2 * time.Second
	crashBack     = 3 * time.Second
	crashStep     = 50 * time.Millisecond
	badPart       = PartKey(1)
)

func newCrashes(seed uint64, endpoints, subjects int) *crashes {
	c := &crashes{
		random: rand.New(rand.NewPCG(seed, 9)), clock: clockwork.NewFakeClock(), subjects: subjects,
		backAt: make([]time.Time, endpoints), running: make([][]*partRequest, endpoints),
	}
	c.parts = NewParts(c.clock)
	for i := range endpoints {
		c.names = append(c.names, endpointName(i))
		for range crashRunning {
			c.running[i] = append(c.running[i], c.sound())
		}
	}
	c.starts = endpoints
	return c
}

// sound returns a new sound request: its first part is common, its second less so.
func (c *crashes) sound() *partRequest {
	subject := int(float64(c.subjects) * c.random.Float64() * c.random.Float64())
	return &partRequest{
		keys: []PartKey{PartKey(10 + c.random.IntN(crashRoutes)), PartKey(100 + subject)}, left: crashAttempts,
		endsAt: c.clock.Now().Add(time.Duration(c.random.ExpFloat64() * float64(crashDuration))),
	}
}

// send places a request on an endpoint that takes requests, unless it is quarantined.
func (c *crashes) send(r *partRequest) {
	if _, found, _ := c.parts.Quarantined(r.keys, func(bool) bool { return false }); found {
		if !r.bad {
			c.refused++
		}
		return
	}
	if !r.bad {
		c.sent++
	}
	for range 100 {
		e := c.random.IntN(len(c.running))
		if !c.clock.Now().Before(c.backAt[e]) {
			r.left--
			c.running[e] = append(c.running[e], r)
			return
		}
	}
}

// terminate ends an endpoint with all of its requests, which are sent again.
func (c *crashes) terminate(e int) {
	interrupted := c.running[e]
	c.running[e] = nil
	c.backAt[e] = c.clock.Now().Add(crashBack)
	name := c.names[e]
	c.starts++
	c.names[e] = endpointName(c.starts)
	for _, r := range interrupted {
		c.parts.RecordTermination(r.keys, name)
	}
	for _, r := range interrupted {
		if r.left > 0 && !r.bad {
			r.endsAt = c.clock.Now().Add(time.Duration(c.random.ExpFloat64() * float64(crashDuration)))
			c.send(r)
		}
	}
}

// step ends what is due, and sends as many new requests.
func (c *crashes) step() {
	c.clock.Advance(crashStep)
	now := c.clock.Now()
	for e := range c.running {
		for _, r := range c.running[e] {
			if r.bad && !now.Before(r.endsAt) {
				c.terminated++
				c.terminate(e)
				break
			}
		}
		kept := c.running[e][:0]
		for _, r := range c.running[e] {
			if now.Before(r.endsAt) {
				kept = append(kept, r)
				continue
			}
			c.parts.RecordCompletion(r.keys)
		}
		c.running[e] = kept
	}
	busy := 0
	for e := range c.running {
		busy += len(c.running[e])
	}
	for range crashRunning*len(c.running) - busy {
		c.send(c.sound())
	}
}

// bad sends a request with the bad part, a common one, and one that always comes along.
func (c *crashes) bad() {
	c.send(&partRequest{keys: []PartKey{10, badPart}, bad: true, left: 1, endsAt: c.clock.Now().Add(2 * crashStep)})
}

// Guards against sound requests being refused because they were on endpoints that a part
// of other prompts has terminated, and against recognizing the part too late.
func TestBadPartAmongSoundOnes(t *testing.T) {
	for _, size := range []struct {
		endpoints, subjects int
		seeds               uint64
	}{{12, 200, 10}, {910, 5000, 1}} {
		t.Run(fmt.Sprint(size.endpoints), func(t *testing.T) {
			sent, refused, terminated := 0, 0, 0
			for seed := range size.seeds {
				c := newCrashes(seed, size.endpoints, size.subjects)
				for i := range 600 {
					c.step()
					if i > 40 && i%6 == 0 {
						c.bad()
					}
				}
				sent, refused, terminated = sent+c.sent, refused+c.refused, max(terminated, c.terminated)
			}
			t.Logf("at most %d endpoints terminated; %d of %d sends of sound requests were refused", terminated, refused, sent+refused)
			if terminated > 5 {
				t.Errorf("%d endpoints terminated, the part must be known after 5", terminated)
			}
			if refused > sent/1000 {
				t.Errorf("%d of %d sends of sound requests were refused", refused, sent+refused)
			}
		})
	}
}

// Guards against keeping back sound parts when many endpoints terminate for another
// reason, at the same moment or one after the other.
func TestLossOfEndpointsQuarantinesNoParts(t *testing.T) {
	for name, pause := range map[string]int{"at once": 0, "within ten seconds": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(1, 910, 5000)
			for range 240 {
				c.step()
			}
			lost := c.random.Perm(910)[:455]
			for i, e := range lost {
				c.terminate(e)
				if pause > 0 && i%2 == 1 {
					c.step()
				}
			}
			for range 200 {
				c.step()
			}
			t.Logf("%d of %d sends were refused, %d parts are quarantined", c.refused, c.sent+c.refused, c.parts.QuarantinedCount())
			if c.refused > c.sent/1000 {
				t.Errorf("%d of %d sends were refused", c.refused, c.sent+c.refused)
			}
		})
	}
}

// Guards against parts that stay quarantined after they are sound again, and against
// trials by several daemons or more often than allowed.
func TestQuarantinedPartIsTriedByOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewParts(clock)
	k := []PartKey{7}
	for i := range partThreshold {
		p.RecordTermination(k, endpointName(i))
	}
	one, others := func(bool) bool { return true }, func(bool) bool { return false }
	check := func(what string, mayTry func(bool) bool, want bool) {
		t.Helper()
		if _, got, _ := p.Quarantined(k, mayTry); got != want {
			t.Errorf("%s: quarantined %v, want %v", what, got, want)
		}
	}
	check("before the trial is due", one, true)
	clock.Advance(firstTrial)
	check("another daemon", others, true)
	check("the trial", one, false)
	check("a second request during the trial", one, true)
	p.RecordTermination(k, endpointName(9))
	clock.Advance(firstTrial)
	check("after a trial that failed", one, true)
	clock.Advance((trialFactor - 1) * firstTrial)
	check("the next trial", one, false)
	p.RecordCompletion(k)
	check("after a trial that completed", others, false)
}

// Guards against common parts that stay quarantined along with the one that terminates
// endpoints, because no request with them has completed before: the requests that would
// clear them are kept back.
func TestCommonPartsAreTriedEarly(t *testing.T) {
	for _, terminations := range []int{partThreshold, maxTerminations} {
		t.Run(fmt.Sprint(terminations), func(t *testing.T) { testCommonPartsAreTried(t, terminations) })
	}
}

// testCommonPartsAreTried has that many endpoints terminate at once.
func testCommonPartsAreTried(t *testing.T, terminations int) {
	const common, other, bad = PartKey(1), PartKey(2), PartKey(3)
	clock := clockwork.NewFakeClock()
	p := NewParts(clock)
	for i := range terminations {
		p.RecordTermination([]PartKey{common, other, bad}, endpointName(i))
	}
	tried := map[string]int{}
	try := func(what string, keys ...PartKey) {
		_, found, trial := p.Quarantined(keys, func(bool) bool { return true })
		if trial {
			tried[what]++
		}
		if !found && what == "sound" {
			p.RecordCompletion(keys)
		}
	}
	for i := range 60 {
		clock.Advance(50 * time.Millisecond)
		try("sound", common, other)
		if i%5 == 0 {
			try("bad", common, bad)
		}
	}
	if tried["sound"] != 1 || tried["bad"] != 0 {
		t.Errorf("trials: %v, want one of a sound request", tried)
	}
	if n := p.QuarantinedCount(); n != 1 {
		t.Errorf("%d parts are quarantined, want the bad one", n)
	}
}

// Guards against an early trial by a request with the bad part while some of the parts are
// suspect only: if an endpoint terminates, the common parts wait longer for the next one;
// and against sound requests that wait longer since one of their parts is suspect.
func TestEarlyTrialHasCommonParts(t *testing.T) {
	const common, other, bad = PartKey(1), PartKey(2), PartKey(3)
	for name, spared := range map[string]PartKey{"the bad part is suspect": bad, "a sound part is suspect": other} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := NewParts(clock)
			for i := range partThreshold {
				keys := []PartKey{common, other, bad}
				if i == 0 {
					keys = slices.DeleteFunc(keys, func(k PartKey) bool { return k == spared })
				}
				p.RecordTermination(keys, endpointName(i))
			}
			clock.Advance(minTrial)
			mayTry := func(bool) bool { return true }
			for i := range 2 * keptForTrial {
				keys := []PartKey{common, other}
				if i%5 == 0 {
					keys = []PartKey{common, bad}
				}
				_, _, trial := p.Quarantined(keys, mayTry)
				switch {
				case trial && keys[1] == bad:
					t.Fatal("a request with the bad part was sent as a trial")
				case trial:
					return
				}
			}
			t.Error("no request was sent as a trial")
		})
	}
}

// Guards against early trials of a part that no other one is suspect along with.
func TestSolePartIsNotTriedEarly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewParts(clock)
	k := []PartKey{7}
	for i := range partThreshold {
		p.RecordTermination(k, endpointName(i))
	}
	clock.Advance(firstTrial - 1)
	for range 2 * keptForTrial {
		if _, found, _ := p.Quarantined(k, func(bool) bool { return true }); !found {
			t.Fatal("a request was sent before its time")
		}
	}
}

// Guards against daemons that come to different results from the same updates.
func TestOrderOfPartUpdatesDoesNotMatter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	now := clock.Now()
	updates := []PartUpdate{
		{Key: 1, Ended: []Termination{{1, now.Add(-9 * time.Second)}, {2, now.Add(-5 * time.Second)}}},
		{Key: 1, Ended: []Termination{{2, now.Add(-5 * time.Second)}, {3, now.Add(-4 * time.Second)}}},
		{Key: 1, Ended: []Termination{{1, now.Add(-2 * time.Second)}}},
		{Key: 2, Ended: []Termination{{1, now.Add(-2 * time.Second)}, {2, now.Add(-time.Second)}, {3, now}}},
		{Key: 2, CompletedAt: now.Add(-3 * time.Second)},
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		p := NewParts(clock)
		p.Apply(updates[3])
		for _, i := range random.Perm(len(updates)) {
			p.Apply(updates[i])
			p.Apply(updates[i])
		}
		_, first, _ := p.Quarantined([]PartKey{1}, func(bool) bool { return false })
		_, second, _ := p.Quarantined([]PartKey{2}, func(bool) bool { return false })
		if !first || second {
			t.Fatalf("quarantined %v and %v, want the first alone", first, second)
		}
	}
}

// Guards against forgetting that common parts have completed when all daemons start again
// one after the other: the next terminations count against all parts.
func TestCompletionsOutlastRestarts(t *testing.T) {
	const common, rare, bad = PartKey(1), PartKey(2), PartKey(3)
	clock := clockwork.NewFakeClock()
	first := NewParts(clock)
	first.RecordCompletion([]PartKey{rare})
	clock.Advance(time.Second)
	for i := range maxCompletedTold - 1 {
		first.RecordCompletion([]PartKey{common, PartKey(100 + i)})
	}
	last := first
	for range 3 {
		next := NewParts(clock)
		for _, n := range last.All() {
			next.Apply(n)
		}
		last = next
		clock.Advance(time.Second)
	}
	for i := range partThreshold {
		last.RecordTermination([]PartKey{common, rare, bad}, endpointName(i))
	}
	for k, want := range map[PartKey]bool{common: false, rare: true, bad: true} {
		if _, found, _ := last.Quarantined([]PartKey{k}, func(bool) bool { return false }); found != want {
			t.Errorf("part %v: quarantined %v, want %v", k, found, want)
		}
	}
	clock.Advance(clearedBy)
	if n := len(first.All()); n != 0 {
		t.Errorf("%d completions are told after they have ceased to count", n)
	}
}

// Guards against taking the termination of an endpoint for evidence against a request that
// it had answered before: the next request terminated it.
func TestTerminationByAnotherPartIsExplained(t *testing.T) {
	const common, bad, rare = PartKey(1), PartKey(2), PartKey(3)
	clock := clockwork.NewFakeClock()
	p := NewParts(clock)
	check := func(what string, keys []PartKey, i int, want bool) {
		t.Helper()
		if got := p.IsExplained(keys, endpointName(i)); got != want {
			t.Errorf("%s: explained %v, want %v", what, got, want)
		}
	}
	for i := range partThreshold {
		check("before the part is quarantined", []PartKey{common}, 0, false)
		p.RecordTermination([]PartKey{common, bad}, endpointName(i))
	}
	p.RecordTermination([]PartKey{rare}, endpointName(9))
	check("a response without the part", []PartKey{common}, 0, true)
	check("a response with the part", []PartKey{common, bad}, 0, false)
	check("an endpoint that terminated under another part", []PartKey{common}, 9, false)
	clock.Advance(sameTermination)
	check("an earlier termination", []PartKey{common}, 0, false)
}
