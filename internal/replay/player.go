package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/schedule"
)

const (
	// controlDelay is the time that a reservation, a grant or a report takes
	// between two daemons and the decision.
	controlDelay = 3 * time.Millisecond
	// tickInterval is the time between two steps of an idle cell.
	tickInterval = 25 * time.Millisecond
	// againWithin is how long after its last use a part that is read once more
	// counts as read again.
	againWithin = 10 * time.Second
	// maxWaitShare is the part of a request's deadline after which ageing
	// gives it the next place.
	maxWaitShare = 2
	// returnPart is the part of the time left, as a divisor, that callers wait
	// at most before they come back.
	returnPart = 3
	// eventsBeforeProgress is when progress is told after the first event.
	eventsBeforeProgress = 32
)

// player plays a scenario.
type player struct {
	s       *Scenario
	clock   *clockwork.FakeClock
	random  *rand.Rand
	cell    *schedule.Cell
	engines map[schedule.Endpoint]*engine
	// names holds the engines that are listed; each start of one has a name of
	// its own.
	names   []schedule.Endpoint
	pending map[schedule.RequestID]*request
	lastUse map[uint64]time.Duration
	now     time.Duration
	order   uint64
	events  eventHeap
	nextID  uint64
	result  *Result
}

type event struct {
	at    time.Duration
	order uint64
	f     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Play plays a scenario to its end.
func Play(s *Scenario, discipline schedule.Discipline) *Result {
	p := &player{
		s:       s,
		clock:   clockwork.NewFakeClock(),
		random:  rand.New(rand.NewPCG(s.Seed, 0)), //nolint:gosec // a replay
		engines: map[schedule.Endpoint]*engine{},
		pending: map[schedule.RequestID]*request{},
		lastUse: map[uint64]time.Duration{},
		result:  newResult(s),
	}
	p.cell = schedule.NewCell(p.clock)
	for i := range s.Engines.Count {
		p.names = append(p.names, "")
		p.start(i, 1)
	}
	p.configure(discipline)
	for i := range s.Classes {
		p.arriveNext(&s.Classes[i], p.result.Classes[i], uint64(i+1)<<32)
	}
	for _, c := range s.Crashes {
		p.at(c.At.Std(), func() { p.crash(c, discipline) })
	}
	for _, at := range s.Handovers {
		p.at(at.Std(), func() { p.handOver(discipline) })
	}
	p.tick()
	for p.events.Len() > 0 {
		e, _ := heap.Pop(&p.events).(event)
		p.clock.Advance(e.at - p.now)
		p.now = e.at
		e.f()
	}
	p.result.Busiest = p.busiest()
	return p.result
}

// busiest returns the time that the busiest engine was busy, relative to the mean.
func (p *player) busiest() float64 {
	var total, most time.Duration
	for _, e := range p.engines {
		total += e.busy
		most = max(most, e.busy)
	}
	if total == 0 {
		return 1
	}
	return most.Seconds() * float64(len(p.engines)) / total.Seconds()
}

func (p *player) configure(discipline schedule.Discipline) {
	cfg := schedule.Config{Discipline: discipline, Disabled: p.s.Disabled}
	for _, name := range p.names {
		cfg.Endpoints = append(cfg.Endpoints, schedule.EndpointPolicy{
			Name: name, Concurrency: p.s.Engines.Slots, CacheTokens: p.s.Engines.MemoryTokens, Zone: p.engines[name].zone,
		})
	}
	for _, c := range p.s.Classes {
		cfg.Classes = append(cfg.Classes, schedule.ClassPolicy{
			Name: schedule.Class(c.Name), Tier: schedule.Tier(c.Tier), Weight: 1,
			FirstTokenTarget: c.Target.Std(), GapTarget: c.Pause.Std(), MaxWait: c.Deadline.Std() / maxWaitShare,
		})
	}
	p.cell.Configure(cfg)
}

func (p *player) at(t time.Duration, f func()) {
	p.order++
	heap.Push(&p.events, event{at: t, order: p.order, f: f})
}

func (p *player) after(d time.Duration, f func()) { p.at(p.now+d, f) }

// tick steps the cell now and then, as time alone changes what it decides.
func (p *player) tick() {
	p.step()
	if p.now < p.s.Duration.Std() || len(p.pending) > 0 {
		p.after(tickInterval, p.tick)
	}
}

// arriveNext lets the next request of a class arrive after a random time.
func (p *player) arriveNext(c *Class, res *ClassResult, ids uint64) {
	gap := time.Duration(p.random.ExpFloat64() / (c.Rate * p.s.factor(c.Name, p.now)) * float64(time.Second))
	at := p.now + gap
	if at >= p.s.Duration.Std() {
		return
	}
	p.at(at, func() {
		p.arrive(c, res, ids)
		p.arriveNext(c, res, ids)
	})
}

func (p *player) arrive(c *Class, res *ClassResult, ids uint64) {
	p.nextID++
	own := c.Prompt.draw(p.random)
	subject := ids | 1<<16
	if c.HotShare == 0 || p.random.Float64() >= c.HotShare {
		subject |= uint64(p.random.IntN(max(1, c.Subjects)))
	}
	r := &request{player: p, class: c, result: res, answer: c.Answer.draw(p.random), arrived: p.now}
	r.Request = schedule.Request{
		ID:              schedule.RequestID{Host: "host", Sequence: p.nextID},
		Class:           schedule.Class(c.Name),
		PromptTokens:    c.CommonTokens + c.SubjectTokens + own,
		EstimatedTokens: r.answer,
		Parts: []schedule.Part{
			{ID: ids, Tokens: c.CommonTokens}, {ID: subject, Tokens: c.SubjectTokens}, {ID: 1<<62 | p.nextID, Tokens: own},
		},
	}
	r.Zone, r.BodyBytes = p.zone(c), c.BodyBytes
	r.EndTimeout = p.s.endTimeout(c.Deadline.Std())
	r.Fingerprint = p.nextID
	res.Asked++
	res.window(p.now).Asked++
	p.pending[r.ID] = r
	p.at(r.arrived+c.Deadline.Std(), func() { p.expire(r) })
	r.StartTimeout = c.Deadline.Std()
	if c.Leaves > 0 {
		r.StartTimeout = c.Leaves.Std()
		p.leaves(r)
	}
	p.reserve(r)
}

// zone draws the zone of a request. It draws nothing if all are in one zone.
func (p *player) zone(c *Class) string {
	zones := max(1, p.s.Engines.Zones)
	if zones == 1 {
		return zoneName(0)
	}
	if len(c.ZoneShares) == 0 {
		return zoneName(p.random.IntN(zones))
	}
	moved := 0
	if move := p.s.Move.Std(); move > 0 && p.now >= move {
		moved = 1
	}
	at := p.random.Float64()
	for i, share := range c.ZoneShares {
		if at -= share; at < 0 {
			return zoneName((i + moved) % zones)
		}
	}
	return zoneName((zones - 1 + moved) % zones)
}

// leaves makes a caller leave that has seen no event by then.
func (p *player) leaves(r *request) {
	id := r.ID
	p.after(r.StartTimeout, func() {
		if r.events == 0 && r.ID == id {
			p.expire(r)
		}
	})
}

func (p *player) reserve(r *request) {
	p.after(controlDelay, func() {
		p.cell.Reserve(r.Request)
		p.step()
	})
}

// comeBack lets a refused caller ask once more, if it has the time.
func (p *player) comeBack(r *request, after time.Duration) bool {
	left := r.arrived + r.class.Deadline.Std() - p.now
	after = min(after, left/returnPart)
	if r.returned || after <= 0 {
		return false
	}
	r.returned = true
	delete(p.pending, r.ID)
	p.nextID++
	r.ID.Sequence = p.nextID
	p.pending[r.ID] = r
	p.after(after, func() {
		if r.ended {
			return
		}
		r.StartTimeout, r.EndTimeout = min(r.StartTimeout, left-after), p.s.endTimeout(left-after)
		p.leaves(r)
		p.reserve(r)
	})
	return true
}

func (s Size) draw(random *rand.Rand) int {
	median := s.Mean / math.Exp(s.Sigma*s.Sigma/2)
	return min(max(1, int(median*math.Exp(s.Sigma*random.NormFloat64()))), s.Max)
}

func (p *player) step() {
	for _, d := range p.cell.Step() {
		r := p.pending[d.ID]
		switch {
		case r == nil:
			p.cell.Release(d.ID, schedule.Report{})
		case d.Refusal != "" && p.comeBack(r, d.RetryAfter):
		case d.Refusal != "":
			r.result.Refused++
			p.end(r)
		case r.engine != nil:
			// The place is known already: the request was asked for twice.
		case d.Endpoint != "":
			r.granted = p.now
			r.engine = p.engines[d.Endpoint]
			r.source = p.engines[d.FetchFrom]
			p.after(controlDelay+time.Duration(p.s.Engines.FirstMs*float64(time.Millisecond)), func() { p.begin(r) })
		}
	}
}

// begin makes a request arrive at its engine.
func (p *player) begin(r *request) {
	switch {
	case r.ended:
		return
	case r.engine.down:
		p.release(r, schedule.Report{Failed: true})
		p.end(r)
		return
	}
	if r.Zone != r.engine.zone {
		p.result.CrossZoneBytes += r.BodyBytes
	}
	p.result.BodyBytes += r.BodyBytes
	r.job = &job{request: r}
	r.engine.waiting = append(r.engine.waiting, r.job)
	p.work(r.engine)
}

// work starts an engine's next step unless one is under way.
func (p *player) work(e *engine) {
	if e.stepping || e.down {
		return
	}
	e.admit(p.fetched)
	if len(e.running) == 0 {
		return
	}
	took, produced := e.step(e.slowdown * p.s.Engines.Stalls.factor(p.s.Seed, e.index, p.now))
	e.stepping = true
	epoch := e.epoch
	p.after(took, func() {
		if e.epoch != epoch {
			return
		}
		e.stepping = false
		for _, j := range produced {
			p.token(j)
		}
		p.work(e)
	})
}

// fetched returns how much of a prompt is fetched from another engine.
func (p *player) fetched(j *job) int {
	if j.request.source == nil {
		return 0
	}
	return j.request.source.keeps(j.request.Parts)
}

// start lists an engine that knows nothing of before.
func (p *player) start(i, incarnation int) {
	name := schedule.Endpoint(fmt.Sprintf("e%03d.%d", i, incarnation))
	e := newEngine(&p.s.Engines, name)
	e.index, e.zone, e.slowdown = i, p.s.Engines.zone(i), p.s.Engines.slowdown(i)
	p.engines[name], p.names[i] = e, name
}

// handOver has another coordinator take over, with the reports of what waits
// and runs.
func (p *player) handOver(discipline schedule.Discipline) {
	measured, ok := p.cell.Measured()
	p.cell = schedule.NewCell(p.clock)
	p.configure(discipline)
	if ok {
		p.cell.AdoptMeasured(&measured)
	}
	for _, id := range slices.SortedFunc(maps.Keys(p.pending), func(a, b schedule.RequestID) int { return cmp.Compare(a.Sequence, b.Sequence) }) {
		r := p.pending[id]
		if r.engine == nil {
			again := r.Request
			again.Waited = p.now - r.arrived
			p.cell.Reserve(again)
			continue
		}
		p.cell.AdoptGrant(schedule.Holding{
			ID: id, Class: r.Class, Endpoint: r.engine.name, EstimatedTokens: r.EstimatedTokens,
			PromptTokens: r.PromptTokens, Parts: r.Parts, FirstTokenReceived: r.events > 0,
			Elapsed: p.now - r.granted, Left: p.s.endTimeout(r.arrived + r.class.Deadline.Std() - p.now), Tokens: r.events,
		})
	}
	p.step()
}

// crashed returns which engines a crash takes, spread over all.
func (p *player) crashed(c Crash) []int {
	if c.Zone > 0 {
		var all []int
		for i := c.Zone - 1; i < len(p.names) && len(all) < c.Count; i += p.s.Engines.Zones {
			all = append(all, i)
		}
		return all
	}
	n := min(c.Count, len(p.names))
	all := make([]int, n)
	for i := range all {
		all[i] = i * len(p.names) / n
	}
	return all
}

// crash takes some engines down for a while. They stay listed until they
// start again.
func (p *player) crash(c Crash, discipline schedule.Discipline) {
	for _, i := range p.crashed(c) {
		for _, j := range p.engines[p.names[i]].crash() {
			j.request.result.Crashed++
			p.release(j.request, schedule.Report{Failed: true, Tokens: j.request.events})
			p.end(j.request)
		}
	}
	p.after(c.For.Std(), func() {
		for _, i := range p.crashed(c) {
			p.start(i, int(c.At))
		}
		p.configure(discipline)
	})
}
