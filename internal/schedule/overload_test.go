package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// overload simulates one cell on a fake clock, with random arrivals and random
// response times.
type overload struct {
	classes []ClassPolicy
	// share is the share of each class in the offered load.
	share []float64
	// factor is the offered load as a multiple of the capacity.
	factor float64
}

// overloadResult counts the requests of each class by outcome.
type overloadResult struct {
	offered, inTime, late, refused map[Class]int
	longest                        map[Class]time.Duration
}

const (
	overloadSlots       = 16
	overloadServiceTime = 100 * time.Millisecond
	overloadRun         = 40 * time.Second
	overloadTick        = 5 * time.Millisecond
)

func (o *overload) run(seed uint64) overloadResult {
	random := rand.New(rand.NewPCG(seed, seed))
	clock := newFakeClock()
	cell := NewCell(clock)
	cell.Configure(Config{Classes: o.classes, Endpoints: endpoints(4, overloadSlots/4), MaxWaiting: 16 * overloadSlots})
	r := overloadResult{map[Class]int{}, map[Class]int{}, map[Class]int{}, map[Class]int{}, map[Class]time.Duration{}}
	arrived := map[RequestID]time.Duration{}
	classOf := map[RequestID]int{}
	ends := map[time.Duration][]RequestID{}
	capacity := overloadSlots * float64(time.Second) / float64(overloadServiceTime)
	n := 0
	for now := time.Duration(0); now < overloadRun; now += overloadTick {
		clock.advance(overloadTick)
		for _, done := range ends[now] {
			cell.Release(done, Report{Tokens: 20, FirstToken: time.Millisecond, Duration: overloadServiceTime, Done: true})
		}
		delete(ends, now)
		for i, c := range o.classes {
			expected := o.factor * o.share[i] * capacity * overloadTick.Seconds()
			for range poisson(random, expected) {
				n++
				classOf[id(n)], arrived[id(n)] = i, now
				r.offered[c.Name]++
				cell.Reserve(Request{ID: id(n), Class: c.Name, Account: Account(fmt.Sprint(n % 5)), EstimatedTokens: 20})
			}
		}
		for _, d := range cell.Step() {
			c := o.classes[classOf[d.ID]]
			switch {
			case d.Preempt:
				cell.Release(d.ID, Report{})
			case d.Refusal != "":
				r.refused[c.Name]++
			default:
				wait := now - arrived[d.ID]
				r.longest[c.Name] = max(r.longest[c.Name], wait)
				if wait <= c.FirstTokenTarget {
					r.inTime[c.Name]++
				} else {
					r.late[c.Name]++
				}
				length := time.Duration(float64(overloadServiceTime) * random.ExpFloat64())
				end := now + max(overloadTick, length.Truncate(overloadTick))
				ends[end] = append(ends[end], d.ID)
			}
		}
	}
	return r
}

func (r overloadResult) goodput() int {
	sum := 0
	for _, n := range r.inTime {
		sum += n
	}
	return sum
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}

var overloadClasses = []ClassPolicy{
	{Name: "counter", Tier: 0, Weight: 4, MaxWait: 5 * time.Second, FirstTokenTarget: 500 * time.Millisecond},
	{Name: "slots", Tier: 1, Weight: 4, MaxWait: 8 * time.Second, FirstTokenTarget: 800 * time.Millisecond},
	{Name: "notes", Tier: 3, Weight: 1, MaxWait: 10 * time.Second, FirstTokenTarget: 4 * time.Second},
}

// The offered load is three times the capacity, over all classes. The number of
// requests served in time must not fall; it would if requests were served in
// order of arrival from a queue in which all of them are already late.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	mixed := overload{classes: overloadClasses, share: []float64{0.2, 0.3, 0.5}, factor: 1}
	once := mixed.run(1)
	mixed.factor = 3
	thrice := mixed.run(1)
	t.Logf("once %+v", once)
	t.Logf("thrice %+v", thrice)
	if got, want := thrice.goodput(), 0.95*float64(once.goodput()); float64(got) < want {
		t.Errorf("goodput is %d at three times the capacity, %d at capacity", got, once.goodput())
	}
	if got, want := float64(thrice.inTime["counter"]), 0.99*float64(thrice.offered["counter"]); got < want {
		t.Errorf("%.0f of %d requests of the highest tier were in time, want %.0f", got, thrice.offered["counter"], want)
	}
}

// The highest tier alone offers three times the capacity and fills the queue by
// itself. The number of requests served in time must not fall, and each lower
// class must still get a slot within its MaxWait plus one turn of ageing.
func TestGoodputHoldsWhenTheHighestTierOverloads(t *testing.T) {
	burst := overload{classes: overloadClasses, share: []float64{1, 0.02, 0.02}, factor: 1}
	once := burst.run(2)
	burst.factor = 3
	thrice := burst.run(2)
	t.Logf("once %+v", once)
	t.Logf("thrice %+v", thrice)
	if got, want := float64(thrice.goodput()), 0.95*float64(once.goodput()); got < want {
		t.Errorf("goodput is %.0f at three times the capacity, %d at capacity", got, once.goodput())
	}
	for _, c := range overloadClasses[1:] {
		want := int(overloadRun / (c.MaxWait + 3*time.Second))
		if got := thrice.inTime[c.Name] + thrice.late[c.Name]; got < want {
			t.Errorf("class %s was served %d times, want %d", c.Name, got, want)
		}
	}
}
