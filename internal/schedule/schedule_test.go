package schedule

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

// TestMain fixes the seed of the property tests, so that their results are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fakeClock is a clock that only moves when advanced.
type fakeClock struct{ t time.Time }

func newFakeClock() *fakeClock { return &fakeClock{t: time.Unix(1_000_000, 0)} }

func (c *fakeClock) Now() time.Time          { return c.t }
func (c *fakeClock) advance(d time.Duration) { c.t = c.t.Add(d) }

// endpoints returns n endpoints of the given concurrency.
func endpoints(n, concurrency int) []EndpointPolicy {
	var all []EndpointPolicy
	for i := range n {
		all = append(all, EndpointPolicy{Name: Endpoint(fmt.Sprintf("e%02d", i)), Concurrency: concurrency, CanPreempt: true})
	}
	return all
}

func id(n int) RequestID { return RequestID{Host: "host", Incarnation: 1, Sequence: uint64(n)} }
