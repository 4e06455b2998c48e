package duty_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/duty"
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
		for _, m := range duty.EncodeReport(r, demand) {
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
		if counts != accounts || complete != 1 {
			t.Errorf("%d accounts: %d counts, %d datagrams state the time of the report", accounts, counts, complete)
		}
	}
}
