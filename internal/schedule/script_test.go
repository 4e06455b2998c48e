package schedule

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// script runs a scripted test. Each line of the file is a command with
// arguments; a "step" command lists the expected decisions after "->".
type script struct {
	t     *testing.T
	line  string
	clock *fakeClock
	cell  *Cell
	cfg   Config
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = f.Close() }()
			s := &script{t: t, clock: newFakeClock()}
			s.cell = NewCell(s.clock)
			lines := bufio.NewScanner(f)
			for n := 1; lines.Scan(); n++ {
				text := strings.TrimSpace(lines.Text())
				if text == "" || strings.HasPrefix(text, "#") {
					continue
				}
				s.line = fmt.Sprintf("line %d: %s", n, text)
				s.run(text)
			}
		})
	}
}

func (s *script) run(text string) {
	command, want, checked := strings.Cut(text, "->")
	fields := strings.Fields(command)
	args := fields[1:]
	switch fields[0] {
	case "class":
		s.cfg.Classes = append(s.cfg.Classes, ClassPolicy{
			Name: Class(args[0]), Tier: Tier(s.number(args, "tier")), Weight: s.number(args, "weight"),
			MaxWait: s.duration(args, "maxWait"), FirstTokenTarget: s.duration(args, "target"),
			MaxQueue: s.number(args, "queue"), Preemptible: s.has(args, "preemptible"),
		})
	case "endpoint":
		s.cfg.Endpoints = append(s.cfg.Endpoints, EndpointPolicy{
			Name: Endpoint(args[0]), Concurrency: s.number(args, "concurrency"), CanPreempt: !s.has(args, "cannotPreempt"),
			ID: s.text(args, "id"), Version: Version(s.text(args, "version")),
		})
	case "removeEndpoint":
		s.cfg.Endpoints = slices.DeleteFunc(s.cfg.Endpoints, func(p EndpointPolicy) bool { return string(p.Name) == args[0] })
	case "limit":
		s.cfg.MaxWaiting = s.number(args, "waiting")
	case "share":
		s.cfg.IndependentHosts = s.count(args[0])
	case "discipline":
		s.cfg.Discipline = map[string]Discipline{"roundRobin": RoundRobin, "leastOutstanding": LeastOutstanding}[args[0]]
	case "drain":
		for i := range s.cfg.Endpoints {
			s.cfg.Endpoints[i].Draining = string(s.cfg.Endpoints[i].Name) == args[0]
		}
	case "configure":
		s.cell.Configure(s.cfg)
	case "after":
		s.clock.advance(s.parse(args[0]))
	case "step":
		s.check(strings.TrimSpace(want), checked)
	default:
		s.act(fields[0], args)
	}
}

// act passes one event to the cell.
func (s *script) act(command string, args []string) {
	switch command {
	case "reserve":
		r := Request{
			ID: s.id(args[0]), Class: Class(args[1]), Account: Account(s.text(args, "account")),
			PromptTokens: s.number(args, "prompt"), EstimatedTokens: s.number(args, "tokens"),
			Prefix: uint64(s.number(args, "prefix")), Waited: s.duration(args, "waited"),
		}
		if excluded := s.text(args, "excluded"); excluded != "" {
			for name := range strings.SplitSeq(excluded, ",") {
				r.Excluded = append(r.Excluded, Endpoint(name))
			}
		}
		if version := Version(s.text(args, "version")); version != "" {
			r.Version = &version
		}
		s.cell.Reserve(r)
	case "cancel":
		s.cell.Cancel(s.id(args[0]))
	case "hold":
		s.cell.AdoptGrant(Holding{ID: s.id(args[0]), Class: Class(args[1]), Endpoint: Endpoint(args[2]), EndpointID: s.text(args, "id")})
	case "release":
		s.cell.Release(s.id(args[0]), Report{
			FirstToken: s.duration(args, "first"), Duration: s.duration(args, "duration"), Tokens: s.number(args, "tokens"),
			Done: s.has(args, "done"), Failed: s.has(args, "failed"), NoRateLimit: s.has(args, "unlimited"),
			Refused: s.has(args, "refused"), NotBrittle: s.has(args, "notBrittle"),
		})
	case "progress":
		s.cell.Progress(s.id(args[0]), Progress{
			FirstToken: s.duration(args, "first"), Elapsed: s.duration(args, "elapsed"), Tokens: s.number(args, "tokens"),
		})
	case "named":
		s.cell.SetRateLimit(Endpoint(args[0]), float64(s.number(args, "perSecond")), s.duration(args, "age"))
	case "leaving":
		s.cell.SetLeaving(Endpoint(args[0]))
	case "brittle":
		s.cell.SetBrittle(Endpoint(args[0]), s.number(args, "perSecond"), s.duration(args, "age"))
	case "refusal":
		s.cell.RecordRefusal(Endpoint(args[1]), s.id(args[0]), s.duration(args, "age"))
	case "load":
		s.cell.ObserveLoad(Endpoint(args[0]), Load{Running: s.number(args, "running"), Waiting: s.number(args, "waiting")})
	case "loadFailed":
		s.cell.LoadFailed(Endpoint(args[0]))
	default:
		s.t.Fatalf("%s: unknown command", s.line)
	}
}

func (s *script) check(want string, checked bool) {
	s.t.Helper()
	var got []string
	for _, d := range s.cell.Step() {
		switch {
		case d.Preempt:
			got = append(got, fmt.Sprintf("preempt %d", d.ID.Sequence))
		case d.Refusal != "":
			got = append(got, fmt.Sprintf("%s %d", d.Refusal, d.ID.Sequence))
		default:
			got = append(got, fmt.Sprintf("grant %d %s", d.ID.Sequence, d.Endpoint))
		}
	}
	if len(got) == 0 {
		got = []string{"nothing"}
	}
	if text := strings.Join(got, ", "); checked && text != want {
		s.t.Fatalf("%s: got %s", s.line, text)
	}
}

func (s *script) id(text string) RequestID {
	return id(s.count(text))
}

func (s *script) has(args []string, name string) bool {
	for _, a := range args {
		if a == name {
			return true
		}
	}
	return false
}

func (s *script) text(args []string, name string) string {
	for _, a := range args {
		if v, ok := strings.CutPrefix(a, name+"="); ok {
			return v
		}
	}
	return ""
}

func (s *script) number(args []string, name string) int {
	text := s.text(args, name)
	if text == "" {
		return 0
	}
	return s.count(text)
}

func (s *script) count(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatalf("%s: %v", s.line, err)
	}
	return n
}

func (s *script) duration(args []string, name string) time.Duration {
	text := s.text(args, name)
	if text == "" {
		return 0
	}
	return s.parse(text)
}

func (s *script) parse(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("%s: %v", s.line, err)
	}
	return d
}
