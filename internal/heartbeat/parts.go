package heartbeat

import (
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/quarantine"
)

// partsWake returns the channel that signals urgent updates of suspect parts. It is nil
// where daemons don't quarantine parts.
func (x *Exchanger) partsWake() <-chan struct{} {
	if x.Parts == nil {
		return nil
	}
	return x.Parts.Wake()
}

// parts returns the updates of suspect parts for one message: all if full is set, else
// recent ones.
func (x *Exchanger) parts(full bool) []*peerv1.SuspectPart {
	if x.Parts == nil {
		return nil
	}
	updates := x.Parts.TakeUpdates(maxSuspects)
	if full {
		updates = x.Parts.All()
	}
	parts := make([]*peerv1.SuspectPart, 0, len(updates))
	for _, n := range updates {
		parts = append(parts, x.toSuspectPart(n))
	}
	return parts
}

func (x *Exchanger) partsDigest() uint64 {
	if x.Parts == nil {
		return 0
	}
	return x.Parts.Digest()
}

func (x *Exchanger) applyParts(parts []*peerv1.SuspectPart) {
	if x.Parts == nil {
		return
	}
	for _, p := range parts {
		x.Parts.Apply(x.fromSuspectPart(p))
	}
}

func (x *Exchanger) toSuspectPart(n quarantine.PartUpdate) *peerv1.SuspectPart {
	p := &peerv1.SuspectPart{Key: uint64(n.Key)}
	for _, e := range n.Ended {
		p.Ended = append(p.Ended, uint32(e.Endpoint))
		p.EndedAgesMs = append(p.EndedAgesMs, milliseconds(x.Clock.Since(e.At)))
	}
	if !n.CompletedAt.IsZero() {
		age := milliseconds(x.Clock.Since(n.CompletedAt))
		p.CompletedAgeMs = &age
	}
	return p
}

func (x *Exchanger) fromSuspectPart(p *peerv1.SuspectPart) quarantine.PartUpdate {
	now := x.Clock.Now()
	before := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	n := quarantine.PartUpdate{Key: quarantine.PartKey(p.GetKey())}
	for i, e := range p.GetEnded() {
		if i < len(p.GetEndedAgesMs()) {
			n.Ended = append(n.Ended, quarantine.Termination{Endpoint: quarantine.EndpointID(e), At: before(p.GetEndedAgesMs()[i])})
		}
	}
	if p.CompletedAgeMs != nil {
		n.CompletedAt = before(p.GetCompletedAgeMs())
	}
	return n
}
