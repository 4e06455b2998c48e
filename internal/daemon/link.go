package daemon

import "sync"

// closer returns a channel and a function that closes it once.
func closer() (chan struct{}, func()) {
	c := make(chan struct{})
	var once sync.Once
	return c, func() { once.Do(func() { close(c) }) }
}
