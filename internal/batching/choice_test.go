package batching

import (
	"testing"
	"time"
)

// Guards against requests that have waited and are given to an engine with as
// much to read as if they had just come, so that all of a burst are late.
func TestWaitingUsesUpPatience(t *testing.T) {
	p := NewPool()
	g := &Work{Prompt: Prompt{Tokens: 2000}, Class: &Class{Tier: 2, Target: 2 * time.Second, Pause: 800 * time.Millisecond}}
	fresh := p.patience(g, 0)
	if waited := p.patience(g, 900*time.Millisecond); waited >= fresh {
		t.Errorf("the patience is %v after 0.9 s, %v at first", waited, fresh)
	}
	g.Late = true
	if late := p.patience(g, 5*time.Second); late != fresh {
		t.Errorf("a late request's patience is %v, want %v: it has no target to meet", late, fresh)
	}
}
