package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/pkg/table"
)

// Arrival is one request to come.
type Arrival struct {
	// At is counted from the start.
	At time.Duration
	// Load is the index of its class in the experiment's loads.
	Load    int
	Account table.AccountName
	// Prompt is unique among the arrivals.
	Prompt string
	// Tokens is the length of the answer; zero for calls of plain services.
	Tokens int
}

// Arrivals draws all requests, in order of time. Each class has a source of
// its own, so that a change to one class leaves the others' arrivals alone.
func (e *Experiment) Arrivals() []Arrival {
	var all []Arrival
	for i := range e.Loads {
		all = append(all, e.arrivalsOf(i)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// arrivalsOf thins a Poisson process of the highest rate down to the rate at
// each time.
func (e *Experiment) arrivalsOf(index int) []Arrival {
	l := &e.Loads[index]
	rng := rand.New(rand.NewPCG(e.Seed, xxhash.Sum64String(string(l.Class.Name))))
	peak := 1.0
	for _, b := range l.Bursts {
		peak = max(peak, b.Factor)
	}
	rate := e.Rate(l)
	var out []Arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / (rate * peak)
		when := time.Duration(at * float64(time.Second))
		if when >= e.Duration.Std() {
			return out
		}
		kept := rng.Float64() < l.factorAt(when)/peak
		a := Arrival{At: when, Load: index, Account: l.drawAccount(rng)}
		if !l.IsCall() {
			a.Tokens = l.Answer.draw(rng)
		}
		a.Prompt = l.prompt(len(out), a.Tokens, rng)
		if kept {
			out = append(out, a)
		}
	}
}

func (l *Load) factorAt(at time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			factor = b.Factor
		}
	}
	return factor
}

func (l *Load) drawAccount(rng *rand.Rand) table.AccountName {
	total := 0.0
	for _, s := range l.Accounts {
		total += s.Weight
	}
	at := rng.Float64() * total
	for _, s := range l.Accounts {
		at -= s.Weight
		if at < 0 {
			return s.Account
		}
	}
	return l.Accounts[len(l.Accounts)-1].Account
}

func (a *Answer) draw(rng *rand.Rand) int {
	n := a.Median * math.Exp(a.Sigma*rng.NormFloat64())
	return min(max(int(n), 1), a.Max)
}

const (
	// bytesPerToken is a rough length of a token in prompts.
	bytesPerToken = 4
	// prefixBytes is the length of the beginning that prompts share. It
	// exceeds what the daemons look at for the choice of an engine.
	prefixBytes = 1200
)

// prompt builds a prompt whose beginning is one of the load's prefixes.
func (l *Load) prompt(n, tokens int, rng *rand.Rand) string {
	var b strings.Builder
	if l.Prompt.Prefixes > 0 {
		beginning := fmt.Sprintf("%s prefix %d. ", l.Class.Name, rng.IntN(l.Prompt.Prefixes))
		b.WriteString(strings.Repeat(beginning, prefixBytes/len(beginning)+1))
	}
	fmt.Fprintf(&b, "%s request %d.", l.Class.Name, n)
	if tokens > 0 {
		fmt.Fprintf(&b, " [[tokens=%d]]", tokens)
	}
	if missing := l.Prompt.Tokens*bytesPerToken - b.Len(); missing > 0 {
		b.WriteString(strings.Repeat(".", missing))
	}
	return b.String()
}
