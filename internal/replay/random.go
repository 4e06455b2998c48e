package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Random draws a scenario of a few seconds from a seed: engines of any speed,
// step, chunk, batch and number, two or three classes, bursts, and perhaps a
// crash. The load stays near what the engines can do, so that the decisions
// matter.
func Random(seed uint64) *Scenario {
	d := drawer{rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // a replay
	s := &Scenario{
		Story:    fmt.Sprintf("Drawn from seed %d.", seed),
		Seed:     seed,
		Duration: table.Duration(8 * time.Second),
		Engines:  d.engines(),
	}
	s.Classes = append(s.Classes, d.streams(&s.Engines), d.prompts(&s.Engines))
	if d.IntN(2) == 0 {
		s.Classes = append(s.Classes, d.shorts(&s.Engines))
	}
	load := d.between(0.5, 1.1) / s.load()
	for i := range s.Classes {
		s.Classes[i].Rate *= load
		s.Bursts = append(s.Bursts, Burst{
			Class:  s.Classes[i].Name,
			At:     table.Duration(d.duration(500*time.Millisecond, 5*time.Second)),
			For:    table.Duration(d.duration(time.Second, 3*time.Second)),
			Factor: d.between(1, 2.5),
		})
	}
	if s.Engines.Count > 2 && d.IntN(3) == 0 {
		s.Crashes = []Crash{{At: table.Duration(3 * time.Second), For: table.Duration(2 * time.Second), Count: 1 + s.Engines.Count/6}}
	}
	return s
}

type drawer struct{ *rand.Rand }

// between draws evenly on a logarithmic scale.
func (d drawer) between(low, high float64) float64 {
	return low * math.Exp(d.Float64()*math.Log(high/low))
}

func (d drawer) duration(low, high time.Duration) time.Duration {
	return time.Duration(d.between(float64(low), float64(high))).Round(time.Millisecond)
}

func (d drawer) engines() Engines {
	read := d.between(20, 200)
	return Engines{
		Count:             int(d.between(1, 40)),
		Slots:             int(d.between(8, 96)),
		MemoryTokens:      int(d.between(200_000, 800_000)),
		StepMs:            d.between(2, 12),
		StepMsPerRun:      d.between(0.005, 0.15),
		StepMsPerThousand: d.between(0.001, 0.006),
		ReadPerMs:         read,
		ChunkTokens:       256 << d.IntN(5),
		PairsMs:           d.between(0.1, 0.6) * 40 / read,
		FirstMs:           d.between(5, 60),
		TokensPerEvent:    1 + d.IntN(10),
		FetchMs:           d.between(3, 20),
	}
}

// event is how long an event takes with half of the slots in use.
func (e *Engines) event() time.Duration {
	step := e.StepMs + e.StepMsPerRun*float64(e.Slots)/2
	return time.Duration(step * float64(e.TokensPerEvent) * float64(time.Millisecond))
}

// streams are long answers to short prompts, which must not stand still.
func (d drawer) streams(e *Engines) Class {
	return Class{
		Name: "stream", Tier: d.IntN(2), Rate: 1,
		Target:   table.Duration(d.duration(250*time.Millisecond, time.Second)),
		Pause:    table.Duration(e.event() + d.duration(60*time.Millisecond, 400*time.Millisecond)),
		Deadline: table.Duration(12 * time.Second), Worth: d.between(1, 4), LateWorth: 0.2,
		CommonTokens: 100, Subjects: 200, SubjectTokens: 100,
		Prompt: Size{Mean: d.between(200, 1200), Sigma: 1, Max: 4000},
		Answer: Size{Mean: d.between(100, 400), Sigma: 0.6, Max: 1000},
	}
}

// prompts are long prompts with short or long answers.
func (d drawer) prompts(e *Engines) Class {
	return Class{
		Name: "prompt", Tier: d.IntN(3), Rate: d.between(0.2, 2),
		Target:   table.Duration(d.duration(800*time.Millisecond, 3*time.Second)),
		Pause:    table.Duration(4*e.event() + time.Second),
		Deadline: table.Duration(12 * time.Second), Worth: d.between(1, 4), LateWorth: 0.5,
		CommonTokens: 2000, Subjects: 60, SubjectTokens: 3000,
		Prompt: Size{Mean: d.between(1500, 7000), Sigma: 1.1, Max: 40_000},
		Answer: Size{Mean: d.between(30, 400), Sigma: 0.8, Max: 1000},
	}
}

// shorts are short prompts with short answers.
func (d drawer) shorts(e *Engines) Class {
	return Class{
		Name: "short", Tier: 1 + d.IntN(2), Rate: d.between(0.5, 3),
		Target:   table.Duration(d.duration(300*time.Millisecond, 800*time.Millisecond)),
		Pause:    table.Duration(2*e.event() + 400*time.Millisecond),
		Deadline: table.Duration(4 * time.Second), Worth: 0.5, LateWorth: 0.15,
		CommonTokens: 300, Subjects: 100, SubjectTokens: 200,
		Prompt: Size{Mean: 1500, Sigma: 1, Max: 6000},
		Answer: Size{Mean: 25, Sigma: 1, Max: 90},
	}
}

// load is which part of the engines the classes keep busy, by reading or by
// slots, whichever is more.
func (s *Scenario) load() float64 {
	reading, slots := 0.0, 0.0
	e := &s.Engines
	for _, c := range s.Classes {
		reading += c.Rate * (c.Prompt.Mean + float64(c.SubjectTokens)/4) / e.ReadPerMs / 1000
		slots += c.Rate * c.Answer.Mean * (e.StepMs + e.StepMsPerRun*float64(e.Slots)/2) / 1000 / float64(e.Slots)
	}
	return max(reading, slots) / float64(e.Count)
}
