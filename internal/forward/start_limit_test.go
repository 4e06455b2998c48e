package forward

import (
	"testing"
	"time"
)

// A coordinator refuses requests as not run if their response would begin too
// late. This would be wrong once an endpoint may have run the request or a stream
// has begun, so no time limit may be given then.
func TestNoStartLimitOnceRequestMayHaveRun(t *testing.T) {
	r := &Request{ReceivedAt: time.Second, Deadline: 6 * time.Second, StartTimeout: 2 * time.Second}
	for _, one := range []struct {
		run  *run
		want time.Duration
	}{
		{&run{req: r}, 2 * time.Second},
		{&run{req: r, notRun: 1}, 2 * time.Second},
		{&run{req: r, mayHaveRun: 1}, 0},
		{&run{req: r, headSent: true}, 0},
		{&run{req: &Request{ReceivedAt: time.Second, Deadline: 2 * time.Second, StartTimeout: 2 * time.Second}}, time.Second},
		{&run{req: &Request{Deadline: 3 * time.Second}}, 3 * time.Second},
	} {
		if got := one.run.startLimit(); got != one.want {
			t.Errorf("mayHaveRun %d, headSent %v: start limit is %v, want %v", one.run.mayHaveRun, one.run.headSent, got, one.want)
		}
	}
}
