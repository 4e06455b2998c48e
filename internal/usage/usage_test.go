package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

const testLength = 5 * time.Second

// Guards against requests that are counted in the wrong window.
func TestCounterDividesByWindow(t *testing.T) {
	now := 12 * time.Second
	c := NewCounter(testLength, func() time.Duration { return now })
	c.Add("a")
	c.Add("b")
	now = 15 * time.Second
	c.Add("a")
	now = 14 * time.Second
	c.Add("a")
	now = 16 * time.Second
	r := c.Report(2)
	if got := r.Windows[2]["a"]; got != 2 {
		t.Errorf("window 2 has %d requests of a, want 2", got)
	}
	if got := r.Windows[3]["a"]; got != 1 {
		t.Errorf("window 3 has %d requests of a, want 1", got)
	}
	if r.Since != 12*time.Second || r.Until != now {
		t.Errorf("counted from %s to %s", r.Since, r.Until)
	}
	now = 60 * time.Second
	c.Add("a")
	if r := c.Report(2); len(r.Windows) != 1 {
		t.Errorf("windows %v are reported, want the newest", r.Windows)
	}
}

// Guards against sums that depend on lost, repeated or reordered reports.
func TestLedgerMergesInAnyOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var reports []Report
	want := Counts{}
	for host := range 5 {
		counts := Counts{}
		for n := range 6 {
			account := table.AccountName(fmt.Sprintf("account-%d", r.IntN(3)))
			counts[account]++
			want[account]++
			sent := Counts{}
			for name, one := range counts {
				sent[name] = one
			}
			reports = append(reports, Report{
				Source: Source{Host: fmt.Sprintf("host-%d", host), Incarnation: 7},
				Until:  time.Duration(10+n) * time.Second, Windows: map[Window]Counts{3: sent},
			})
		}
	}
	for range 20 {
		l := NewLedger(testLength)
		for range 3 {
			for _, i := range r.Perm(len(reports)) {
				l.Merge(reports[i])
			}
		}
		sum := l.Sum(3)
		for account, n := range want {
			if sum.Counts[account] != n {
				t.Fatalf("%s has %d requests, want %d", account, sum.Counts[account], n)
			}
		}
	}
}

// Guards against a daemon that is counted anew, or forgotten, after a restart.
func TestLedgerKeepsRunsOfOneHostApart(t *testing.T) {
	l := NewLedger(testLength)
	for incarnation := range uint64(3) {
		l.Merge(Report{Source: Source{"h", incarnation}, Since: 14 * time.Second, Until: 21 * time.Second, Windows: map[Window]Counts{3: {"a": 10}}})
	}
	if got := l.Sum(3); got.Counts["a"] != 30 || got.Sources != 3 {
		t.Errorf("sum %+v", got)
	}
	c := l.Coverage(3, []Source{{"h", 2}, {"other", 1}})
	if c.Complete != 1 || c.Since != 1 || c.Total != 2 {
		t.Errorf("coverage %+v", c)
	}
	if c := l.Coverage(2, []Source{{"h", 2}}); c.Since != 0 {
		t.Errorf("a run that began within the window counts as complete: %+v", c)
	}
	l.Forget(22 * time.Second)
	if got := l.Sum(3); got.Sources != 0 {
		t.Errorf("sum after all were forgotten: %+v", got)
	}
}

func BenchmarkCount(b *testing.B) {
	start := time.Now()
	c := NewCounter(testLength, func() time.Duration { return time.Since(start) })
	accounts := make([]table.AccountName, 50)
	for i := range accounts {
		accounts[i] = table.AccountName(fmt.Sprintf("account-%d", i))
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			c.Add(accounts[n%len(accounts)])
		}
	})
}

// BenchmarkMergeFleet merges one report of each of 360 daemons, with 6,600
// accounts in all.
func BenchmarkMergeFleet(b *testing.B) {
	const hosts, accounts, each = 360, 6600, 50
	reports := make([]Report, hosts)
	for i := range reports {
		counts := Counts{}
		for n := range each {
			counts[table.AccountName(fmt.Sprintf("account-%d", (i*each+n)%accounts))] = 1
		}
		reports[i] = Report{Source: Source{fmt.Sprint(i), 1}, Until: 20 * time.Second, Windows: map[Window]Counts{3: counts}}
	}
	l := NewLedger(testLength)
	b.ReportAllocs()
	for b.Loop() {
		for _, r := range reports {
			l.Merge(r)
		}
		l.Sum(3)
	}
}
