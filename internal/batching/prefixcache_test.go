package batching

import (
	"testing"
	"time"
)

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

// Guards against a cache that grows with the number of parts that have no tokens, of which
// an engine may have any number.
func TestCacheIsBoundedInParts(t *testing.T) {
	var l PrefixCache
	for i := range uint64(3 * maxCachedParts) {
		parts := []Part{{ID: i}}
		l.Acquire(parts, 100)
		l.Release(parts)
	}
	if n := len(l.byID); n > maxCachedParts+1 {
		t.Errorf("%d parts are cached, at most %d are allowed", n, maxCachedParts)
	}
	last := []Part{{ID: 3*maxCachedParts - 1, Tokens: 1}}
	if l.Cached(last) != 1 {
		t.Error("the last part is not cached")
	}
}

// Guards against a record of last uses that grows with the number of parts.
func TestLastUsesAreBounded(t *testing.T) {
	uses := map[int]time.Duration{}
	for i := range 2 * maxLastUses {
		remember(uses, i, time.Duration(i))
	}
	if len(uses) != maxLastUses || uses[2*maxLastUses-1] != 2*maxLastUses-1 {
		t.Errorf("%d last uses are remembered, want %d and the last one", len(uses), maxLastUses)
	}
}
