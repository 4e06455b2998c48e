package experiment

import (
	"fmt"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Bounds of an experiment, so that a slip of the pen can't flood the machine.
const (
	maxDuration = 5 * time.Minute
	maxDaemons  = 64
	maxEngines  = 256
	maxRate     = 5000
)

// checker gathers problems.
type checker struct{ problems Problems }

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, Problem{Path: path, What: fmt.Sprintf(format, args...)})
	}
}

// check returns every problem of the experiment.
func (e *Experiment) check() Problems {
	c := &checker{}
	c.require(e.Story != "", "story", "is missing")
	c.require(e.Duration > 0 && e.Duration.Std() <= maxDuration, "duration", "%s is not between 0 and %s", e.Duration.Std(), maxDuration)
	c.require(e.Grace >= 0 && e.Grace.Std() <= maxDuration, "grace", "%s is not between 0 and %s", e.Grace.Std(), maxDuration)
	c.require(e.Factor >= 0, "factor", "%g is negative", e.Factor)
	e.Site.check(c)
	c.require(len(e.Loads) > 0, "loads", "is empty")
	seen := map[table.ClassName]bool{}
	for i := range e.Loads {
		path := fmt.Sprintf("loads[%d]", i)
		name := e.Loads[i].Class.Name
		c.require(!seen[name], path+".class.name", "%q stands twice", name)
		seen[name] = true
		e.Loads[i].check(c, path)
		c.require(e.Rate(&e.Loads[i]) <= maxRate, path+".rate", "is more than %d with the factor", maxRate)
	}
	for i := range e.Faults {
		e.Faults[i].check(c, fmt.Sprintf("faults[%d]", i), &e.Site)
	}
	return c.problems
}

func (s *Site) check(c *checker) {
	c.require(s.Daemons >= 1 && s.Daemons <= maxDaemons, "site.daemons", "%d is not between 1 and %d", s.Daemons, maxDaemons)
	c.require(s.Zones >= 1, "site.zones", "%d is not positive", s.Zones)
	c.require(s.Clients >= 1, "site.clients", "%d is not positive", s.Clients)
	n := s.EngineCount()
	c.require(n >= 1 && n <= maxEngines, "site.engines", "%d engines are not between 1 and %d", n, maxEngines)
	for i, e := range s.Engines {
		path := fmt.Sprintf("site.engines[%d]", i)
		c.require(e.Count >= 1, path+".count", "%d is not positive", e.Count)
		c.require(e.Concurrency >= 1, path+".concurrency", "%d is not positive", e.Concurrency)
		c.require(e.PromptToken >= 0, path+".promptToken", "is negative")
		c.require(e.Token > 0, path+".token", "%s is not positive", e.Token.Std())
		c.require(e.Crowding >= 0, path+".crowding", "%g is negative", e.Crowding)
		c.require(e.Prefixes >= 0, path+".prefixes", "%d is negative", e.Prefixes)
		c.require(e.LoadLag >= 0, path+".loadLag", "is negative")
	}
}

func (l *Load) check(c *checker, path string) {
	c.require(l.Class.Name != "", path+".class.name", "is missing")
	c.require(l.Class.Weight >= 1, path+".class.weight", "%d is not positive", l.Class.Weight)
	c.require(l.Class.MaxWait > 0, path+".class.maxWait", "is not positive")
	c.require(len(l.Class.Pools) > 0, path+".class.pools", "is empty")
	c.require(l.Rate > 0, path+".rate", "%g is not positive", l.Rate)
	for i, b := range l.Bursts {
		at := fmt.Sprintf("%s.bursts[%d]", path, i)
		c.require(b.At >= 0, at+".at", "is negative")
		c.require(b.For > 0, at+".for", "is not positive")
		c.require(b.Factor > 0, at+".factor", "%g is not positive", b.Factor)
	}
	if l.Answer != nil {
		c.require(l.Answer.Median >= 1, path+".answer.median", "%g is under 1", l.Answer.Median)
		c.require(l.Answer.Sigma >= 0, path+".answer.sigma", "%g is negative", l.Answer.Sigma)
		c.require(float64(l.Answer.Max) >= l.Answer.Median, path+".answer.max", "%d is under the median", l.Answer.Max)
	}
	c.require(l.Prompt.Tokens >= 0, path+".prompt.tokens", "%d is negative", l.Prompt.Tokens)
	c.require(l.Prompt.Prefixes >= 0, path+".prompt.prefixes", "%d is negative", l.Prompt.Prefixes)
	c.require(len(l.Accounts) > 0, path+".accounts", "is empty")
	for i, a := range l.Accounts {
		at := fmt.Sprintf("%s.accounts[%d]", path, i)
		c.require(a.Account != "", at+".account", "is missing")
		c.require(a.Weight > 0, at+".weight", "%g is not positive", a.Weight)
	}
}

func (f *Fault) check(c *checker, path string, s *Site) {
	c.require(f.At >= 0, path+".at", "is negative")
	c.require(f.For >= 0, path+".for", "is negative")
	limit := 0
	switch f.Kind {
	case EngineSlow, EngineCrash, EngineSilent, EngineRefuse, StaleLoad:
		limit = s.EngineCount()
	case DaemonKill, DaemonStart, DaemonDrain:
		limit = s.Daemons
	case RollingReplacement, PlatformDown, PlatformSlow:
		c.require(len(f.Targets) == 0, path+".targets", "%s takes none", f.Kind)
	default:
		c.require(false, path+".kind", "%q is no known kind", f.Kind)
		return
	}
	c.require(limit == 0 || len(f.Targets) > 0, path+".targets", "is empty")
	for i, n := range f.Targets {
		c.require(limit == 0 || n >= 0 && n < limit, fmt.Sprintf("%s.targets[%d]", path, i), "%d is not between 0 and %d", n, limit-1)
	}
	c.require((f.Kind == EngineSlow) == (f.Factor > 0), path+".factor", "is for engineSlow only, and positive there")
	c.require((f.Kind == PlatformSlow) == (f.Delay > 0), path+".delay", "is for platformSlow only, and positive there")
}
