package daemon

import "sync"

// newCloseOnce returns a channel and a function that closes it; calling the
// function again has no effect.
func newCloseOnce() (chan struct{}, func()) {
	c := make(chan struct{})
	var once sync.Once
	return c, func() { once.Do(func() { close(c) }) }
}
