// Package experiment reads the files that describe load experiments and draws
// their arrivals, which depend on the file and the seed only.
package experiment

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/strictjson"
	"github.com/beechhead/beechhead/pkg/table"
)

// Experiment is one file: a site, the load on it, and the faults to come.
type Experiment struct {
	// Story describes the experiment.
	Story string `json:"story"`
	// Seed decides the arrivals; the same seed gives the same arrivals.
	Seed uint64 `json:"seed"`
	// Duration is how long requests arrive.
	Duration table.Duration `json:"duration"`
	// Grace is how long running requests may go on after the last arrival.
	Grace table.Duration `json:"grace"`
	// Factor multiplies every rate; zero is one.
	Factor float64 `json:"factor,omitempty"`
	Site   Site    `json:"site"`
	// Loads has one entry a class.
	Loads  []Load  `json:"loads"`
	Faults []Fault `json:"faults"`
}

// Site is the size and the speed of the site.
type Site struct {
	Daemons int `json:"daemons"`
	Zones   int `json:"zones"`
	// Clients is how many callers' processes there are, each of which follows
	// the addresses by itself.
	Clients int       `json:"clients"`
	Engines []Engines `json:"engines"`
}

// Engines are engines of one speed.
type Engines struct {
	Count       int `json:"count"`
	Concurrency int `json:"concurrency"`
	// PromptToken is the time to take in one token of a prompt.
	PromptToken table.Duration `json:"promptToken"`
	// Token is the time between tokens when the engine is idle.
	Token table.Duration `json:"token"`
	// Crowding is by how much Token grows when the engine is full, as a share.
	Crowding float64 `json:"crowding"`
	// Prefixes bounds the prompt prefixes that the engine caches.
	Prefixes int `json:"prefixes"`
	// LoadLag is by how much its load reports lag.
	LoadLag table.Duration `json:"loadLag"`
}

// Load is the requests of one class.
type Load struct {
	Class table.Class `json:"class"`
	// Rate is in requests per second; arrivals are a Poisson process.
	Rate   float64 `json:"rate"`
	Bursts []Burst `json:"bursts"`
	// Answer is the length of answers; it must be absent for calls of plain
	// services.
	Answer *Answer `json:"answer,omitempty"`
	Prompt Prompt  `json:"prompt"`
	// Accounts share the requests.
	Accounts []Share `json:"accounts"`
}

// IsCall reports whether the load calls a plain service.
func (l *Load) IsCall() bool { return l.Answer == nil }

// Burst is a span of time in which more requests arrive.
type Burst struct {
	At     table.Duration `json:"at"`
	For    table.Duration `json:"for"`
	Factor float64        `json:"factor"`
}

// Answer is a log-normal distribution of answer lengths, in tokens.
type Answer struct {
	Median float64 `json:"median"`
	// Sigma is the standard deviation of the logarithm.
	Sigma float64 `json:"sigma"`
	Max   int     `json:"max"`
}

// Prompt describes the prompts.
type Prompt struct {
	Tokens int `json:"tokens"`
	// Prefixes is how many different beginnings there are.
	Prefixes int `json:"prefixes"`
}

// Share is an account's share of a class.
type Share struct {
	Account table.AccountName `json:"account"`
	Weight  float64           `json:"weight"`
}

// FaultKind names what fails.
type FaultKind string

// The kinds of faults.
const (
	EngineSlow   FaultKind = "engineSlow"
	EngineCrash  FaultKind = "engineCrash"
	EngineSilent FaultKind = "engineSilent"
	EngineRefuse FaultKind = "engineRefuse"
	StaleLoad    FaultKind = "staleLoad"
	DaemonKill   FaultKind = "daemonKill"
	DaemonStart  FaultKind = "daemonStart"
	DaemonDrain  FaultKind = "daemonDrain"
	// RollingReplacement drains and starts the daemons one after another.
	RollingReplacement FaultKind = "rollingReplacement"
	PlatformDown       FaultKind = "platformDown"
	PlatformSlow       FaultKind = "platformSlow"
)

// Fault is one fault at a time.
type Fault struct {
	At table.Duration `json:"at"`
	// For is how long an engine's or the platform's fault lasts; zero is to
	// the end.
	For  table.Duration `json:"for,omitempty"`
	Kind FaultKind      `json:"kind"`
	// Targets numbers the engines or daemons, from zero.
	Targets []int `json:"targets,omitempty"`
	// Factor is by how much an engine is slowed.
	Factor float64 `json:"factor,omitempty"`
	// Delay is the platform's delay.
	Delay table.Duration `json:"delay,omitempty"`
}

// EngineCount returns the number of engines.
func (s *Site) EngineCount() int {
	n := 0
	for _, e := range s.Engines {
		n += e.Count
	}
	return n
}

// Rate returns the requests per second of a load with the experiment's factor,
// without bursts.
func (e *Experiment) Rate(l *Load) float64 {
	if e.Factor > 0 {
		return l.Rate * e.Factor
	}
	return l.Rate
}

// End returns when running requests are given up, counted from the start.
func (e *Experiment) End() time.Duration { return e.Duration.Std() + e.Grace.Std() }

// Read reads and checks a file.
func Read(path string) (e *Experiment, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read experiment")
	}
	return Parse(data)
}

// Parse reads and checks an experiment. The error is Problems if any were
// found.
func Parse(data []byte) (*Experiment, error) {
	var e Experiment
	if faults := strictjson.Decode(data, &e); len(faults) > 0 {
		return nil, decodeProblems(faults)
	}
	if problems := e.check(); len(problems) > 0 {
		return nil, problems
	}
	return &e, nil
}
