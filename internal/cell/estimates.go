package cell

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/batching"
	"github.com/beechhead/beechhead/internal/enginespeed"
	"github.com/beechhead/beechhead/internal/interference"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/schedule"
)

// What a coordinator has measured of a cell would be lost with it. So it sends the
// estimates to the hosts that would coordinate the cell next, which keep them and send
// them to a new coordinator; see package placement.

const (
	// estimatesInterval is the minimum time between two messages with the estimates of
	// a cell.
	estimatesInterval = 2 * time.Second
	// estimatesBytesPerSecond limits the estimates that a coordinator sends to other
	// hosts. With many cells, each is sent less often.
	estimatesBytesPerSecond = 1024
	// estimateKeepers is the number of other hosts that get the estimates of a cell.
	estimateKeepers = 2
)

// estimateSender limits the estimates that are sent.
type estimateSender struct {
	// next is when estimates may be sent again.
	next time.Time
	// sent has when the estimates of each cell were last sent.
	sent map[ID]time.Time
}

// due returns the cell whose estimates have not been sent for the longest time, or
// false if none is due.
func (e *estimateSender) due(cells map[ID]*cellState, now time.Time) (oldest ID, ok bool) {
	if now.Before(e.next) {
		return "", false
	}
	for id := range e.sent {
		if cells[id] == nil {
			delete(e.sent, id)
		}
	}
	for id := range cells {
		at, sent := e.sent[id]
		if sent && now.Sub(at) < estimatesInterval {
			continue
		}
		if !ok || at.Before(e.sent[oldest]) || at.Equal(e.sent[oldest]) && id < oldest {
			oldest, ok = id, true
		}
	}
	return oldest, ok
}

// publishEstimates adds the estimates of one cell to the responses to its keepers, if
// those of some cell are due.
func (c *Coordinator) publishEstimates(out outbox) {
	now := c.clock.Now()
	id, ok := c.estimates.due(c.cells, now)
	if !ok {
		return
	}
	last, wasSent := c.estimates.sent[id]
	c.estimates.sent[id] = now
	measured, ok := c.cells[id].Measured()
	if !ok || wasSent && measured.Age > now.Sub(last) {
		return
	}
	message := estimatesMessage(id, &measured)
	bytes := 0
	for _, s := range c.keepers(id) {
		resp := out.response(s)
		resp.Estimates = append(resp.Estimates, message)
		if s.key.host != schedule.Host(c.self) {
			bytes += proto.Size(message)
			c.estimateCounters.Sent++
		}
	}
	c.estimates.next = now.Add(time.Duration(float64(bytes) / estimatesBytesPerSecond * float64(time.Second)))
}

// keepers returns the sessions of the hosts that get the estimates of a cell: this host,
// which costs nothing, and the next ones in the ranking that have a session.
func (c *Coordinator) keepers(id ID) (keepers []*Session) {
	sessions := make(map[membership.HostID]*Session, len(c.sessions))
	for key, s := range c.sessions {
		sessions[membership.HostID(key.host)] = s
	}
	if s := sessions[c.self]; s != nil {
		keepers = append(keepers, s)
		delete(sessions, c.self)
	}
	for range estimateKeepers {
		h, ok := c.ranking.FirstOf(id, c.plan.Region(id), func(h membership.HostID) bool { return sessions[h] != nil })
		if !ok {
			break
		}
		keepers = append(keepers, sessions[h.ID])
		delete(sessions, h.ID)
	}
	return keepers
}

// adoptEstimates adopts the estimates of an earlier coordinator.
func (c *Coordinator) adoptEstimates(all []*peerv1.CellEstimates) {
	for _, message := range all {
		id := ID(message.GetCell())
		if len(c.plan.Members(id)) == 0 {
			continue
		}
		if measured, ok := measuredFrom(message); ok && c.cell(id).AdoptMeasured(measured) {
			c.estimateCounters.Adopted++
		} else {
			c.estimateCounters.Ignored++
		}
	}
}

// EstimateCounters counts messages with estimates of cells.
type EstimateCounters struct {
	// Sent counts those sent to other hosts, Adopted those adopted from an earlier
	// coordinator, Ignored those that were too old or invalid.
	Sent    int64 `json:"sent"`
	Adopted int64 `json:"adopted"`
	Ignored int64 `json:"ignored"`
}

func estimatesMessage(id ID, m *schedule.Measured) *peerv1.CellEstimates {
	message := &peerv1.CellEstimates{
		Cell:               string(id),
		AgeMs:              uint32(m.Age / time.Millisecond),
		PrefillRate:        m.PrefillRate,
		PrefillRateSamples: uint32(m.PrefillRateSamples),
		OverheadUs:         uint32(m.Overhead / time.Microsecond),
		OverheadSamples:    uint32(m.OverheadSamples),
		EventMoments:       m.Interference.Event[:],
		WorkMoments:        m.Work[:],
		MaxPrefillUs:       uint32(m.Interference.MaxPrefill * 1e6),
		MaxPrefillSamples:  uint32(m.Interference.MaxPrefillSamples),
	}
	for _, e := range m.Engines {
		message.Engines = append(message.Engines, &peerv1.EngineEstimate{
			Endpoint:      e.Name,
			RatioPermille: uint32(math.Round(e.Ratio * 1000)),
			ObservedMs:    uint32(e.Observed / time.Millisecond),
			Decode:        e.Decode,
		})
	}
	for i := range m.Classes {
		class := &m.Classes[i]
		message.Classes = append(message.Classes, &peerv1.ClassEstimate{
			Class:               string(class.Class),
			RunMs:               uint32(class.RunTime / time.Millisecond),
			Runs:                uint32(class.Runs),
			LengthMean:          class.LengthMean,
			LengthVariance:      class.LengthVariance,
			Lengths:             uint32(class.Lengths),
			ViolationsPerSecond: class.Violations,
			Protected:           class.Protected,
		})
	}
	return message
}

// measuredFrom returns what a message says; false if it is of another version. Whoever
// adopts it checks the values.
func measuredFrom(message *peerv1.CellEstimates) (m *schedule.Measured, ok bool) {
	m = &schedule.Measured{Estimates: batching.Estimates{
		Age:                time.Duration(message.GetAgeMs()) * time.Millisecond,
		PrefillRate:        message.GetPrefillRate(),
		PrefillRateSamples: int(message.GetPrefillRateSamples()),
		Overhead:           time.Duration(message.GetOverheadUs()) * time.Microsecond,
		OverheadSamples:    int(message.GetOverheadSamples()),
		Interference: interference.Estimates{
			MaxPrefill:        float64(message.GetMaxPrefillUs()) / 1e6,
			MaxPrefillSamples: int(message.GetMaxPrefillSamples()),
		},
	}}
	ok = copyMoments(m.Interference.Event[:], message.GetEventMoments()) &&
		copyMoments(m.Work[:], message.GetWorkMoments())
	for _, e := range message.GetEngines() {
		m.Engines = append(m.Engines, batching.EngineEstimate{
			Name:     e.GetEndpoint(),
			Ratio:    float64(e.GetRatioPermille()) / 1000,
			Observed: min(time.Duration(e.GetObservedMs())*time.Millisecond, enginespeed.MaxObserved),
			Decode:   e.GetDecode(),
		})
	}
	for _, class := range message.GetClasses() {
		m.Classes = append(m.Classes, schedule.MeasuredClass{
			Class: schedule.Class(class.GetClass()),
			ClassEstimate: batching.ClassEstimate{
				RunTime:    time.Duration(class.GetRunMs()) * time.Millisecond,
				Runs:       int(class.GetRuns()),
				Violations: class.GetViolationsPerSecond(),
				Protected:  class.GetProtected(),
			},
			LengthMean:     class.GetLengthMean(),
			LengthVariance: class.GetLengthVariance(),
			Lengths:        int(class.GetLengths()),
		})
	}
	return m, ok
}

// copyMoments copies the sums of a regression. It returns false if their number differs.
func copyMoments(to, from []float64) bool { return copy(to, from) == len(to) && len(from) == len(to) }
