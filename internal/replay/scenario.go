// Package replay plays a load in simulated time against the decisions of one
// cell in front of emulated engines that batch their requests. A minute of a
// large site takes seconds, and the same seed gives the same outcome, so that
// a change of the decisions can be judged before it runs anywhere.
package replay

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/internal/stat"
	"github.com/beechhead/beechhead/internal/strictjson"
	"github.com/beechhead/beechhead/pkg/table"
)

// Scenario is one file: engines, classes of requests, and what happens.
type Scenario struct {
	// Story describes the scenario.
	Story string `json:"story"`
	Seed  uint64 `json:"seed"`
	// Duration is how long requests arrive; those that run then are played to
	// their end.
	Duration table.Duration `json:"duration"`
	Engines  Engines        `json:"engines"`
	Classes  []Class        `json:"classes"`
	Bursts   []Burst        `json:"bursts,omitempty"`
	Crashes  []Crash        `json:"crashes,omitempty"`
	// Move is when all callers move to the next zone; zero is never.
	Move table.Duration `json:"move,omitempty"`
	// Handovers are when another coordinator takes over, which knows of the
	// requests that wait and run and nothing else.
	Handovers []table.Duration `json:"handovers,omitempty"`
	// Disabled mechanisms take no part in the decisions.
	Disabled []schedule.Mechanism `json:"disabled,omitempty"`

	// unstated means that callers do not state their deadlines.
	unstated bool
}

// endTimeout returns the time for a response that callers state when that much is left.
func (s *Scenario) endTimeout(left time.Duration) time.Duration {
	if s.unstated {
		return 0
	}
	return left
}

// Engines are engines that differ in speed and availability zone only.
type Engines struct {
	Count int `json:"count"`
	// Slowdowns multiply the time of each step. The engines of a zone have them in
	// turn; all are 1 if it is empty.
	Slowdowns []float64 `json:"slowdowns,omitempty"`
	// Zones is the number of availability zones, to which the engines belong in turn.
	Zones int `json:"zones,omitempty"`
	// Slots bounds the requests that run at once.
	Slots int `json:"slots"`
	// MemoryTokens is the memory that running requests and kept parts share.
	MemoryTokens int `json:"memoryTokens"`
	// Stalls make an engine slower from time to time; none if it is absent.
	Stalls *Stalls `json:"stalls,omitempty"`
	// StepMs is the time of a step without work, to which each running
	// request adds StepMsPerRun and each thousand tokens of running requests
	// StepMsPerThousand.
	StepMs            float64 `json:"stepMs"`
	StepMsPerRun      float64 `json:"stepMsPerRun"`
	StepMsPerThousand float64 `json:"stepMsPerThousand"`
	// ReadPerMs is how many tokens of prompts are read in a millisecond, in
	// chunks of ChunkTokens a step. Each million pairs of a token and one
	// before it adds PairsMs.
	ReadPerMs   float64 `json:"readPerMs"`
	ChunkTokens int     `json:"chunkTokens"`
	PairsMs     float64 `json:"pairsMs"`
	// FirstMs is the time from a request's arrival until it may be read.
	FirstMs float64 `json:"firstMs"`
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int `json:"tokensPerEvent"`
	// FetchMs is the time that fetching parts from another engine takes.
	FetchMs float64 `json:"fetchMs"`
}

// Stalls multiply the time of an engine's steps by Factor in a Share of all periods,
// which are Every long and drawn for each engine by itself.
type Stalls struct {
	Share  float64        `json:"share"`
	Factor float64        `json:"factor"`
	Every  table.Duration `json:"every"`
}

// factor returns the factor of an engine's times in a period. It is the same in each
// play of a seed, whatever the decisions are.
func (s *Stalls) factor(seed uint64, engine int, at time.Duration) float64 {
	if s == nil {
		return 1
	}
	period := uint64(at / s.Every.Std())
	draw := float64(stat.Mix(stat.Mix(seed)^uint64(engine)<<32^period)>>11) / (1 << 53)
	if draw >= s.Share {
		return 1
	}
	return s.Factor
}

// Class is the requests of one class.
type Class struct {
	Name     string         `json:"name"`
	Tier     int            `json:"tier"`
	Rate     float64        `json:"rate"`
	Target   table.Duration `json:"target"`
	Pause    table.Duration `json:"pause"`
	Deadline table.Duration `json:"deadline"`
	// Leaves is how long callers wait for the first event; zero is until the
	// deadline.
	Leaves table.Duration `json:"leaves,omitempty"`
	// Worth is earned by an answer in time, LateWorth by a later one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	// CommonTokens begin every prompt of the class; one of Subjects parts with
	// SubjectTokens follows.
	CommonTokens  int `json:"commonTokens"`
	Subjects      int `json:"subjects"`
	SubjectTokens int `json:"subjectTokens"`
	// ZoneShares is the share of the class's requests that comes from each zone; all
	// have the same if it is empty. BodyBytes is the size of a request's body.
	ZoneShares []float64 `json:"zoneShares,omitempty"`
	BodyBytes  int       `json:"bodyBytes,omitempty"`
	// HotShare is the share of the requests that have the first subject.
	HotShare float64 `json:"hotShare,omitempty"`
	Prompt   Size    `json:"prompt"`
	Answer   Size    `json:"answer"`
}

// Size is a log-normal number of tokens.
type Size struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"sigma"`
	Max   int     `json:"max"`
}

// Burst multiplies the arrivals of a class, or of all, for a while.
type Burst struct {
	Class  string         `json:"class,omitempty"`
	At     table.Duration `json:"at"`
	For    table.Duration `json:"for"`
	Factor float64        `json:"factor"`
}

// Crash makes a number of engines lose all that they run and keep.
type Crash struct {
	At    table.Duration `json:"at"`
	For   table.Duration `json:"for"`
	Count int            `json:"count"`
	// Zone restricts the crash to the engines of a zone, counted from one; zero is
	// all zones.
	Zone int `json:"zone,omitempty"`
}

// Read reads a scenario and checks it.
func Read(path string) (s *Scenario, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	return Parse(data)
}

// Parse reads a scenario from its text. The error lists every fault.
func Parse(data []byte) (*Scenario, error) {
	s := &Scenario{}
	var faults []string
	for _, f := range strictjson.Decode(data, s) {
		faults = append(faults, fmt.Sprintf("%s is %s; allowed is %s", f.Path, f.Value, f.Allowed))
	}
	faults = append(faults, s.check()...)
	if len(faults) > 0 {
		return nil, errors.New(strings.Join(faults, "\n"))
	}
	return s, nil
}

// check returns what can't be played.
func (s *Scenario) check() []string {
	var faults []string
	need := func(ok bool, what string) {
		if !ok {
			faults = append(faults, what)
		}
	}
	e := &s.Engines
	need(s.Duration > 0, "duration must be positive")
	need(e.Count > 0 && e.Slots > 0 && e.MemoryTokens > 0, "engines need a count, slots and memory")
	need(e.StepMs > 0 && e.ReadPerMs > 0 && e.ChunkTokens > 0 && e.TokensPerEvent > 0, "engines need times, a chunk and tokens per event")
	for _, slowdown := range e.Slowdowns {
		need(slowdown > 0, "slowdowns must be positive")
	}
	need(e.Stalls == nil || e.Stalls.Every > 0 && e.Stalls.Factor > 0, "stalls need a length and a factor")
	need(len(s.Classes) > 0, "there must be a class")
	for _, m := range s.Disabled {
		need(slices.Contains(schedule.Mechanisms(), m), fmt.Sprintf("unknown mechanism %q", m))
	}
	names := map[string]bool{"": true}
	for _, c := range s.Classes {
		need(c.Name != "" && !names[c.Name], fmt.Sprintf("class %q needs a name of its own", c.Name))
		need(len(c.ZoneShares) == 0 || len(c.ZoneShares) == max(1, e.Zones), fmt.Sprintf("class %q needs a share for each zone", c.Name))
		need(c.Rate > 0 && c.Deadline > 0 && c.Prompt.Max > 0 && c.Answer.Max > 0, fmt.Sprintf("class %q needs a rate, a deadline and sizes", c.Name))
		names[c.Name] = true
	}
	for _, b := range s.Bursts {
		need(names[b.Class], fmt.Sprintf("a burst names the unknown class %q", b.Class))
	}
	return faults
}

// zone returns the availability zone of an engine, slowdown the factor of its times.
func (e *Engines) zone(i int) string { return zoneName(i % max(1, e.Zones)) }

func (e *Engines) slowdown(i int) float64 {
	if len(e.Slowdowns) == 0 {
		return 1
	}
	return e.Slowdowns[i/max(1, e.Zones)%len(e.Slowdowns)]
}

// zoneName returns the name of a zone by its index.
func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// factor returns by how much a class's arrivals are multiplied.
func (s *Scenario) factor(class string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if (b.Class == "" || b.Class == class) && at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			factor *= b.Factor
		}
	}
	return factor
}
