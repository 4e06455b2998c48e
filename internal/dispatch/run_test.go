package dispatch

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against second attempts that a host starts only because it stood still
// itself: its timer fires late, while what it waits for lies in its sockets.
func TestLateTimerLeavesTimeToReadSockets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	timer := newSilenceTimer(clock)
	expires := func(d time.Duration) bool {
		clock.Advance(d)
		select {
		case <-timer.timer.Chan():
			return timer.expired()
		default:
			return false
		}
	}
	for name, steps := range map[string][]time.Duration{
		"in time":              {900 * time.Millisecond, 100 * time.Millisecond},
		"late":                 {5 * time.Second, 100 * time.Millisecond},
		"late in the grace":    {900 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond},
		"late again and again": {5 * time.Second, 5 * time.Second, 100 * time.Millisecond},
		"after an event":       {-500 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, 100 * time.Millisecond},
	} {
		timer.start(clock.Now(), time.Second)
		for i, d := range steps {
			if d < 0 {
				clock.Advance(-d)
				timer.start(clock.Now(), time.Second)
				continue
			}
			if got, last := expires(d), i == len(steps)-1; got != last {
				t.Errorf("%s, step %d: expired %v", name, i, got)
			}
		}
	}
}

// Guards against using up the retry budget in a silence that most endpoints share, and
// against waiting for a hung endpoint as long as for a shared silence.
func TestSharedSilenceIsWaitedOut(t *testing.T) {
	for _, tt := range []struct {
		name string
		// silent is the number of the three endpoints that are silent.
		silent int
		lasted time.Duration
		want   string
	}{
		{"all are silent", 3, 2 * time.Second, aloneShared},
		{"all are silent for twice the time", 3, 4 * time.Second, ""},
		{"one is silent", 1, 2 * time.Second, ""},
	} {
		clock := clockwork.NewFakeClock()
		d := NewDispatcher(clock, nil, nil, nil, nil, quarantine.NewList(clock), metric.NewRegistry())
		var runs []*run
		for _, e := range []table.EndpointName{"a", "b", "c"} {
			c := &chatRun{}
			r := &c.run
			*r = run{class: &table.Class{Idempotent: true}, request: placement.Request{Pool: "p"}, limits: silenceLimits{first: 2 * time.Second, between: 2 * time.Second}}
			r.start(d, c)
			a := &attempt{run: r, grant: &placement.Grant{Endpoint: table.Endpoint{Name: e, Pool: "p"}}, verdict: make(chan peerv1.ReleaseOutcome, 1), cancel: func(error) {}}
			r.open = []*attempt{a}
			r.handleSending(a)
			runs = append(runs, r)
		}
		for range tt.lasted / (100 * time.Millisecond) {
			clock.Advance(100 * time.Millisecond)
			for i, r := range runs {
				if i >= tt.silent {
					r.open[0].recordSign(clock.Now(), false)
				}
				select {
				case <-r.silence.timer.timer.Chan():
					r.silence.timer.expired()
					r.markLate()
				default:
				}
			}
		}
		long := tt.lasted >= activity.SharedFactor*runs[0].limits.first
		if got := runs[0].reasonAlone(long); got != tt.want {
			t.Errorf("%s: no other attempt because of %q, want %q", tt.name, got, tt.want)
		}
		for _, r := range runs {
			r.dropAll()
		}
		if d.activities.IsAwaited("a") {
			t.Errorf("%s: the endpoint of an attempt that has ended is awaited", tt.name)
		}
	}
}

// Guards against engines that count as failed for a silence that they shared
// with all others, and against hung ones that do not.
func TestOutcomeOfSilentAttempts(t *testing.T) {
	const (
		failed  = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED
		neutral = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
	)
	for _, tt := range []struct {
		name   string
		silent time.Duration
		// winner is the endpoint that went on; empty if none did.
		winner table.EndpointName
		want   peerv1.ReleaseOutcome
	}{
		{"another one went on after the deadline", 3 * time.Second, "b", failed},
		{"another one was faster within the deadline", time.Second, "b", neutral},
		{"a new connection to the same one went on", 3 * time.Second, "a", neutral},
		{"none went on", 3 * time.Second, "", neutral},
	} {
		clock := clockwork.NewFakeClock()
		r := &run{class: &table.Class{}, limits: silenceLimits{first: 2 * time.Second}}
		d := NewDispatcher(clock, nil, nil, nil, nil, nil, metric.NewRegistry())
		r.start(d, nil)
		open := func(e table.EndpointName) *attempt {
			a := &attempt{
				cancel: func(error) {}, verdict: make(chan peerv1.ReleaseOutcome, 1), sent: true, lastSign: clock.Now(),
				grant: &placement.Grant{Endpoint: table.Endpoint{Name: e}},
			}
			r.open = append(r.open, a)
			return a
		}
		a := open("a")
		clock.Advance(tt.silent)
		if tt.winner == "" {
			r.dropAll()
		} else {
			r.settle(open(tt.winner))
		}
		if got := <-a.verdict; got != tt.want {
			t.Errorf("%s: outcome %v, want %v", tt.name, got, tt.want)
		}
	}
}
