package batching

import "testing"

// Guards against the eviction of parts that running requests use, however long
// ago these began.
func TestPartsInUseAreNotEvicted(t *testing.T) {
	var l PrefixCache
	l.Acquire([]Part{{ID: 1, Tokens: 60}}, 100)
	l.Acquire([]Part{{ID: 2, Tokens: 30}}, 100)
	l.Release([]Part{{ID: 2, Tokens: 30}})
	l.Acquire([]Part{{ID: 3, Tokens: 30}}, 100)
	if l.Cached([]Part{{ID: 1, Tokens: 60}}) != 60 || l.Cached([]Part{{ID: 2, Tokens: 30}}) != 0 || l.inUse != 90 || l.tokens != 90 {
		t.Errorf("%d tokens cached, %d in use; want 90 of both, with parts 1 and 3", l.tokens, l.inUse)
	}
}
