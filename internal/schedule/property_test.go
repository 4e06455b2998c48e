package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a reference model of a cell from the callers' point of view.
type model struct {
	t     *rapid.T
	clock *fakeClock
	cell  *Cell
	tiers map[Class]Tier
	class map[RequestID]Class
	// waiting and running have the requests that have not ended.
	waiting map[RequestID]bool
	running map[RequestID]bool
	// preempted holds the running requests that are already being preempted.
	preempted map[RequestID]bool
	ended     map[RequestID]bool
	n         int
	cfg       Config
	// processes holds the IDs of the endpoints of the running requests.
	processes map[RequestID]string
	// replaced counts the endpoints that have registered anew.
	replaced int
}

var modelClasses = []ClassPolicy{
	{Name: "top", Tier: 0, Weight: 2, MaxWait: 5 * time.Second, FirstTokenTarget: time.Second},
	{Name: "topToo", Tier: 0, Weight: 1, MaxWait: 5 * time.Second},
	{Name: "middle", Tier: 1, Weight: 1, MaxWait: 8 * time.Second, Preemptible: true},
	{Name: "low", Tier: 3, Weight: 1, MaxWait: 10 * time.Second, Preemptible: true},
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, clock: newFakeClock(), tiers: map[Class]Tier{}, class: map[RequestID]Class{},
		waiting: map[RequestID]bool{}, running: map[RequestID]bool{}, preempted: map[RequestID]bool{}, ended: map[RequestID]bool{},
		processes: map[RequestID]string{},
	}
	m.cell = NewCell(m.clock)
	m.cfg = Config{
		Classes:    modelClasses,
		Endpoints:  endpoints(rapid.IntRange(1, 3).Draw(t, "endpoints"), rapid.IntRange(1, 3).Draw(t, "concurrency")),
		MaxWaiting: rapid.IntRange(2, 8).Draw(t, "maxWaiting"),
	}
	for i := range m.cfg.Endpoints {
		m.cfg.Endpoints[i].ID = string(m.cfg.Endpoints[i].Name)
	}
	m.cell.Configure(m.cfg)
	for _, c := range modelClasses {
		m.tiers[c.Name] = c.Tier
	}
	return m
}

func (m *model) reserve() {
	m.n++
	r := Request{ID: id(m.n), Class: rapid.SampledFrom(modelClasses).Draw(m.t, "class").Name, Account: "a", EstimatedTokens: 10}
	if rapid.IntRange(0, 4).Draw(m.t, "excludes") == 0 {
		r.Excluded = []Endpoint{"e00"}
	}
	m.class[r.ID], m.waiting[r.ID] = r.Class, true
	m.cell.Reserve(r)
	m.step()
}

// pick draws a request from a set, in an order that does not depend on map
// iteration.
func (m *model) pick(set map[RequestID]bool) (RequestID, bool) {
	var all []RequestID
	for i := 1; i <= m.n; i++ {
		if set[id(i)] {
			all = append(all, id(i))
		}
	}
	if len(all) == 0 {
		return RequestID{}, false
	}
	return rapid.SampledFrom(all).Draw(m.t, "request"), true
}

func (m *model) release() {
	r, ok := m.pick(m.running)
	if !ok {
		return
	}
	m.end(r)
	m.cell.Release(r, Report{Tokens: 10, Duration: 100 * time.Millisecond, Done: true, Failed: rapid.IntRange(0, 9).Draw(m.t, "failed") == 0})
	m.step()
}

func (m *model) cancel() {
	r, ok := m.pick(m.waiting)
	if !ok {
		return
	}
	m.end(r)
	m.cell.Cancel(r)
	m.step()
}

func (m *model) end(r RequestID) {
	delete(m.waiting, r)
	delete(m.running, r)
	delete(m.preempted, r)
	m.ended[r] = true
}

// replace has an endpoint register anew under its ID.
func (m *model) replace() {
	m.replaced++
	e := &m.cfg.Endpoints[rapid.IntRange(0, len(m.cfg.Endpoints)-1).Draw(m.t, "replaced")]
	e.Name = Endpoint(fmt.Sprintf("%s@%d", e.ID, m.replaced))
	m.cell.Configure(m.cfg)
	m.step()
}

func (m *model) wait() {
	m.clock.advance(time.Duration(rapid.IntRange(1, 4000).Draw(m.t, "ms")) * time.Millisecond)
	m.step()
}

// hasLowerTier reports whether a request of a lower tier waits, or runs, is
// preemptible and is not being preempted yet.
func (m *model) hasLowerTier(r RequestID) bool {
	tier := m.tiers[m.class[r]]
	for other := range m.waiting {
		if other != r && m.tiers[m.class[other]] > tier {
			return true
		}
	}
	for other := range m.running {
		e := m.cell.entries[other]
		if m.tiers[m.class[other]] > tier && !m.preempted[other] && e.class.policy.Preemptible && !e.aged {
			return true
		}
	}
	return false
}

// step runs one step of the cell and checks the decisions against the model.
func (m *model) step() {
	for _, d := range m.cell.Step() {
		switch {
		case d.Preempt:
			if !m.running[d.ID] || m.preempted[d.ID] {
				m.t.Fatalf("%v is preempted twice or while it is not running", d.ID)
			}
			m.checkPreempt(d.ID)
			m.preempted[d.ID] = true
		case d.Refusal != "":
			if !m.waiting[d.ID] {
				m.t.Fatalf("%v is refused but not waiting", d.ID)
			}
			if d.Refusal == RefusedShed && m.hasLowerTier(d.ID) {
				m.t.Fatalf("%v of %s is shed while a lower tier waits or has preemptible grants", d.ID, m.class[d.ID])
			}
			m.end(d.ID)
		default:
			if !m.waiting[d.ID] {
				m.t.Fatalf("%v is granted but not waiting", d.ID)
			}
			delete(m.waiting, d.ID)
			m.running[d.ID] = true
			m.processes[d.ID] = m.cell.endpoints[d.Endpoint].policy.ID
		}
	}
	if m.cell.waiting != len(m.waiting) || m.cell.running != len(m.running) || len(m.cell.entries) != len(m.waiting)+len(m.running) {
		m.t.Fatalf("the cell has %d waiting and %d running of %d entries, the model %d and %d", m.cell.waiting, m.cell.running, len(m.cell.entries), len(m.waiting), len(m.running))
	}
	running := map[string]int{}
	for r := range m.running {
		running[m.processes[r]]++
	}
	for _, e := range m.cell.sortedEndpoints {
		if e.Running != running[e.policy.ID] || e.Running > e.policy.Concurrency {
			m.t.Fatalf("%s runs %d grants, %d in the model, concurrency %d", e.policy.Name, e.Running, running[e.policy.ID], e.policy.Concurrency)
		}
	}
}

// checkPreempt fails the test if a request is preempted although no higher tier
// waits, or although a still lower tier has a preemptible grant that does not end
// soon.
func (m *model) checkPreempt(r RequestID) {
	tier := m.tiers[m.class[r]]
	for other := range m.running {
		e := m.cell.entries[other]
		open := !m.preempted[other] && e.class.policy.Preemptible && !e.aged
		if open && m.tiers[m.class[other]] > tier && !e.preempting && e.endpoint.health.reason == "" && !m.cell.endsSoon(e, m.cell.now()) {
			m.t.Fatalf("%v of %s is preempted although %v of %s, a lower tier, is preemptible", r, m.class[r], other, m.class[other])
		}
	}
	for other := range m.waiting {
		if m.tiers[m.class[other]] < tier {
			return
		}
	}
	m.t.Fatalf("%v of %s is preempted although no higher tier waits", r, m.class[r])
}

func TestEachRequestEndsOnceAndByTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(*rapid.T) { m.reserve() },
			"more":    func(*rapid.T) { m.reserve() },
			"release": func(*rapid.T) { m.release() },
			"cancel":  func(*rapid.T) { m.cancel() },
			"wait":    func(*rapid.T) { m.wait() },
			"replace": func(*rapid.T) { m.replace() },
		})
	})
}

// Guards against starvation while a higher tier continuously requests more than
// the capacity. Each class with a waiting request must get a slot within its
// bound: its MaxWait plus one turn of ageing for each class that may be overdue
// at the same time.
func TestEveryClassIsServedWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newFakeClock()
		cell := NewCell(clock)
		places := rapid.IntRange(1, 20).Draw(t, "places")
		cell.Configure(Config{Classes: modelClasses, Endpoints: endpoints(1, places)})
		hold := time.Duration(rapid.IntRange(10, 400).Draw(t, "holdMs")) * time.Millisecond
		// One turn of ageing is agedGrantInterval grants, and an aged grant may
		// have to wait for another one to end.
		turn := hold * (agedGrantInterval/time.Duration(places) + 3)
		n := 0
		reserve := func(class Class) {
			n++
			cell.Reserve(Request{ID: id(n), Class: class, Account: Account(fmt.Sprint(n % 3)), EstimatedTokens: 10})
		}
		for _, c := range modelClasses {
			reserve(c.Name)
		}
		last := map[Class]time.Duration{}
		type end struct {
			id RequestID
			at time.Duration
		}
		var running []end
		for now := time.Duration(0); now < 30*time.Second; now += 20 * time.Millisecond {
			clock.advance(20 * time.Millisecond)
			for len(running) > 0 && running[0].at <= now {
				cell.Release(running[0].id, Report{Tokens: 10, Duration: hold, Done: true})
				running = running[1:]
			}
			for cell.classes["top"].waiting() < 2*places {
				reserve("top")
			}
			for _, d := range cell.Step() {
				e := cell.entries[d.ID]
				switch {
				case d.Preempt:
					cell.Release(d.ID, Report{})
				case d.Refusal != "":
					t.Fatalf("%v is refused: %s", d.ID, d.Refusal)
				default:
					last[e.class.policy.Name] = now
					running = append(running, end{d.ID, now + hold})
				}
			}
			for _, c := range modelClasses {
				if cell.classes[c.Name].waiting() == 0 {
					reserve(c.Name)
				}
				bound := c.MaxWait + turn*time.Duration(len(modelClasses)) + 100*time.Millisecond
				if now-last[c.Name] > bound {
					t.Fatalf("class %s got no slot for %s, bound %s", c.Name, now-last[c.Name], bound)
				}
			}
		}
	})
}

// Three classes of one tier always have waiting requests. The granted work must
// be proportional to their weights, independent of the lengths of their
// responses.
func TestWeightsHoldWithinFivePercent(t *testing.T) {
	const grants = 10_000
	random := rand.New(rand.NewPCG(1, 2))
	for range 8 {
		weights := [3]int{1 + random.IntN(9), 1 + random.IntN(9), 1 + random.IntN(9)}
		lengths := [3]int{10 + random.IntN(90), 10 + random.IntN(90), 10 + random.IntN(90)}
		cell := NewCell(newFakeClock())
		cfg := Config{Endpoints: endpoints(1, 1)}
		for i, w := range weights {
			cfg.Classes = append(cfg.Classes, ClassPolicy{Name: Class(fmt.Sprint(i)), Weight: w})
		}
		cell.Configure(cfg)
		classOf := map[RequestID]int{}
		work, total, n := [3]float64{}, 0.0, 0
		for range grants {
			for i, c := range cfg.Classes {
				for cell.classes[c.Name].waiting() < 2 {
					n++
					classOf[id(n)] = i
					cell.Reserve(Request{ID: id(n), Class: c.Name, Account: Account(fmt.Sprint(n % 2)), EstimatedTokens: 1 + random.IntN(2*lengths[i])})
				}
			}
			d := cell.Step()[0]
			// The length of the response differs from the estimate.
			tokens := 1 + random.IntN(2*lengths[classOf[d.ID]])
			work[classOf[d.ID]] += estimateWork(0, tokens)
			total += estimateWork(0, tokens)
			cell.Release(d.ID, Report{Tokens: tokens, Done: true})
		}
		for i, w := range weights {
			want := float64(w) / float64(weights[0]+weights[1]+weights[2])
			if got := work[i] / total; math.Abs(got-want) > 0.05*want {
				t.Errorf("weights %v, lengths %v: class %d has %.4f of the work, want %.4f", weights, lengths, i, got, want)
			}
		}
	}
}
