package batching

import (
	"testing"
	"time"
)

// zonePool returns a pool of idle engines, one in each of the zones.
func zonePool(disabled []Mechanism, zones ...string) *Pool {
	p := NewPool()
	var engines []*Engine
	for i, zone := range zones {
		e := &Engine{Memory: 100_000, Concurrency: 8, Zone: zone}
		e.Rename(string(rune('a' + i)))
		e.Free = func(time.Duration) bool { return true }
		e.Ejected = func(time.Duration) bool { return false }
		e.RateLimited = e.Ejected
		e.Slowdown = func() float64 { return 1 }
		engines = append(engines, e)
	}
	p.Configure(engines, nil, disabled)
	return p
}

func zoneRequest(zone string, body int) *RequestState {
	return &RequestState{
		Class:  &Class{Target: time.Second},
		Prompt: Prompt{Tokens: 4000, ResponseTokens: 10, Zone: zone, BodyBytes: body, Parts: []Part{{ID: 1, Tokens: 3000}, {ID: 2, Tokens: 1000}}},
	}
}

// cheapest returns the engine with the lowest cost.
func cheapest(p *Pool, g *RequestState) (best *Engine) {
	c := p.Candidate(g, nil, 0)
	var least float64
	for _, e := range p.engines {
		if cost, _ := p.Cost(e, &c, 0); best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// Guards against bodies that cross a zone for parts that the own zone could fetch.
func TestLargeBodyStaysInZone(t *testing.T) {
	p := zonePool(nil, "x", "y")
	first := zoneRequest("x", 0)
	p.RecordGrant(p.engines[0], first, 0)
	p.RecordFirstToken(p.engines[0], first, 0)
	for body, want := range map[int]string{100: "x", 60_000: "y"} {
		if e := cheapest(p, zoneRequest("y", body)); e.Zone != want {
			t.Errorf("a body of %d bytes is sent to zone %s, want %s", body, e.Zone, want)
		}
	}
}

// Guards against requests that wait in a crowded zone beside idle engines of others, for
// the sake of bytes.
func TestCrowdedZoneIsLeft(t *testing.T) {
	p := zonePool(nil, "x", "y")
	g := zoneRequest("x", 1<<20)
	g.Prompt.Parts = nil
	if e := cheapest(p, g); e.Zone != "x" {
		t.Fatalf("sent to zone %s, want x", e.Zone)
	}
	first := zoneRequest("x", 0)
	first.Prompt.Tokens, first.Prompt.Parts = 20_000, nil
	p.RecordGrant(p.engines[0], first, 0)
	if backlog := p.engines[0].Backlog(0); backlog <= g.Class.transferWait() {
		t.Fatalf("the backlog is %v", backlog)
	}
	e := cheapest(p, g)
	if e.Zone != "y" {
		t.Fatalf("sent to zone %s, want y", e.Zone)
	}
	p.CountCrossing(e, &g.Prompt, 0)
	if n := p.Crossings()[CrossedCrowded]; n != (Crossings{Requests: 1, Bytes: 1 << 20}) {
		t.Errorf("counted %+v", p.Crossings())
	}
}

func TestReasonsOfCrossings(t *testing.T) {
	p := zonePool(nil, "x", "y")
	p.RecordGrant(p.engines[1], zoneRequest("y", 0), 0)
	p.CountCrossing(p.engines[1], &zoneRequest("x", 10).Prompt, 0)
	p.CountCrossing(p.engines[1], &zoneRequest("z", 20).Prompt, 0)
	p.CountCrossing(p.engines[1], &zoneRequest("y", 40).Prompt, 0)
	p.CountCrossing(p.engines[1], &zoneRequest("", 80).Prompt, 0)
	got := p.Crossings()
	if len(got) != 2 || got[CrossedForHome].Bytes != 10 || got[CrossedNoEngine].Bytes != 20 {
		t.Errorf("counted %+v", got)
	}
}

// Parts that are requested in a zone again have a home there; after a time without
// requests they have the one for all zones.
func TestHomeOfFrequentParts(t *testing.T) {
	p := zonePool(nil, "x", "y", "y", "y")
	r := &zoneRequest("y", 0).Prompt
	chain, _ := sharedChain(r.Parts)
	for p.rendezvous(chain, "", 0).Zone != "x" {
		r.Parts[0].ID++
		chain, _ = sharedChain(r.Parts)
	}
	home := func(at time.Duration) string {
		c := Candidate{Prompt: r}
		p.findAffinity(&c, at)
		return c.affinityEngine.Zone
	}
	if zone := home(0); zone != "x" {
		t.Errorf("the home of parts without requests is in zone %s, want x", zone)
	}
	p.recordZoneUse(r, 0)
	if zone := home(time.Second); zone != "y" {
		t.Errorf("the home of frequent parts is in zone %s, want y", zone)
	}
	p.Review(recentUse)
	if zone := home(recentUse); zone != "x" || len(p.lastZoneUse) != 0 {
		t.Errorf("the home after %v is in zone %s, want x", recentUse, zone)
	}
}

// A cell whose engines are all in one zone, or in none, decides as without zones.
func TestOneZoneDecidesAsBefore(t *testing.T) {
	for _, zone := range []string{"", "x"} {
		with := zonePool(nil, zone, zone, zone)
		without := zonePool([]Mechanism{TransferCost, ZoneHome}, zone, zone, zone)
		for i := range 30 {
			now := time.Duration(i) * 10 * time.Millisecond
			g := func() *RequestState {
				g := zoneRequest([]string{"x", "y", ""}[i%3], 10_000*i)
				g.Prompt.Parts[0].ID = uint64(i % 4)
				g.Prompt.Parts[1].ID = uint64(100 + i)
				return g
			}
			a, b := g(), g()
			ca, cb := with.Candidate(a, nil, now), without.Candidate(b, nil, now)
			for j := range with.engines {
				costA, _ := with.Cost(with.engines[j], &ca, now)
				costB, _ := without.Cost(without.engines[j], &cb, now)
				if costA != costB {
					t.Fatalf("request %d costs %v at engine %d, %v without zones", i, costA, j, costB)
				}
			}
			with.RecordGrant(with.engines[i%3], a, now)
			without.RecordGrant(without.engines[i%3], b, now)
		}
		if len(with.Crossings())+len(with.lastZoneUse) != 0 {
			t.Errorf("zone %q: zones are recorded", zone)
		}
	}
}
