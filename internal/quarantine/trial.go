package quarantine

import (
	"slices"
	"time"
)

const (
	// firstTrial is how long after the last termination a request with a quarantined
	// part is sent again, by one daemon, and keptForTrial the number of requests that
	// this daemon has kept back for it, after which it does so earlier, but not before
	// minTrial: a part that many requests have is mostly sound. Each termination beyond
	// the threshold multiplies the time by trialFactor, up to lastTrial, and each failed
	// trial of this daemon the number.
	firstTrial   = time.Minute
	keptForTrial = 20
	minTrial     = 2 * time.Second
	trialFactor  = 4
	lastTrial    = time.Hour
	// keptOfSuspect is the number of requests that must have been kept back with a part
	// that is suspect, but not quarantined, before a request with it is an early trial.
	keptOfSuspect = keptForTrial / 2
	// maxTrialRepeats limits the repetitions in a row of a trial without a result: each
	// may reach an endpoint.
	maxTrialRepeats = 2
)

// TrialResult is the result of a trial that has not completed: a request that was sent
// although parts of its prompt are quarantined.
type TrialResult int

const (
	// TrialNotSent means that the request has reached no endpoint.
	TrialNotSent TrialResult = iota
	// TrialWithoutResult means that no endpoint has run it to its end, for another reason
	// than that the endpoint terminated.
	TrialWithoutResult
	// TrialFailed means that an endpoint terminated.
	TrialFailed
)

// partTrial is the last trial of a part that this daemon has sent.
type partTrial struct {
	sentAt time.Time
	// repeat is set if the trial had no result and is to be repeated by another request;
	// repeats counts the repetitions in a row, by the same request too.
	repeat  bool
	repeats int
	// failed counts the trials in a row, up to this one, that have failed.
	failed int
}

// next returns the trial that follows.
func (t partTrial) next(now time.Time) partTrial {
	n := partTrial{sentAt: now, failed: t.failed}
	if t.repeat {
		n.repeats = t.repeats
	}
	return n
}

// due reports whether a request with a part may be sent again: some time after the last
// termination and the last trial, or early if enough requests have been kept back. Each
// termination beyond the threshold multiplies the time, but only a failed trial the number
// of requests: endpoints may have terminated at once, and say nothing about how common the
// part is.
func (t partTrial) due(now time.Time, s *suspectPart, kept int) (due, early bool) {
	wait, enough := firstTrial, keptForTrial
	for range len(s.counted()) - partThreshold {
		wait = min(wait*trialFactor, lastTrial)
	}
	for range t.failed {
		enough *= trialFactor
	}
	since := min(now.Sub(s.lastTermination()), now.Sub(t.sentAt))
	repeat := t.repeat && !s.lastTermination().After(t.sentAt)
	return since >= wait, since >= minTrial && (repeat || kept >= enough)
}

// countKept counts a request that is kept back.
func (p *Parts) countKept(keys []PartKey) {
	if len(p.kept) >= maxSuspects {
		clear(p.kept)
		clear(p.trials)
	}
	for _, k := range keys {
		p.kept[k]++
	}
}

// trialDue reports whether a request with some quarantined parts, and others that are
// suspect, may be sent as a trial, and whether that is early. An early trial has suspect
// parts that are common too: the rare one is more likely to be what terminates endpoints.
func (p *Parts) trialDue(quarantined, suspect []PartKey) (due, early bool) {
	now := p.clock.Now()
	rare := slices.ContainsFunc(suspect, func(k PartKey) bool { return p.kept[k] < keptOfSuspect })
	for _, k := range quarantined {
		partDue, partEarly := p.trials[k].due(now, p.suspects[k], p.kept[k])
		if partDue {
			continue
		}
		if !partEarly || rare || !p.trials[k].repeat && !p.isAmbiguous(k) {
			return false, false
		}
		early = true
	}
	return true, early
}

// isAmbiguous reports whether another quarantined part may be what has terminated the
// endpoints of a part. One that is quarantined alone is not tried early.
func (p *Parts) isAmbiguous(k PartKey) bool {
	for other, s := range p.suspects {
		if other != k && s.quarantined() && s.sharesTermination(p.suspects[k]) {
			return true
		}
	}
	return false
}

// sharesTermination reports whether a termination counts for both parts.
func (s *suspectPart) sharesTermination(other *suspectPart) bool {
	return slices.ContainsFunc(s.counted(), func(e Termination) bool {
		return slices.ContainsFunc(other.counted(), e.isSame)
	})
}

// MayRepeatTrial reports whether a request that is a trial of some parts may be sent to
// another endpoint after one has refused it, and counts that.
func (p *Parts) MayRepeatTrial(keys []PartKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range keys {
		if p.trials[k].repeats >= maxTrialRepeats {
			return false
		}
	}
	for _, k := range keys {
		if t, ok := p.trials[k]; ok {
			t.repeats++
			p.trials[k] = t
		}
	}
	return true
}

// RecordTrial records the result of a trial of some parts that has not completed. One that
// was not sent is due again at once and does not count.
func (p *Parts) RecordTrial(keys []PartKey, result TrialResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range keys {
		t, ok := p.trials[k]
		if !ok {
			continue
		}
		switch {
		case result == TrialFailed:
			t.failed = min(t.failed+1, maxTerminations)
		case result == TrialNotSent:
			t.repeat, t.sentAt = true, t.sentAt.Add(-minTrial)
		case t.repeats < maxTrialRepeats:
			t.repeat = true
			t.repeats++
		}
		p.trials[k] = t
	}
}
