package cell

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/endpointname"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/pkg/table"
)

// queuePerSlot is the number of requests that may wait in a cell's queue for
// each request that its endpoints can run concurrently.
const queuePerSlot = 16

// config returns the scheduler configuration of a cell, built from the table.
func (c *Coordinator) config(id ID) schedule.Config {
	cfg := schedule.Config{Discipline: c.discipline, Disabled: c.Disabled, IndependentHosts: c.share}
	members := c.plan.Members(id)
	for _, e := range members {
		cfg.Endpoints = append(cfg.Endpoints, schedule.EndpointPolicy{
			Name:        schedule.Endpoint(e.Name),
			ID:          endpointname.ID(e.Name),
			Concurrency: (e.Concurrency + c.share - 1) / c.share,
			CanPreempt:  e.CanCancel && e.CanResume,
			CacheTokens: e.MemoryTokens / c.share,
			Zone:        e.Zone,
			Version:     schedule.Version(e.SoftwareVersion),
			Draining:    e.Draining || c.draining[e.Name],
		})
		cfg.MaxWaiting += queuePerSlot * e.Concurrency
	}
	if len(members) == 0 {
		return cfg
	}
	pool := members[0].Pool
	// The queue limit of a class is divided among the cells of the pool.
	cells := len(c.plan.Cells(pool))
	for i := range c.table.Classes {
		cl := &c.table.Classes[i]
		if !slices.Contains(cl.Pools, pool) {
			continue
		}
		cfg.Classes = append(cfg.Classes, schedule.ClassPolicy{
			Name:             schedule.Class(cl.Name),
			Tier:             schedule.Tier(cl.Tier),
			Weight:           cl.Weight,
			MaxWait:          cl.MaxWait.Std(),
			MaxQueue:         (cl.Limits.Queue + cells - 1) / cells,
			Preemptible:      cl.Preemptible && cl.Idempotent,
			FirstTokenTarget: cl.Target.FirstToken.Std(),
			GapTarget:        cl.Target.BetweenTokens.Std(),
		})
	}
	return cfg
}

func (s *Session) request(r *peerv1.Reserve) schedule.Request {
	req := schedule.Request{
		ID:              s.id(r.GetSequence()),
		Class:           schedule.Class(r.GetClass()),
		Account:         schedule.Account(r.GetAccount()),
		PromptTokens:    int(r.GetPromptTokens()),
		EstimatedTokens: int(r.GetEstimatedTokens()),
		Prefix:          r.GetPrefix(),
		Parts:           parts(r.GetParts()),
		Zone:            r.GetZone(),
		Waited:          time.Duration(r.GetWaitedMs()) * time.Millisecond,
		StartTimeout:    time.Duration(r.GetUsefulMs()) * time.Millisecond,
		EndTimeout:      time.Duration(r.GetDeadlineMs()) * time.Millisecond,
		Fingerprint:     r.GetFingerprint(),
		BodyBytes:       int(r.GetBodyBytes()),
	}
	if r.Version != nil {
		version := schedule.Version(r.GetVersion())
		req.Version = &version
	}
	for _, name := range r.GetExcluded() {
		req.Excluded = append(req.Excluded, schedule.Endpoint(name))
	}
	return req
}

func (s *Session) holding(h *peerv1.Holding) schedule.Holding {
	return schedule.Holding{
		ID:                 s.id(h.GetSequence()),
		Class:              schedule.Class(h.GetClass()),
		Account:            schedule.Account(h.GetAccount()),
		Endpoint:           schedule.Endpoint(h.GetEndpoint()),
		EndpointID:         endpointname.ID(table.EndpointName(h.GetEndpoint())),
		EstimatedTokens:    int(h.GetEstimatedTokens()),
		PromptTokens:       int(h.GetPromptTokens()),
		Parts:              parts(h.GetParts()),
		FirstTokenReceived: h.GetBegun(),
		Elapsed:            time.Duration(h.GetElapsedMs()) * time.Millisecond,
		Left:               time.Duration(h.GetLeftMs()) * time.Millisecond,
		Tokens:             int(h.GetTokens()),
	}
}

func parts(ps []*peerv1.PromptPart) []schedule.Part {
	if len(ps) == 0 {
		return nil
	}
	all := make([]schedule.Part, 0, len(ps))
	for _, p := range ps {
		all = append(all, schedule.Part{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return all
}

func report(r *peerv1.Release) schedule.Report {
	return schedule.Report{
		FirstToken:  time.Duration(r.GetFirstTokenUs()) * time.Microsecond,
		Duration:    time.Duration(r.GetDurationMs()) * time.Millisecond,
		LongestGap:  time.Duration(r.GetLongestPauseUs()) * time.Microsecond,
		Tokens:      int(r.GetTokens()),
		Done:        r.GetOutcome() == peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE,
		Failed:      failed(r.GetOutcome()),
		Refused:     r.GetOutcome() == peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT,
		NoRateLimit: r.GetUnlimited(),
		NotBrittle:  r.GetNotBrittle(),
	}
}

func progress(p *peerv1.Progress) schedule.Progress {
	return schedule.Progress{
		FirstToken: time.Duration(p.GetFirstTokenUs()) * time.Microsecond,
		Elapsed:    time.Duration(p.GetElapsedUs()) * time.Microsecond,
		Tokens:     int(p.GetTokens()),
	}
}

func failed(o peerv1.ReleaseOutcome) bool {
	return o == peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED ||
		o == peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT
}
