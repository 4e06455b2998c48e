package truetime

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
)

// Guards against a jump of the machine's clock that moves windows of usage.
func TestTemporaryJumpIsIgnored(t *testing.T) {
	boot := &boottime.Fake{}
	jump := time.Duration(0)
	start := time.Unix(1000, 0)
	c := NewClock(boot, func() time.Time { return start.Add(boot.Now() + jump) })
	pass := func(n int) {
		for range n {
			boot.Advance(time.Second)
			c.Sample()
		}
	}
	check := func(when string, want time.Duration) {
		t.Helper()
		if got := c.Now() - boot.Now() - 1000*time.Second; got != want {
			t.Errorf("%s: off by %s, want %s", when, got, want)
		}
	}
	pass(40)
	jump = 2 * time.Second
	pass(20)
	check("after a jump", 0)
	jump = 0
	pass(60)
	check("after the jump was taken back", 0)
	jump = -3 * time.Second
	pass(40)
	check("after a lasting jump", jump)
}
