package batching

import "testing"

// Parts that running requests use can't make room, however long ago they began.
func TestPartsInUseStay(t *testing.T) {
	var l PartList
	l.Take([]Part{{ID: 1, Tokens: 60}}, 100)
	l.Take([]Part{{ID: 2, Tokens: 30}}, 100)
	l.Leave([]Part{{ID: 2, Tokens: 30}})
	l.Take([]Part{{ID: 3, Tokens: 30}}, 100)
	if l.Cached([]Part{{ID: 1, Tokens: 60}}) != 60 || l.Cached([]Part{{ID: 2, Tokens: 30}}) != 0 || l.inUse != 90 || l.tokens != 90 {
		t.Errorf("%d tokens, %d in use", l.tokens, l.inUse)
	}
}
