package storetime

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
)

// Guards against a daemon that is cut off from the store and takes its facts
// for younger than they are because of slow calls in which it observed the
// store's time.
func TestLatestIsNeverEarly(t *testing.T) {
	var boot boottime.Fake
	c := NewClock(&boot)
	if _, ok := c.Latest(); ok {
		t.Fatal("a time is known before any call")
	}
	store := func() Instant { return Instant(boot.Now()/time.Millisecond) + 5000 }
	for _, call := range []struct{ there, back time.Duration }{
		{400 * time.Millisecond, 10 * time.Millisecond},
		{10 * time.Millisecond, 300 * time.Millisecond},
		{2 * time.Millisecond, 2 * time.Millisecond},
		{time.Second, time.Millisecond},
	} {
		sent := boot.Now()
		boot.Advance(call.there)
		shown := store()
		boot.Advance(call.back)
		c.Observe(sent, shown)
		boot.Advance(time.Second)
		latest, ok := c.Latest()
		if !ok || latest < store() {
			t.Fatalf("latest %d, but it is %d at the store", latest, store())
		}
	}
	if latest, _ := c.Latest(); latest.Sub(store()) > 5*time.Millisecond {
		t.Errorf("the bound is %v off after a quick call", latest.Sub(store()))
	}
}

// The store's time advances while the machine is suspended.
func TestLatestCountsSuspension(t *testing.T) {
	var boot boottime.Fake
	c := NewClock(&boot)
	c.Observe(boot.Now(), 1000)
	boot.Advance(time.Hour)
	latest, _ := c.Latest()
	if latest.Sub(1000) < time.Hour {
		t.Errorf("%v have passed, want an hour", latest.Sub(1000))
	}
	if latest.Sub(1000) > time.Hour+time.Second {
		t.Errorf("%v have passed, want an hour and the drift", latest.Sub(1000))
	}
}
