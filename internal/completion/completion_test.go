package completion

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// pace is that of an engine that decodes at a fifth of its pace during prefill.
var pace = Pace{Rest: 25, Prefilling: 5}

func ratioOfOne() *LengthRatio {
	r := &LengthRatio{}
	for range minLengthSamples {
		r.Observe(100, 100)
	}
	return r
}

// engine plays the lines of a script against the streams of one engine.
type engine struct {
	streams Streams
	byName  map[string]*Stream
	now     time.Duration
	backlog time.Duration
}

func (e *engine) play(t *testing.T, at, line string) {
	t.Helper()
	var name, wanted string
	var tier, events int
	var first, second float64
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	scan := func(format string, args ...any) bool {
		n, _ := fmt.Sscanf(line, format, args...)
		return n == len(args)
	}
	switch {
	case scan("stream %s tier %d events %d deadline %f prefill %f", &name, &tier, &events, &first, &second):
		e.streams.AddPrefill(seconds(second))
		e.backlog += seconds(second)
		s := NewStream(tier, e.now, seconds(first), e.now+e.backlog, Length{Tokens: events, Class: ratioOfOne(), Pool: &LengthRatio{}})
		e.byName[name] = &s
		e.streams.Add(&s, pace, e.now)
	case scan("seen %s %d", &name, &events):
		e.byName[name].Seen(events, e.now)
	case scan("end %s", &name):
		e.streams.Remove(e.byName[name])
	case scan("time %f share %f", &first, &second):
		e.now += seconds(first)
		e.backlog = max(0, e.backlog-seconds(first))
		e.streams.Advance(pace, second, e.backlog, e.now)
	case scan("bears %f tier %d: %s", &first, &tier, &wanted):
		if got := e.streams.Bears(seconds(first), tier); fmt.Sprint(got) != wanted {
			t.Errorf("%s: %q is %v", at, line, got)
		}
	case scan("late: %d", &events):
		if got := e.streams.EndingLate(); got != events {
			t.Errorf("%s: %d streams end late, want %d", at, got, events)
		}
	default:
		t.Fatalf("%s: unknown line %q", at, line)
	}
}

// The decisions of an engine that decodes 25 events a second at rest and 5 during prefill.
func TestScript(t *testing.T) {
	file, err := os.Open("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	e := &engine{}
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		switch line = strings.TrimSpace(line); line {
		case "":
		case "engine":
			e = &engine{byName: map[string]*Stream{}}
		default:
			e.play(t, fmt.Sprintf("line %d", n), line)
		}
	}
}

// Guards against streams that end too late although their engine was never given more
// prefill than it bears: the engine is stepped, and takes each prefill that it may.
func TestStreamsOfAFullEngineEndAsPlanned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a test
	for range 200 {
		e := Streams{}
		s := NewStream(1, 0, 12*time.Second, 0, Length{Tokens: 20 + random.IntN(200), Class: ratioOfOne(), Pool: &LengthRatio{}})
		e.Add(&s, pace, 0)
		made, backlog := 0.0, time.Duration(0)
		for now := time.Duration(0); made < float64(s.length.Tokens); now += 10 * time.Millisecond {
			if now > s.planned+100*time.Millisecond {
				t.Fatalf("a stream of %d events has %.0f at %v", s.length.Tokens, made, now)
			}
			prefill := time.Duration(random.IntN(300)) * time.Millisecond
			if backlog < 700*time.Millisecond && e.Bears(prefill, 1) {
				e.AddPrefill(prefill)
				backlog += prefill
			}
			share := min(1, backlog.Seconds()/0.01)
			made += 0.01 * pace.At(share)
			backlog = max(0, backlog-10*time.Millisecond)
			e.Advance(pace, share, backlog, now+10*time.Millisecond)
		}
	}
}

// The two paces must be found from streams that ran beside different shares of prefill,
// and the mean one while all shares are alike.
func TestPaceIsLearntFromStreams(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1)) //nolint:gosec // a test
	e := &PaceEstimate{}
	observe := func(share float64) {
		took := time.Duration(1+random.IntN(5)) * time.Second
		e.Observe(pace.At(share)*took.Seconds()*(0.9+random.Float64()/5), took, share)
	}
	for range 50 {
		observe(1)
	}
	if p := e.Pace(); p.Rest != p.Prefilling || p.Rest < 4.5 || p.Rest > 5.5 {
		t.Errorf("the pace is %+v if all streams ran beside prefill", p)
	}
	if mean, fastest := e.Pace().Rest, e.Fastest().Rest; fastest < mean || fastest > 1.2*pace.Prefilling {
		t.Errorf("the fastest pace is %.1f, the mean one %.1f", fastest, mean)
	}
	for range 200 {
		observe(random.Float64())
	}
	if p := e.Pace(); p.Rest < 22 || p.Rest > 28 || p.Prefilling < 3 || p.Prefilling > 7 {
		t.Errorf("the pace is %+v, want %+v", p, pace)
	}
}

// Until lengths and pace are known, nothing is held back.
func TestNothingIsHeldBackBeforeSamples(t *testing.T) {
	s := NewStream(0, 0, time.Second, 0, Length{Tokens: 1000, Class: &LengthRatio{}, Pool: &LengthRatio{}})
	e := Streams{}
	e.Add(&s, pace, 0)
	if !e.Bears(time.Hour, 0) || !s.EndsInTime(pace) {
		t.Error("an unknown length holds back a prefill")
	}
	s.length.Pool = ratioOfOne()
	e.Advance(Pace{}, 1, 0, 0)
	if !e.Bears(time.Hour, 0) || !s.EndsInTime(Pace{}) {
		t.Error("an unknown pace holds back a prefill")
	}
	if e.Advance(pace, 1, 0, 0); s.EndsInTime(pace) || e.EndingLate() != 1 {
		t.Error("the stream of 40 s ends within 1 s")
	}
}
