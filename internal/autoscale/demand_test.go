package autoscale

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against engines that are ordered too late in a burst, ordered down right
// after it, ordered without having observed the load, or ordered for a peak that is
// over before they have booted.
func TestHistoryOfLoads(t *testing.T) {
	data, err := os.ReadFile("testdata/loads.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		Name  string         `json:"name"`
		Slots int            `json:"slots"`
		Boot  table.Duration `json:"boot"`
		Steps []struct {
			Seconds int     `json:"seconds"`
			Prefill float64 `json:"prefill"`
			Running int     `json:"running"`
			Waiting int     `json:"waiting"`
			Want    int     `json:"want"`
		} `json:"steps"`
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		var h History
		now := time.Duration(0)
		for i, step := range s.Steps {
			for range 2 * step.Seconds {
				now += time.Second / 2
				h.Add(now, Load{step.Prefill, step.Running, step.Waiting}.Need(s.Slots))
			}
			if got, ok := h.Engines(s.Boot.Std()); got != step.Want || ok != (step.Want > 0) {
				t.Errorf("%s, step %d: %d engines, want %d", s.Name, i+1, got, step.Want)
			}
		}
	}
}

// Guards against a load that counts daemons that have ended, or that turns negative
// when a daemon starts again.
func TestTotalsOfRestartedDaemons(t *testing.T) {
	totals := NewTotals()
	report := func(host string, incarnation uint64, at time.Duration, prefill uint64, running uint32) {
		totals.Record(host, incarnation, at, map[table.Pool]Demand{"p": {PrefillMs: prefill, Running: running}})
	}
	report("a", 1, time.Second, 0, 1)
	report("b", 1, time.Second, 9000, 1)
	report("a", 1, 2*time.Second, 1500, 4)
	report("b", 1, 2*time.Second, 9500, 2)
	if l, daemons := totals.Load("p", 2*time.Second); l != (Load{Prefill: 2, Running: 6}) || daemons != 2 {
		t.Errorf("load %+v of %d daemons", l, daemons)
	}
	report("b", 2, 3*time.Second, 100, 1)
	report("b", 2, 4*time.Second, 100, 3)
	report("a", 1, 4*time.Second, 1500, 0)
	if l, daemons := totals.Load("p", 4*time.Second); l != (Load{Running: 3}) || daemons != 2 {
		t.Errorf("after a restart: load %+v of %d daemons", l, daemons)
	}
	if l, daemons := totals.Load("p", 9*time.Second); l != (Load{}) || daemons != 0 {
		t.Errorf("after all have ended: load %+v of %d daemons", l, daemons)
	}
}

// Guards against a meter that counts a request twice or keeps one that has ended.
func TestMeter(t *testing.T) {
	m := NewMeter()
	m.Wait("p")
	m.Wait("p")
	m.EndWait("p")
	m.Begin("p", 70*time.Millisecond)
	m.Begin("p", 30*time.Millisecond)
	m.End("p")
	if got, want := m.Snapshot()["p"], (Demand{PrefillMs: 100, Placed: 2, Running: 1, Waiting: 1}); got != want {
		t.Errorf("demand %+v, want %+v", got, want)
	}
}
