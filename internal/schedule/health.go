package schedule

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// EjectReason is why an endpoint gets no grants for a while.
type EjectReason string

// The reasons for ejection.
const (
	EjectedFailed EjectReason = "failed"
	EjectedSlow   EjectReason = "slow"
)

const (
	// failuresToEject is how many failures in a row eject an endpoint, and
	// failedToEject the share of its requests that it failed lately.
	failuresToEject = 3
	failedToEject   = 0.25
	// failedWeight is the weight of a new outcome in the share that failed.
	failedWeight = 1.0 / 16
	// outcomesToCompare is how many outcomes an endpoint must have for others
	// to be compared with it.
	outcomesToCompare = 16
	// wellShare is the part of the endpoints, as a divisor, that is taken to
	// show what a well one fails.
	wellShare = 8
	// An endpoint fails more than the others do if its share is failedFactor
	// times theirs and failedSlack more.
	failedFactor = 2
	failedSlack  = 0.2
	// samplesToEject is how many measurements a straggler is judged by.
	samplesToEject = 3
	// slowFactor is by how much a straggler exceeds the pool's median.
	slowFactor = 2.5
	// plainRatio is by how much engines' paces differ without telling that
	// their speeds do.
	plainRatio = 1.6
	// judgeInterval is the time between two judgements.
	judgeInterval = 100 * time.Millisecond
	// firstBackoff is how long an endpoint stays out before it is probed;
	// the time doubles up to maxBackoff with each probe that fails.
	firstBackoff = time.Second
	maxBackoff   = 8 * time.Second
	// slowShare is the greatest share of a cell that may be out as slow.
	slowShare = 4
	// firstTokenBase is added to prompts, so that short ones compare.
	firstTokenBase = 64
)

// health is what the cell knows of an endpoint's speed and failures.
type health struct {
	// token is the time per generated token, first the time to the first
	// token per token of the prompt; both in seconds.
	token, first stat.Mean
	// pace is token by what the engine had to do meanwhile, by which
	// stragglers are judged; see batching.Pool.Pace.
	pace stat.Mean
	// failures counts those in a row, failed is the share of the requests that
	// failed lately, and outcomes counts what it was taken from.
	failures int
	failed   float64
	outcomes int
	reason   EjectReason
	// until is when an ejected endpoint may be probed.
	until   time.Duration
	backoff time.Duration
	// since is when it was ejected last.
	since time.Duration
	// unreachable says that an ejected endpoint does not report its load
	// either; it is not probed with requests until it does.
	unreachable bool
}

func (h *health) ejected(now time.Duration) bool { return h.reason != "" && now < h.until }

// limit returns how many grants the endpoint may run. After its time out an
// endpoint is probed with a single one.
func (h *health) limit(concurrency int, now time.Duration) int {
	switch {
	case h.reason == "":
		return concurrency
	case now < h.until:
		return 0
	}
	return 1
}

// slowness returns how much slower the endpoint is than the median.
func (h *health) slowness(median float64) float64 {
	if h.token.N < samplesToEject || median == 0 {
		return 1
	}
	return min(max(h.token.Value/median, 0.5), slowFactor*2)
}

// sluggishness is slowness for engines that batch. The plain time per token
// says more of what an engine has to read than of its speed, and the pace is
// wrong where reading does not slow down the tokens: the engine is only taken
// to be as slow, or as fast, as both say. Small differences count as none.
func (c *Cell) sluggishness(h *health) float64 {
	if h.token.N < samplesToEject || c.medianToken == 0 || c.medianPace == 0 {
		return 1
	}
	plain, pace := h.token.Value/c.medianToken, h.pace.Value/c.medianPace
	slow, fast := min(plain, pace), max(plain, pace)
	switch {
	case slow > plainRatio:
		return min(slow, 2*slowFactor)
	case fast < 1/plainRatio:
		return max(fast, 1.0/2)
	}
	return 1
}

func (h *health) eject(reason EjectReason, now time.Duration) {
	if h.reason == "" {
		h.backoff = firstBackoff
	} else {
		h.backoff = min(2*h.backoff, maxBackoff)
	}
	h.reason = reason
	h.since = now
	h.until = now + h.backoff
	h.token, h.first, h.pace = stat.Mean{}, stat.Mean{}, stat.Mean{}
}

func (h *health) readmit() {
	h.reason = ""
	h.failures = 0
}

// stale tells whether a grant was given before its endpoint was last ejected:
// what became of it says nothing about the endpoint now.
func (h *health) stale(granted time.Duration) bool { return h.reason != "" && granted < h.until }

// failed takes in the failure of a grant or a report that began at that time.
func (c *Cell) failed(e *endpointState, began, now time.Duration) {
	h := &e.health
	if h.stale(began) || c.off(FailedEjection) {
		return
	}
	h.failures++
	h.outcome(1)
	probing := h.reason != ""
	switch {
	case probing && !c.failsMost(h):
		h.readmit()
		return
	case probing:
	case h.failures < failuresToEject && !h.failsOften():
		return
	case c.out("")+1 >= len(c.list) || !c.failsMost(h):
		return
	}
	h.eject(EjectedFailed, now)
	c.figures.ejections++
}

// outcome takes in one more outcome: 1 is a failure, 0 none.
func (h *health) outcome(failed float64) {
	h.outcomes++
	h.failed += failedWeight * (failed - h.failed)
}

func (h *health) failsOften() bool {
	return h.outcomes >= outcomesToCompare && h.failed > failedToEject
}

// failsMost tells whether an endpoint fails more of its requests than others
// do. While all fail alike, to shut some only leaves the others with more.
func (c *Cell) failsMost(h *health) bool {
	c.scratch = c.scratch[:0]
	for _, e := range c.list {
		if e.health.outcomes >= outcomesToCompare && !e.policy.Draining {
			c.scratch = append(c.scratch, e.health.failed)
		}
	}
	if len(c.scratch) == 0 {
		return true
	}
	slices.Sort(c.scratch)
	well := c.scratch[(len(c.scratch)-1)/wellShare]
	return h.failed > failedFactor*well+failedSlack
}

// succeeded takes in that an endpoint worked.
func (c *Cell) succeeded(e *endpointState, now time.Duration) {
	h := &e.health
	h.failures = 0
	h.outcome(0)
	if h.reason == EjectedFailed && now >= h.until {
		h.readmit()
	}
}

// measured takes in how fast an endpoint was with a grant.
func (c *Cell) measured(g *entry, p Progress, now time.Duration) {
	e, promptTokens := g.endpoint, g.request.PromptTokens
	h := &e.health
	if h.stale(g.Granted) {
		return
	}
	if p.FirstToken > 0 && e.policy.Memory == 0 {
		perToken := p.FirstToken.Seconds() / float64(promptTokens+firstTokenBase)
		h.first.Add(perToken)
		c.firstPerToken.Add(perToken)
	}
	if p.Tokens > 1 && p.Elapsed > p.FirstToken {
		perToken := (p.Elapsed - p.FirstToken).Seconds() / float64(p.Tokens-1)
		h.token.Add(perToken)
		h.pace.Add(c.pool.Pace(&e.Engine, perToken, now-(p.Elapsed-p.FirstToken), now))
	}
	if h.reason == EjectedSlow {
		c.judgeProbe(e, now)
	}
	c.unjudged = true
}

// judgeProbe decides by one measurement whether a straggler is well again.
func (c *Cell) judgeProbe(e *endpointState, now time.Duration) {
	h := &e.health
	if h.pace.N == 0 {
		return
	}
	if c.medianPace > 0 && h.pace.Value > slowFactor*c.medianPace && h.token.Value > slowFactor*c.medianToken {
		h.eject(EjectedSlow, now)
		return
	}
	h.readmit()
}

// out counts the ejected endpoints, of one reason if it is given.
func (c *Cell) out(reason EjectReason) int {
	n := 0
	for _, e := range c.list {
		if e.health.reason != "" && (reason == "" || e.health.reason == reason) {
			n++
		}
	}
	return n
}

// judge compares the endpoints with their median and ejects stragglers. A
// straggler answers, but much more slowly than the others; a caller sees a
// late first token or a crawling stream. The median is taken over the cell,
// so that a slow hour of all of them ejects none.
func (c *Cell) judge(now time.Duration) {
	if !c.unjudged || now-c.judged < judgeInterval || c.off(SlowEjection) {
		return
	}
	c.judged, c.unjudged = now, false
	medianFirst := c.median(func(h *health) stat.Mean { return h.first })
	c.medianToken = c.median(func(h *health) stat.Mean { return h.token })
	c.medianPace = c.median(func(h *health) stat.Mean { return h.pace })
	for _, e := range c.list {
		h := &e.health
		if h.reason != "" || !(tooSlow(h.pace, c.medianPace) && tooSlow(h.token, c.medianToken) || tooSlow(h.first, medianFirst)) {
			continue
		}
		if c.out(EjectedSlow) >= (len(c.list)+slowShare-1)/slowShare || c.out("")+1 >= len(c.list) {
			return
		}
		h.eject(EjectedSlow, now)
		c.figures.ejections++
	}
}

func tooSlow(a stat.Mean, median float64) bool {
	return median > 0 && a.N >= samplesToEject && a.Value > slowFactor*median
}

// median returns the lower median of a figure over the endpoints that have
// been measured, or zero if there are fewer than two.
func (c *Cell) median(of func(*health) stat.Mean) float64 {
	c.scratch = c.scratch[:0]
	for _, e := range c.list {
		if a := of(&e.health); a.N > 0 {
			c.scratch = append(c.scratch, a.Value)
		}
	}
	if len(c.scratch) < 2 {
		return 0
	}
	slices.Sort(c.scratch)
	return c.scratch[(len(c.scratch)-1)/2]
}

// ObserveLoad takes in an endpoint's report of its load.
func (c *Cell) ObserveLoad(name Endpoint, l Load) {
	e := c.endpoints[name]
	if e == nil {
		return
	}
	now := c.now()
	e.load = loadReport{at: now, known: true, foreign: max(0, l.Running+l.Waiting-e.load.peak), peak: e.Running}
	if e.health.unreachable {
		e.health.unreachable = false
		e.health.until = min(e.health.until, now)
	}
}

// LoadFailed takes in that an endpoint did not report its load. That counts
// as a failure, so that a crashed endpoint is found without a request.
func (c *Cell) LoadFailed(name Endpoint) {
	e := c.endpoints[name]
	if e == nil {
		return
	}
	now := c.now()
	if e.health.reason == "" {
		c.failed(e, now, now)
	}
	// An endpoint that reports no load is not probed with requests, but for
	// once in a while: the report may fail where requests do not.
	if e.health.reason != "" && now-e.health.since < maxBackoff {
		e.health.unreachable = true
		e.health.until = now + firstBackoff
	}
}
