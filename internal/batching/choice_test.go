package batching

import (
	"testing"
	"time"
)

// Guards against requests that have waited being given to an engine with as long
// a backlog as new requests accept, which makes all requests of a burst late.
func TestWaitingReducesBacklogLimit(t *testing.T) {
	p := NewPool()
	g := &RequestState{Prompt: Prompt{Tokens: 2000}, Class: &Class{Tier: 2, Target: 2 * time.Second, Pause: 800 * time.Millisecond}}
	fresh := p.backlogLimit(g, 0)
	if waited := p.backlogLimit(g, 900*time.Millisecond); waited >= fresh {
		t.Errorf("the backlog limit is %v after 0.9 s, %v at first", waited, fresh)
	}
	g.Late = true
	if late := p.backlogLimit(g, 5*time.Second); late != fresh {
		t.Errorf("a late request's backlog limit is %v, want %v: it has no target to meet", late, fresh)
	}
}
