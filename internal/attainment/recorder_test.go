package attainment_test

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// requestCase is one request: the times of its tokens, how it ends, and the
// figures that are expected.
type requestCase struct {
	Name     string             `json:"name"`
	Target   table.Target       `json:"target"`
	TokensAt []table.Duration   `json:"tokensAt"`
	EndAt    table.Duration     `json:"endAt"`
	Reason   outcome.Reason     `json:"reason"`
	Want     attainment.Figures `json:"want"`
}

func TestRequestsAreCounted(t *testing.T) {
	data, err := os.ReadFile("testdata/requests.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []requestCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := attainment.NewRecorder(clock)
			run(clock, r, c)
			got := r.Status()["a"]
			want := attainment.ClassStatus{Recent: c.Want, Since: c.Want}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
		})
	}
}

func run(clock *clockwork.FakeClock, r *attainment.Recorder, c requestCase) {
	start := clock.Now()
	q := r.Begin(&table.Class{Name: "a", Target: c.Target})
	for _, at := range c.TokensAt {
		clock.Advance(at.Std() - clock.Since(start))
		q.RecordToken()
	}
	clock.Advance(c.EndAt.Std() - clock.Since(start))
	if c.Reason == "" {
		q.End(nil)
		return
	}
	q.End(outcome.NotRunError(c.Reason, ""))
}

// A request counts as waiting, then as running. Once it has ended, the recent
// figures include it until the window has passed.
func TestRecentFiguresExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := attainment.NewRecorder(clock)
	class := &table.Class{Name: "a"}
	q := r.Begin(class)
	if s := r.Status()["a"]; s.Waiting != 1 || s.Running != 0 {
		t.Errorf("before the first token: %+v", s)
	}
	q.RecordToken()
	if s := r.Status()["a"]; s.Waiting != 0 || s.Running != 1 {
		t.Errorf("after the first token: %+v", s)
	}
	q.End(nil)
	if s := r.Status()["a"]; s.Waiting != 0 || s.Running != 0 || s.Recent.Met != 1 {
		t.Errorf("after the end: %+v", s)
	}
	clock.Advance(attainment.Window + 10*time.Second)
	r.Begin(class).End(nil)
	if s := r.Status()["a"]; s.Recent.Met != 1 || s.Since.Met != 2 {
		t.Errorf("after the window: %+v", s)
	}
}
