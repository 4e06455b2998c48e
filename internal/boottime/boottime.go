// Package boottime tells the time since the machine's start, the time that it
// was suspended included. Go's own clock stands still meanwhile, so that facts
// would look fresh that have become old.
package boottime

import (
	"sync"
	"time"
)

// Clock tells the time since some fixed moment.
type Clock interface {
	Now() time.Duration
}

// Fake is a clock that tests move. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the time to which the clock was moved.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock on.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}
