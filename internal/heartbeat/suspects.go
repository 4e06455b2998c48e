package heartbeat

import (
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/quarantine"
)

// suspectsWake returns the channel that signals urgent updates of suspect requests.
// It is nil where daemons don't quarantine requests.
func (x *Exchanger) suspectsWake() <-chan struct{} {
	if x.Quarantine == nil {
		return nil
	}
	return x.Quarantine.Wake()
}

// suspects returns the updates of suspect requests for one message: all if full is
// set, else recent ones.
func (x *Exchanger) suspects(full bool) []*peerv1.Suspect {
	if x.Quarantine == nil {
		return nil
	}
	updates := x.Quarantine.TakeUpdates(maxSuspects)
	if full {
		updates = x.Quarantine.All()
	}
	suspects := make([]*peerv1.Suspect, 0, len(updates))
	for _, n := range updates {
		suspects = append(suspects, toSuspect(n))
	}
	return suspects
}

func (x *Exchanger) suspectsDigest() uint64 {
	if x.Quarantine == nil {
		return 0
	}
	return x.Quarantine.Digest()
}

func (x *Exchanger) applySuspects(suspects []*peerv1.Suspect) {
	if x.Quarantine == nil {
		return
	}
	for _, s := range suspects {
		x.Quarantine.Apply(fromSuspect(s))
	}
}

func toSuspect(n quarantine.Update) *peerv1.Suspect {
	s := &peerv1.Suspect{Fingerprint: uint64(n.Fingerprint), Completed: n.Completed, AgeMs: milliseconds(n.Age)}
	for _, e := range n.Terminated {
		s.Ended = append(s.Ended, uint32(e))
	}
	return s
}

func fromSuspect(s *peerv1.Suspect) quarantine.Update {
	n := quarantine.Update{
		Fingerprint: quarantine.Fingerprint(s.GetFingerprint()),
		Completed:   s.GetCompleted(),
		Age:         time.Duration(s.GetAgeMs()) * time.Millisecond,
	}
	for _, e := range s.GetEnded() {
		n.Terminated = append(n.Terminated, quarantine.EndpointID(e))
	}
	return n
}
