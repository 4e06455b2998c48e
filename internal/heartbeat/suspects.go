package heartbeat

import (
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/quarantine"
)

// suspectsWake returns the signal of urgent news; it never comes where daemons
// don't look after suspects.
func (x *Exchanger) suspectsWake() <-chan struct{} {
	if x.Suspects == nil {
		return nil
	}
	return x.Suspects.Wake()
}

func (x *Exchanger) suspects(full bool) []*peerv1.Suspect {
	if x.Suspects == nil {
		return nil
	}
	news := x.Suspects.TakeUpdates(maxSuspects)
	if full {
		news = x.Suspects.All()
	}
	suspects := make([]*peerv1.Suspect, 0, len(news))
	for _, n := range news {
		suspects = append(suspects, toSuspect(n))
	}
	return suspects
}

func (x *Exchanger) suspectsDigest() uint64 {
	if x.Suspects == nil {
		return 0
	}
	return x.Suspects.Digest()
}

func (x *Exchanger) takeSuspects(suspects []*peerv1.Suspect) {
	if x.Suspects == nil {
		return
	}
	for _, s := range suspects {
		x.Suspects.Apply(fromSuspect(s))
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
