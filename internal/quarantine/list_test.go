package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/pkg/table"
)

func endpointName(i int) table.EndpointName { return table.EndpointName(fmt.Sprintf("engine-%d", i)) }

// terminate records that n endpoints, numbered from a given number on,
// terminated during a request.
func terminate(l *List, f Fingerprint, from, n int) {
	for i := range n {
		l.RecordTermination(f, endpointName(from+i))
	}
}

// Guards against quarantining a request during which only one or two endpoints
// have terminated, or the same endpoint repeatedly.
func TestQuarantineAfterThreeEndpoints(t *testing.T) {
	l := NewList(clockwork.NewFakeClock())
	for range 5 {
		l.RecordTermination(1, endpointName(1))
	}
	l.RecordTermination(1, endpointName(2))
	if l.IsQuarantined(1) {
		t.Error("quarantined after two endpoints")
	}
	l.RecordTermination(1, endpointName(3))
	if !l.IsQuarantined(1) {
		t.Error("not quarantined after three endpoints")
	}
	if l.IsQuarantined(2) {
		t.Error("another request is quarantined")
	}
}

// Guards against sending a request indefinitely after its first quarantine
// although it still terminates endpoints, however many have terminated already.
func TestQuarantineAgainAfterOneMoreEndpoint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l, other := NewList(clock), NewList(clock)
	terminate(l, 1, 0, threshold)
	for i := range 2 * maxEndpoints {
		clock.Advance(quarantineDuration)
		if l.IsQuarantined(1) {
			t.Fatal("still quarantined after its quarantine expired")
		}
		l.RecordTermination(1, endpointName(threshold+i))
		if !l.IsQuarantined(1) {
			t.Fatalf("not quarantined after endpoint %d", threshold+i)
		}
		for _, n := range l.TakeUpdates(1) {
			other.Apply(n)
		}
		if !other.IsQuarantined(1) {
			t.Fatalf("not quarantined by another daemon after endpoint %d", threshold+i)
		}
	}
	clock.Advance(retentionMany)
	if l.Digest() != 0 || len(l.All()) != 0 || len(l.TakeUpdates(1)) != 0 {
		t.Error("still tracked after its retention period")
	}
}

// Guards against daemons that keep a suspect tracked forever by sending it to
// each other: the age in an update must not restart when it is passed on.
func TestUpdateAgeIsPassedOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := NewList(clock), NewList(clock)
	terminate(a, 1, 0, threshold)
	for range int(retentionMany / time.Minute) {
		clock.Advance(time.Minute)
		for _, pair := range [][2]*List{{a, b}, {b, a}} {
			for _, n := range pair[0].All() {
				pair[1].Apply(n)
			}
		}
	}
	if len(a.All())+len(b.All()) != 0 {
		t.Error("still tracked after its retention period")
	}
}

// Guards against a single caller that fills the memory of all daemons: the
// number of tracked requests is limited, and a request during which several
// endpoints have terminated is not evicted.
func TestSuspectsAreBounded(t *testing.T) {
	l := NewList(clockwork.NewFakeClock())
	terminate(l, 1, 0, threshold)
	for f := range 3 * maxSuspects {
		l.RecordTermination(Fingerprint(2+f), endpointName(1))
	}
	for f := range 3 * maxCompleted {
		l.RecordCompletion(Fingerprint(f))
	}
	for e := range 3 * maxTerminated {
		l.Apply(Update{Fingerprint: 2, Terminated: []EndpointID{EndpointID(e)}})
	}
	if n := len(l.terminated.values); n > maxTerminated || len(l.terminated.ring) != n {
		t.Errorf("%d endpoints are remembered as terminated, %d in the ring", n, len(l.terminated.ring))
	}
	if n := len(l.suspects); n > maxSuspects {
		t.Errorf("%d requests are tracked", n)
	}
	if n := len(l.completed.values); n > maxCompleted || len(l.completed.ring) != n {
		t.Errorf("%d requests are remembered as completed, %d in the ring", n, len(l.completed.ring))
	}
	if s := l.suspects[1]; s == nil || len(s.endpoints) != threshold {
		t.Error("the request with the most terminated endpoints was evicted")
	}
}

// Guards against daemons that have received the same updates in different order
// and end up with different digests: they would request the full list from each
// other again and again.
func TestOrderOfUpdatesDoesNotMatter(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		clock := clockwork.NewFakeClock()
		var updates []Update
		for range 4 * maxSuspects {
			n := Update{Fingerprint: Fingerprint(random.IntN(2 * maxSuspects)), Completed: random.IntN(8) == 0}
			n.Terminated = []EndpointID{EndpointID(random.IntN(5))}
			updates = append(updates, n)
		}
		a, b := NewList(clock), NewList(clock)
		for _, n := range updates {
			a.Apply(n)
		}
		random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
		for _, n := range updates {
			b.Apply(n)
		}
		for range 2 {
			for _, n := range a.All() {
				b.Apply(n)
			}
			for _, n := range b.All() {
				a.Apply(n)
			}
		}
		if a.Digest() != b.Digest() || a.Digest() == 0 {
			t.Errorf("seed %d: digests %x and %x", seed, a.Digest(), b.Digest())
		}
	}
}

// Guards against different fingerprints for the same request, and against equal
// ones for another account, method, host, target or body.
func TestFingerprint(t *testing.T) {
	same := FingerprintOf("a", "POST", "h", "/x", []byte("body"))
	if same != FingerprintOf("a", "POST", "h", "/x", []byte("body")) {
		t.Error("differs for the same request")
	}
	for i, other := range []Fingerprint{
		FingerprintOf("b", "POST", "h", "/x", []byte("body")),
		FingerprintOf("a", "GET", "h", "/x", []byte("body")),
		FingerprintOf("a", "POST", "g", "/x", []byte("body")),
		FingerprintOf("a", "POST", "h", "/xb", []byte("ody")),
		FingerprintOf("a", "POST", "h/", "x", []byte("body")),
		FingerprintOf("a", "POST", "h", "/x", []byte("bode")),
	} {
		if other == same {
			t.Errorf("request %d has the same fingerprint", i)
		}
	}
}

// Guards against a request that is suspect for longer than it would be quarantined, or
// although it has completed: it would be no trial of its parts.
func TestSuspectRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := NewList(clock)
	l.RecordTermination(1, endpointName(1))
	l.RecordTermination(2, endpointName(1))
	l.RecordCompletion(2)
	if !l.IsSuspect(1) || l.IsSuspect(2) || l.IsSuspect(3) {
		t.Errorf("suspect: %v, %v, %v, want the first alone", l.IsSuspect(1), l.IsSuspect(2), l.IsSuspect(3))
	}
	l.RecordTermination(1, endpointName(2))
	clock.Advance(quarantineDuration)
	if l.IsSuspect(1) {
		t.Error("still suspect after a quarantine would have ended")
	}
}
