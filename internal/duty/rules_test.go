package duty_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/usage"
	"github.com/beechhead/beechhead/pkg/table"
)

// check reports what has broken the rules. Two hosts must not act by turns within
// simTurn.
func (w *world) check() (broken []string) {
	broken = w.api.Broken()
	for i, a := range w.acts {
		other := false
		for _, b := range w.acts[i+1:] {
			if b.at-a.at >= simTurn {
				break
			}
			if b.host != a.host {
				other = true
			} else if other {
				broken = append(broken, fmt.Sprintf("%s acts at %s and again at %s, another host in between", a.host, a.at, b.at))
				break
			}
		}
	}
	return broken
}

// Guards against two contents of a window, one token of two hosts, a lower token
// that takes effect, and two hosts that act by turns, under faults in any order.
func TestDutiesKeepTheRulesUnderFaults(t *testing.T) {
	const seeds = 20
	for _, checked := range []bool{true, false} {
		reported := 0
		for seed := range uint64(seeds) {
			w := newWorld(t, seed, 6, checked)
			w.run(20 * time.Second)
			w.loseReply, w.delay, w.pause = 0.05, 0.03, 0.02
			for range 25 {
				w.disturb()
				w.run(time.Duration(w.rand.Int64N(int64(8 * time.Second))))
			}
			for _, b := range w.check() {
				t.Errorf("checked fences %v, seed %d: %s", checked, seed, b)
			}
			reported += len(w.api.Windows())
		}
		t.Logf("checked fences %v: %d windows reported", checked, reported)
		if reported == 0 {
			t.Error("no window was reported")
		}
	}
}

// Guards against a simulation that finds nothing: each planted fault breaks a rule.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, tt := range []struct {
		name        string
		checksFence bool
		// from is the first seed to play.
		from  uint64
		plant func(w *world)
	}{
		{"a window is sent without being fixed in the store", true, 0, func(w *world) {
			for _, d := range w.daemons {
				d.reporter.Fix = func(context.Context, ...platform.Write) error { return nil }
				d.reporter.Read = func(context.Context) ([]platform.FeedRow, error) { return nil, nil }
			}
		}},
		{"a restored store goes unnoticed", true, 95, func(w *world) { w.hideRestore = true }},
		{"calls under way are not waited out where tokens are not checked", false, 65, func(w *world) {
			for _, d := range w.daemons {
				d.tenure.ChecksFence = true
			}
		}},
	} {
		found := false
		for seed := tt.from; seed < tt.from+200 && !found; seed++ {
			w := newWorld(t, seed, 6, tt.checksFence)
			w.loseReply, w.delay, w.pause = 0.05, 0.03, 0.02
			for range 25 {
				w.disturb()
				tt.plant(w)
				w.run(time.Duration(w.rand.Int64N(int64(8 * time.Second))))
			}
			found = len(w.check()) > 0
		}
		if !found {
			t.Errorf("not found: %s", tt.name)
		}
	}
}

// Guards against usage that is off or missing on a calm day.
func TestUsageIsExactOnACalmDay(t *testing.T) {
	w := newWorld(t, 1, 6, true)
	w.run(62 * time.Second)
	reported := w.api.Windows()
	first := usage.WindowOf(time.Hour, simLength) + 1
	for n := first; n < first+9; n++ {
		counts, ok := reported[int64(n)]
		if !ok || counts[table.AccountName("account")] != w.truth[n] {
			t.Errorf("window %d: %v, want %d", n, counts, w.truth[n])
		}
	}
	if broken := w.check(); len(broken) > 0 {
		t.Error(broken)
	}
}

// Guards against a window that is not reported since the store goes away more than a
// second after its end, and comes back after it was due.
func TestStoreGoesAwayAfterAWindow(t *testing.T) {
	w := newWorld(t, 1, 6, true)
	end := 30 * time.Second
	w.run(end + 1200*time.Millisecond)
	for _, d := range w.daemons {
		d.storeCutUntil = w.boot.Now() + 15*time.Second
	}
	w.run(20 * time.Second)
	n := usage.WindowOf(time.Hour+end, simLength) - 1
	if counts := w.api.Windows()[int64(n)]; counts[table.AccountName("account")] != w.truth[n] {
		t.Errorf("window %d: %v, want %d", n, counts, w.truth[n])
	}
}

// Guards against counts that are lost with the daemons that are killed: those that
// half of all daemons had not sent may be two in a hundred.
func TestHalfOfTheDaemonsAreKilled(t *testing.T) {
	missing, total := 0.0, 0.0
	for seed := range uint64(10) {
		w := newWorld(t, seed, 20, true)
		w.run(22*time.Second + time.Duration(w.rand.Int64N(int64(simLength))))
		n := usage.WindowOf(w.boot.Now(), simLength)
		for _, d := range w.daemons[:len(w.daemons)/2] {
			d.start()
		}
		w.run(3 * simLength)
		reported := w.api.Windows()[int64(n)][table.AccountName("account")]
		if float64(reported) < 0.95*float64(w.truth[n]) {
			t.Errorf("seed %d: %d of %d requests are reported", seed, reported, w.truth[n])
		}
		missing += float64(w.truth[n]) - float64(reported)
		total += float64(w.truth[n])
	}
	if missing > 0.02*total {
		t.Errorf("%.0f of %.0f requests are missing", missing, total)
	}
}
