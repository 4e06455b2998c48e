package duty_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/duty"
	"github.com/beechhead/beechhead/internal/truetime"
	"github.com/beechhead/beechhead/internal/usage"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against datagrams that are too large to be received, and against counts
// that are left out where there are several.
func TestDatagramsAreSmall(t *testing.T) {
	const (
		maxSize = 1200
		pools   = 8
	)
	demand := map[table.Pool]autoscale.Demand{}
	for n := range pools {
		demand[table.Pool(fmt.Sprintf("language-model-%d", n))] = autoscale.Demand{PrefillMs: 1 << 40, Placed: 1 << 40, Running: 1 << 20, Waiting: 1 << 20}
	}
	for accounts := range 150 {
		r := usage.Report{Source: usage.Source{Host: "front-some-zone-a-17", Incarnation: 1 << 60}, Since: 1 << 60, Until: 1 << 60}
		r.Windows = map[usage.Window]usage.Counts{357915048: {}}
		for n := range accounts {
			r.Windows[357915048][table.AccountName(fmt.Sprintf("account-%d", n))] = 1 << 20
		}
		counts, complete := 0, 0
		datagrams := duty.EncodeReport(r, demand)
		for _, m := range datagrams {
			if size := proto.Size(m); size > maxSize {
				t.Errorf("%d accounts: a datagram has %d bytes, allowed %d", accounts, size, maxSize)
			}
			for _, w := range m.GetWindows() {
				counts += len(w.GetCounts())
			}
			if m.GetUntilMs() > 0 {
				complete++
			}
		}
		if counts != accounts || complete != len(datagrams) {
			t.Errorf("%d accounts: %d counts, %d of %d datagrams state the time of the report", accounts, counts, complete, len(datagrams))
		}
	}
}

// Guards against counts that are forgotten or taken for complete while datagrams of
// their report are missing.
func TestReportsOfSeveralDatagrams(t *testing.T) {
	const accounts = 300
	now := 100 * time.Second
	number := usage.WindowOf(now, simLength)
	source := usage.Source{Host: "a", Incarnation: 1}
	r := usage.Report{Source: source, Since: time.Second, Until: now, Windows: map[usage.Window]usage.Counts{number - 1: {}}}
	for n := range accounts {
		r.Windows[number-1][table.AccountName(fmt.Sprintf("account-%d", n))] = 1
	}
	datagrams := duty.EncodeReport(r, nil)
	if len(datagrams) < 3 {
		t.Fatalf("%d datagrams", len(datagrams))
	}
	for missing := range datagrams {
		ledger := usage.NewLedger(simLength)
		boot := &boottime.Fake{}
		boot.Advance(now)
		x := &duty.Exchange{
			Boot: boot, Time: truetime.NewClock(boot, func() time.Time { return time.Unix(0, int64(now)) }),
			Ledger: ledger, Totals: autoscale.NewTotals(), Length: simLength,
		}
		complete := func() int { return ledger.Coverage(number-1, []usage.Source{source}).Complete }
		for i := len(datagrams) - 1; i >= 0; i-- {
			if i != missing {
				x.Receive(datagrams[i])
			}
		}
		if complete() != 0 {
			t.Errorf("complete without datagram %d", missing)
		}
		x.Receive(datagrams[missing])
		if n := len(ledger.Sum(number - 1).Counts); n != accounts || complete() != 1 {
			t.Errorf("%d of %d accounts are known, complete %d", n, accounts, complete())
		}
	}
}
