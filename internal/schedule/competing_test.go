package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// competition simulates callers who compete for cells of 32 slots with streams of 1 s.
// Refused callers return while they have time: as told, or after competitionRepeat.
type competition struct {
	cells int
	// perSecond is the rate of first arrivals for each cell, over ten accounts.
	perSecond float64
	// hot is the factor of the rate of the first account; zero means one.
	hot float64
	// repeating is the share of the callers that repeat at once.
	repeating float64
	// tries limits the attempts of a caller; zero means no limit.
	tries int
	// handover is when the coordinators are replaced; zero means never.
	handover time.Duration
	// lull is when the rate falls to a quarter; zero means never.
	lull     time.Duration
	disabled []Mechanism
	// anonymous requests have no fingerprint.
	anonymous bool
}

const (
	competitionTick     = 2 * time.Millisecond
	competitionRun      = 30 * time.Second
	competitionSlots    = 32
	competitionTarget   = time.Second
	competitionTimeout  = 6 * time.Second
	competitionReturns  = 5 * time.Second
	competitionRepeat   = 10 * time.Millisecond
	competitionAccounts = 10
	// competitionSteady is when the overload has become steady.
	competitionSteady = 5 * time.Second
)

type competitor struct {
	account  Account
	repeats  bool
	print    uint64
	arrived  time.Duration
	asked    time.Duration
	tries    int
	cell     int
	offered  int
	retry    time.Duration
	granted  time.Duration
	endpoint Endpoint
	served   bool
	// told is how long after the first arrival the first refusal came.
	told time.Duration
	over bool
}

type competitionSite struct {
	competition
	random  *rand.Rand
	clock   *fakeClock
	sites   []*Cell
	now     time.Duration
	next    int
	callers []*competitor
	pending map[RequestID]*competitor
	due     map[time.Duration][]func()
}

func (s *competitionSite) newCell() *Cell {
	c := NewCell(s.clock)
	c.Configure(Config{
		Classes:    []ClassPolicy{{Name: "a", Weight: 1, FirstTokenTarget: competitionTarget, MaxWait: competitionTimeout / 2}},
		Endpoints:  endpoints(4, competitionSlots/4),
		MaxWaiting: 16 * competitionSlots,
		Disabled:   s.disabled,
	})
	return c
}

func (p competition) run(seed uint64) *competitionSite {
	s := &competitionSite{competition: p, random: rand.New(rand.NewPCG(seed, seed)), clock: newFakeClock(), pending: map[RequestID]*competitor{}, due: map[time.Duration][]func(){}} //nolint:gosec // a simulation
	for range p.cells {
		s.sites = append(s.sites, s.newCell())
	}
	for ; s.now < competitionRun+competitionTimeout; s.now += competitionTick {
		s.clock.advance(competitionTick)
		if s.now == p.handover && s.now > 0 {
			s.replaceCoordinators()
		}
		for _, f := range s.due[s.now] {
			f()
		}
		delete(s.due, s.now)
		if s.now < competitionRun {
			s.arrive()
		}
		for i, c := range s.sites {
			s.decide(i, slices.Clone(c.Step()))
		}
	}
	return s
}

func (s *competitionSite) after(d time.Duration, f func()) {
	at := (s.now + max(d, competitionTick)).Truncate(competitionTick)
	s.due[at] = append(s.due[at], f)
}

func (s *competitionSite) arrive() {
	rate := s.perSecond * float64(len(s.sites)) * competitionTick.Seconds() / competitionAccounts
	if s.lull > 0 && s.now >= s.lull {
		rate /= 4
	}
	for i := range competitionAccounts {
		expected := rate
		if i == 0 && s.hot > 0 {
			expected *= s.hot
		}
		for range poisson(s.random, expected) {
			c := &competitor{account: Account(fmt.Sprint(i)), repeats: s.random.Float64() < s.repeating, arrived: s.now}
			if !s.anonymous {
				c.print = uint64(len(s.callers) + 1)
			}
			s.callers = append(s.callers, c)
			s.ask(c)
		}
	}
}

// ask sends an attempt of a caller to the less crowded cell.
func (s *competitionSite) ask(c *competitor) {
	c.asked, c.offered, c.retry = s.now, 0, 0
	c.tries++
	c.cell = s.random.IntN(len(s.sites))
	for i := range s.sites {
		if s.sites[i].Pressure(0) < s.sites[c.cell].Pressure(0) {
			c.cell = i
		}
	}
	s.offer(c)
}

func (s *competitionSite) offer(c *competitor) {
	s.next++
	left := c.arrived + competitionTimeout - c.asked
	ask := id(s.next)
	s.pending[ask] = c
	s.sites[c.cell].Reserve(Request{
		ID: ask, Class: "a", Account: c.account, EstimatedTokens: 20, Fingerprint: c.print,
		Waited: s.now - c.asked, StartTimeout: left, EndTimeout: left,
	})
	s.after(c.arrived+competitionTimeout-s.now, func() {
		if s.pending[ask] == c && c.endpoint == "" {
			delete(s.pending, ask)
			s.sites[c.cell].Cancel(ask)
			c.over = true
		}
	})
}

func (s *competitionSite) decide(cell int, decisions []Decision) {
	for _, d := range decisions {
		c := s.pending[d.ID]
		switch {
		case c == nil || c.cell != cell:
			s.sites[cell].Release(d.ID, Report{})
		case d.Refusal == "":
			c.granted, c.served, c.endpoint = s.now, true, d.Endpoint
			s.after(time.Second, func() {
				delete(s.pending, d.ID)
				s.sites[c.cell].Release(d.ID, Report{Done: true, Tokens: 20, FirstToken: 20 * time.Millisecond, Duration: time.Second})
			})
		default:
			delete(s.pending, d.ID)
			s.refuse(c, d)
		}
	}
}

func (s *competitionSite) refuse(c *competitor, d Decision) {
	c.retry = max(c.retry, d.RetryAfter)
	if c.offered++; d.Refusal == RefusedShed && c.offered < len(s.sites) {
		c.cell = (c.cell + 1) % len(s.sites)
		s.offer(c)
		return
	}
	if c.told == 0 {
		c.told = max(s.now-c.arrived, competitionTick)
	}
	left := c.arrived + competitionTimeout - s.now
	after := min(c.retry, left/3)
	if c.repeats {
		after = competitionRepeat
	}
	if after == 0 || s.now+after > c.arrived+competitionReturns || c.tries == s.tries {
		c.over = true
		return
	}
	s.after(after, func() { s.ask(c) })
}

// replaceCoordinators has new coordinators take over with the reports of the daemons.
func (s *competitionSite) replaceCoordinators() {
	for i := range s.sites {
		s.sites[i] = s.newCell()
	}
	for n := range s.next {
		c := s.pending[id(n+1)]
		switch {
		case c == nil:
		case c.endpoint != "":
			s.sites[c.cell].AdoptGrant(Holding{ID: id(n + 1), Class: "a", Account: c.account, Endpoint: c.endpoint, EstimatedTokens: 20, FirstTokenReceived: true})
		default:
			left := c.arrived + competitionTimeout - c.asked
			s.sites[c.cell].Reserve(Request{ID: id(n + 1), Class: "a", Account: c.account, EstimatedTokens: 20, Fingerprint: c.print, Waited: s.now - c.asked, StartTimeout: left, EndTimeout: left})
		}
	}
}

// competitionShare sums up the callers that a test selects.
type competitionShare struct {
	asked, inTime, served int
	// toldAfter is the 90th percentile of the time until the first refusal of callers
	// who were not served, while the overload was steady; toldAtAll includes those around
	// a change of coordinator.
	toldAfter, toldAtAll time.Duration
}

// takeoverTime is how long after a change of coordinator the pace of grants is not known.
const takeoverTime = 2 * time.Second

// isSteady reports whether a caller who arrives then leaves before a change of coordinator
// or arrives when the new one knows its pace.
func (s *competitionSite) isSteady(at time.Duration) bool {
	return s.handover == 0 || at < s.handover-competitionTimeout || at > s.handover+takeoverTime
}

func (s *competitionSite) share(from time.Duration, selects func(*competitor) bool) competitionShare {
	var r competitionShare
	var told, toldAtAll []time.Duration
	for _, c := range s.callers {
		if c.arrived < from || !selects(c) {
			continue
		}
		r.asked++
		switch {
		case c.served:
			r.served++
			if c.granted-c.arrived <= competitionTarget {
				r.inTime++
			}
		default:
			if c.told == 0 {
				c.told = competitionTimeout
			}
			toldAtAll = append(toldAtAll, c.told)
			if s.isSteady(c.arrived) {
				told = append(told, c.told)
			}
		}
	}
	r.toldAfter, r.toldAtAll = ninetieth(told), ninetieth(toldAtAll)
	return r
}

// ninetieth returns the 90th percentile, or zero if there are no values.
func ninetieth(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*9/10]
}

func (r competitionShare) servedShare() float64 { return float64(r.served) / float64(r.asked) }

func (r competitionShare) inTimeShare() float64 { return float64(r.inTime) / float64(r.asked) }

// String returns the figures of the design note.
func (r competitionShare) String() string {
	return fmt.Sprintf("asked %d, in time %.3f, served %.3f, told after %v", r.asked, r.inTimeShare(), r.servedShare(), r.toldAfter)
}

// shares plays a competition with several seeds and sums up the callers that are selected
// and the others.
func (p competition) shares(selects func(*competitor) bool) (selected, others competitionShare) {
	for seed := range uint64(4) {
		s := p.run(seed + 1)
		selected = selected.add(s.share(competitionSteady, selects))
		others = others.add(s.share(competitionSteady, func(c *competitor) bool { return !selects(c) }))
	}
	return selected, others
}

func (r competitionShare) add(o competitionShare) competitionShare {
	return competitionShare{
		asked: r.asked + o.asked, inTime: r.inTime + o.inTime, served: r.served + o.served,
		toldAfter: max(r.toldAfter, o.toldAfter), toldAtAll: max(r.toldAtAll, o.toldAtAll),
	}
}

// The mechanisms without which a cell decides by its queue alone.
var withoutReturns = []Mechanism{EarlyRefusal, ReturnOrder}

// Guards against callers that repeat at once and are served more often than those that
// wait as told, and against callers that are held until they have no time to return.
// One and a half times what is borne arrives; a third of the callers repeat at once, at
// either of two cells, and the coordinators may be replaced.
func TestCallersWhoRepeatAtOnceGainNothing(t *testing.T) {
	for _, p := range []competition{
		{cells: 1, perSecond: 48, repeating: 1. / 3},
		{cells: 2, perSecond: 48, repeating: 1. / 3},
		{cells: 1, perSecond: 48, repeating: 1. / 3, tries: 2},
		{cells: 1, perSecond: 48, repeating: 1. / 3, handover: competitionRun / 2},
		{cells: 1, perSecond: 48, repeating: 1. / 3, lull: competitionRun / 2},
	} {
		repeat, told := p.shares(func(c *competitor) bool { return c.repeats })
		p.disabled = withoutReturns
		repeatBefore, toldBefore := p.shares(func(c *competitor) bool { return c.repeats })
		t.Logf("%+v\nrepeat %v; told %v\nwithout: repeat %v; told %v", p, repeat, told, repeatBefore, toldBefore)
		if repeat.servedShare() > told.servedShare()+0.03 {
			t.Errorf("%+v: %v of the callers that repeat at once, of the others %v", p, repeat, told)
		}
		if told.toldAfter > 500*time.Millisecond {
			t.Errorf("%+v: callers that are not served learn it after %v", p, told.toldAfter)
		}
		if told.toldAtAll > takeoverTime {
			t.Errorf("%+v: callers that are not served learn it after %v, with a change of coordinator", p, told.toldAtAll)
		}
	}
}

// Guards against an account that takes the turns of others by asking much more than
// usual, at one cell or two, and with coordinators that are replaced.
func TestAccountsAreHeldApart(t *testing.T) {
	isHot := func(c *competitor) bool { return c.account == "0" }
	for _, p := range []competition{
		{cells: 1, perSecond: 24, hot: 7.5},
		{cells: 1, perSecond: 24, hot: 20},
		{cells: 2, perSecond: 24, hot: 20},
		{cells: 2, perSecond: 24, hot: 20, handover: competitionRun / 2},
	} {
		hot, others := p.shares(isHot)
		t.Logf("%+v\nhot %v; others %v", p, hot, others)
		p.hot = 0
		if _, usual := p.shares(isHot); others.inTimeShare() < usual.inTimeShare()-0.02 {
			t.Errorf("%+v: others %v, without the hot account %v", p, others, usual)
		}
	}
}

// A cell without the mechanisms decides on requests with fingerprints as on those without.
func TestCellWithoutReturnsIgnoresFingerprints(t *testing.T) {
	p := competition{cells: 2, perSecond: 48, repeating: 1. / 3, handover: competitionRun / 2, disabled: withoutReturns}
	with := p.run(1).share(0, func(*competitor) bool { return true })
	p.anonymous, p.disabled = true, nil
	if without := p.run(1).share(0, func(*competitor) bool { return true }); with != without {
		t.Errorf("%v with fingerprints, %v without", with, without)
	}
}
