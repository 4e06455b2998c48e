package schedule

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// EjectReason is the reason why an endpoint was ejected, that is, temporarily
// gets no grants.
type EjectReason string

// The reasons for ejection.
const (
	EjectedFailed EjectReason = "failed"
	EjectedSlow   EjectReason = "slow"
)

const (
	// An endpoint is ejected after maxConsecutiveFailures failures in a row, or
	// if its recent failure rate exceeds maxFailureRate.
	maxConsecutiveFailures = 3
	maxFailureRate         = 0.25
	// failureRateSmoothing is the weight of a new outcome in the failure rate.
	failureRateSmoothing = 1.0 / 16
	// minOutcomes is how many outcomes an endpoint must have for its failure
	// rate to be used.
	minOutcomes = 16
	// healthyDivisor determines the baseline failure rate, that of a healthy
	// endpoint: the failure rate that one in this many endpoints do not exceed.
	healthyDivisor = 8
	// An endpoint is an outlier if its failure rate exceeds failureRateFactor
	// times the baseline plus failureRateMargin.
	failureRateFactor = 2
	failureRateMargin = 0.2
	// newsLifetime is how long before an endpoint began to fail other endpoints must have
	// failed or succeeded to be compared with it. It is below the time after which daemons
	// notice that an endpoint does not answer.
	newsLifetime = 250 * time.Millisecond
	// minSpeedSamples is how many measurements it takes to compare the speed of
	// an endpoint.
	minSpeedSamples = 3
	// slowFactor is the multiple of the median above which an endpoint counts as
	// a straggler.
	slowFactor = 2.5
	// minSpeedRatio is the ratio of engines' token times below which their speeds
	// are treated as equal.
	minSpeedRatio = 1.6
	// stragglerCheckInterval is the minimum time between two straggler checks.
	stragglerCheckInterval = 100 * time.Millisecond
	// initialBackoff is the time from ejection to the first probe. It doubles
	// with each failed probe, up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = 8 * time.Second
	// maxSlowDivisor limits the endpoints that are ejected as slow to one in this
	// many endpoints of the cell.
	maxSlowDivisor = 4
	// ttftPromptOffset is added to the length of each prompt, so that the time to
	// first token per prompt token is comparable for short prompts too.
	ttftPromptOffset = 64
)

// health is the measured speed and failure history of an endpoint.
type health struct {
	// tokenTime is the time per generated token, ttft the time to first token
	// per token of the prompt; both in seconds.
	tokenTime, ttft stat.Mean
	// adjustedTokenTime is tokenTime corrected for the load of the engine; it is
	// used to detect stragglers. See batching.Pool.NormalizedTokenTime.
	adjustedTokenTime stat.Mean
	// consecutiveFailures counts failures in a row, failureRate is the recent
	// share of failed requests, and outcomes counts the outcomes in it.
	consecutiveFailures int
	failureRate         float64
	outcomes            int
	// failingSince is when the endpoint failed first since it last succeeded.
	failingSince time.Duration
	// failedAt is when the endpoint last failed, succeededAt when it last served a request
	// or reported its load, if hasSucceeded; isFailing reports whether it failed last.
	failedAt, succeededAt   time.Duration
	isFailing, hasSucceeded bool

	reason EjectReason
	// probeAt is when an ejected endpoint may be probed.
	probeAt time.Duration
	backoff time.Duration
	// ejectedAt is when the endpoint was last ejected.
	ejectedAt time.Duration
	// unreachable reports whether an ejected endpoint does not report its load
	// either. It is not probed with requests until it does.
	unreachable bool
}

func (h *health) ejected(now time.Duration) bool { return h.reason != "" && now < h.probeAt }

// grantLimit returns how many grants the endpoint may run. After an ejection it
// is probed with a single grant.
func (h *health) grantLimit(concurrency int, now time.Duration) int {
	switch {
	case h.reason == "":
		return concurrency
	case now < h.probeAt:
		return 0
	}
	return 1
}

// slowness returns the time per token relative to the median of the endpoints,
// bounded on both sides.
func (h *health) slowness(median float64) float64 {
	if h.tokenTime.N < minSpeedSamples || median == 0 {
		return 1
	}
	return min(max(h.tokenTime.Value/median, 0.5), slowFactor*2)
}

// batchingSlowness is slowness for batching engines. The measured time per token
// depends more on the prefill load of an engine than on its speed, and the
// adjusted one is wrong where prefill does not slow down token generation.
// Therefore the smaller of the two deviations from the median is used, and
// small deviations are ignored.
func (c *Cell) batchingSlowness(h *health) float64 {
	if h.tokenTime.N < minSpeedSamples || c.medianTokenTime == 0 || c.medianAdjustedTime == 0 {
		return 1
	}
	plain, pace := h.tokenTime.Value/c.medianTokenTime, h.adjustedTokenTime.Value/c.medianAdjustedTime
	slow, fast := min(plain, pace), max(plain, pace)
	switch {
	case slow > minSpeedRatio:
		return min(slow, 2*slowFactor)
	case fast < 1/minSpeedRatio:
		return max(fast, 1.0/2)
	}
	return 1
}

// engineSlowdown returns the processing time of a batching engine relative to the
// others. The last few streams show that an engine has become slow before its measured
// speed does.
func (c *Cell) engineSlowdown(e *endpointState) float64 {
	if c.pool.MeasuresSpeed() {
		return max(e.MeasuredSlowdown(), c.batchingSlowness(&e.health))
	}
	return c.batchingSlowness(&e.health)
}

func (h *health) eject(reason EjectReason, now time.Duration) {
	if h.reason == "" {
		h.backoff = initialBackoff
	} else {
		h.backoff = min(2*h.backoff, maxBackoff)
	}
	h.reason = reason
	h.ejectedAt = now
	h.probeAt = now + h.backoff
	h.tokenTime, h.ttft, h.adjustedTokenTime = stat.Mean{}, stat.Mean{}, stat.Mean{}
}

func (h *health) readmit() {
	h.reason = ""
	h.consecutiveFailures = 0
}

// stale reports whether a grant was given before its endpoint was ejected, so
// that its outcome says nothing about the current state of the endpoint.
func (h *health) stale(granted time.Duration) bool { return h.reason != "" && granted < h.probeAt }

// recordFailure records the failure of a grant or of a load report that began at
// the given time, and ejects the endpoint if it fails more than the others.
func (c *Cell) recordFailure(e *endpointState, began, now time.Duration) {
	h := &e.health
	if h.stale(began) || began < e.addedAt || c.isDisabled(FailedEjection) {
		return
	}
	if !h.isFailing {
		h.failingSince = now
	}
	h.failedAt, h.isFailing = now, true
	if c.othersFail(h) {
		c.counters.sharedFailures++
		h.consecutiveFailures = 0
		if h.reason != "" {
			h.readmit()
		}
		return
	}
	h.consecutiveFailures++
	h.addOutcome(1)
	probing := h.reason != ""
	switch {
	case probing && !c.isFailureOutlier(h):
		h.readmit()
		return
	case probing:
	case h.consecutiveFailures < maxConsecutiveFailures && !h.exceedsFailureRate():
		return
	case c.countEjected("")+1 >= len(c.sortedEndpoints) || !c.isFailureOutlier(h):
		return
	}
	h.eject(EjectedFailed, now)
	c.counters.ejections++
}

// addOutcome adds an outcome to the failure rate: 1 for a failure, 0 for a
// success.
func (h *health) addOutcome(failed float64) {
	h.outcomes++
	h.failureRate += failureRateSmoothing * (failed - h.failureRate)
}

func (h *health) exceedsFailureRate() bool {
	return h.outcomes >= minOutcomes && h.failureRate > maxFailureRate
}

// isFailureOutlier reports whether an endpoint fails a larger share of its
// requests than the others. If all endpoints fail at the same rate, ejecting
// some would only move their load to the others.
func (c *Cell) isFailureOutlier(h *health) bool {
	c.scratch = c.scratch[:0]
	for _, e := range c.sortedEndpoints {
		if e.health.outcomes >= minOutcomes && !e.policy.Draining {
			c.scratch = append(c.scratch, e.health.failureRate)
		}
	}
	if len(c.scratch) == 0 {
		return true
	}
	slices.Sort(c.scratch)
	baseline := c.scratch[(len(c.scratch)-1)/healthyDivisor]
	return h.failureRate > failureRateFactor*baseline+failureRateMargin
}

// othersFail reports whether nearly all other endpoints of which there is news since
// this one began to fail have failed too. What they share, such as a silence of all
// engines, is no news of one of them.
func (c *Cell) othersFail(h *health) bool {
	failing, healthy := 0, 0
	since := h.failingSince - newsLifetime
	for _, e := range c.sortedEndpoints {
		other := &e.health
		switch {
		case other == h || e.policy.Draining:
		case other.isFailing && other.failedAt >= since:
			failing++
		case !other.isFailing && other.hasSucceeded && other.succeededAt >= since:
			healthy++
		}
	}
	return failing > 0 && healthy < (failing+healthy+healthyDivisor-1)/healthyDivisor
}

// recordSuccess records that the endpoint served a request that was granted at the given
// time.
func (c *Cell) recordSuccess(e *endpointState, granted, now time.Duration) {
	h := &e.health
	h.consecutiveFailures = 0
	h.addOutcome(0)
	h.succeed(now)
	if h.reason == EjectedFailed && (now >= h.probeAt || h.hasPaused(granted)) {
		h.readmit()
	}
}

// succeed records that the endpoint has served a request or reported its load.
func (h *health) succeed(now time.Duration) {
	h.succeededAt, h.hasSucceeded, h.isFailing = now, true, false
}

// hasPaused reports whether the success of a request that was granted at the given time
// shows that the endpoint has only paused: the request had begun before the failures for
// which the endpoint was ejected, and went on after them.
func (h *health) hasPaused(granted time.Duration) bool {
	return granted < h.failingSince && !h.unreachable
}

// recordSpeed records the speed of the endpoint as observed with a grant.
func (c *Cell) recordSpeed(g *entry, p Progress, now time.Duration) {
	e, promptTokens := g.endpoint, g.request.PromptTokens
	h := &e.health
	if h.stale(g.Granted) {
		return
	}
	if p.FirstToken > 0 && e.policy.CacheTokens == 0 {
		perToken := p.FirstToken.Seconds() / float64(promptTokens+ttftPromptOffset)
		h.ttft.Add(perToken)
		c.ttftPerToken.Add(perToken)
	}
	if p.Tokens > 1 && p.Elapsed > p.FirstToken {
		perToken := (p.Elapsed - p.FirstToken).Seconds() / float64(p.Tokens-1)
		h.tokenTime.Add(perToken)
		c.pool.RecordProgress(&e.Engine, &g.RequestState, p.Tokens, p.Elapsed-p.FirstToken, now)
		h.adjustedTokenTime.Add(c.pool.NormalizedTokenTime(&e.Engine, perToken, now-(p.Elapsed-p.FirstToken), now))
	}
	if h.reason == EjectedSlow {
		c.evaluateProbe(e, now)
	}
	c.hasNewSamples = true
}

// evaluateProbe decides from one measurement whether to readmit an endpoint that
// was ejected as slow.
func (c *Cell) evaluateProbe(e *endpointState, now time.Duration) {
	h := &e.health
	if h.adjustedTokenTime.N == 0 {
		return
	}
	if c.medianAdjustedTime > 0 && h.adjustedTokenTime.Value > slowFactor*c.medianAdjustedTime && h.tokenTime.Value > slowFactor*c.medianTokenTime {
		h.eject(EjectedSlow, now)
		return
	}
	h.readmit()
}

// countEjected counts the endpoints that were ejected for a reason, or for any
// reason if it is "".
func (c *Cell) countEjected(reason EjectReason) int {
	n := 0
	for _, e := range c.sortedEndpoints {
		if e.health.reason != "" && (reason == "" || e.health.reason == reason) {
			n++
		}
	}
	return n
}

// ejectStragglers compares the endpoints with their median and ejects
// stragglers: endpoints that respond, but much more slowly than the others, so
// that callers see a late first token or a slow stream. The median is taken over
// the cell, so that no endpoint is ejected when all of them are slow.
func (c *Cell) ejectStragglers(now time.Duration) {
	if !c.hasNewSamples || now-c.lastStragglerCheck < stragglerCheckInterval || c.isDisabled(SlowEjection) {
		return
	}
	c.lastStragglerCheck, c.hasNewSamples = now, false
	medianFirst := c.median(func(h *health) stat.Mean { return h.ttft })
	c.medianTokenTime = c.median(func(h *health) stat.Mean { return h.tokenTime })
	c.medianAdjustedTime = c.median(func(h *health) stat.Mean { return h.adjustedTokenTime })
	for _, e := range c.sortedEndpoints {
		h := &e.health
		if h.reason != "" || !(tooSlow(h.adjustedTokenTime, c.medianAdjustedTime) && tooSlow(h.tokenTime, c.medianTokenTime) || tooSlow(h.ttft, medianFirst)) {
			continue
		}
		if c.countEjected(EjectedSlow) >= (len(c.sortedEndpoints)+maxSlowDivisor-1)/maxSlowDivisor || c.countEjected("")+1 >= len(c.sortedEndpoints) {
			return
		}
		h.eject(EjectedSlow, now)
		c.counters.ejections++
	}
}

func tooSlow(a stat.Mean, median float64) bool {
	return median > 0 && a.N >= minSpeedSamples && a.Value > slowFactor*median
}

// median returns the lower median of a measurement over the endpoints that have
// it, or zero if there are fewer than two.
func (c *Cell) median(of func(*health) stat.Mean) float64 {
	c.scratch = c.scratch[:0]
	for _, e := range c.sortedEndpoints {
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

// ObserveLoad records the load reported by an endpoint.
func (c *Cell) ObserveLoad(name Endpoint, l Load) {
	e := c.endpoints[name]
	if e == nil {
		return
	}
	now := c.now()
	e.health.succeed(now)
	e.load = loadReport{at: now, known: true, foreign: max(0, l.Running+l.Waiting-e.load.peakRunning), peakRunning: e.Running}
	if e.health.unreachable {
		e.health.unreachable = false
		e.health.probeAt = min(e.health.probeAt, now)
	}
}

// LoadFailed records that an endpoint did not report its load. This counts as a
// failure, so that a crashed endpoint is detected without failing a request.
func (c *Cell) LoadFailed(name Endpoint) {
	e := c.endpoints[name]
	if e == nil {
		return
	}
	now := c.now()
	if e.health.reason == "" {
		c.recordFailure(e, now, now)
	}
	// An endpoint that reports no load is probed with requests only from time to
	// time: load reports may fail where requests succeed.
	if e.health.reason != "" && now-e.health.ejectedAt < maxBackoff {
		e.health.unreachable = true
		e.health.probeAt = now + initialBackoff
	}
}
