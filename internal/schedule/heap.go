package schedule

// notInHeap is the index of an element that is not in the heap of that kind.
const notInHeap = -1

// The kinds of heaps that contain a waiting entry.
const (
	// queueHeap is the heap of its account's entries, or of its class's late
	// entries.
	queueHeap = iota
	// oldestHeap holds all entries of its class, youngestHeap all entries of its
	// account.
	oldestHeap
	youngestHeap
	entryHeapKinds
)

// entryHeap is a binary heap of waiting entries, ordered by the start of their
// wait: oldest first, or youngest first in a youngestHeap. Any entry can be
// removed.
type entryHeap struct {
	items []*entry
	kind  int
}

// before reports whether a is ordered before b.
func (h *entryHeap) before(a, b *entry) bool {
	if a.WaitingSince == b.WaitingSince {
		return (a.arrival < b.arrival) != (h.kind == youngestHeap)
	}
	return (a.WaitingSince < b.WaitingSince) != (h.kind == youngestHeap)
}

func (h *entryHeap) first() *entry {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *entryHeap) push(e *entry) {
	e.heapIndex[h.kind] = len(h.items)
	h.items = append(h.items, e)
	h.up(len(h.items) - 1)
}

func (h *entryHeap) remove(e *entry) {
	i := e.heapIndex[h.kind]
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	e.heapIndex[h.kind] = notInHeap
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *entryHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.kind] = i
	h.items[j].heapIndex[h.kind] = j
}

func (h *entryHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *entryHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if other := child + 1; other < len(h.items) && h.before(h.items[other], h.items[child]) {
			child = other
		}
		if !h.before(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// The kinds of heaps that contain an account with waiting entries.
const (
	// virtualTimeHeap holds the accounts with entries that are not late, the
	// lowest virtual time first.
	virtualTimeHeap = iota
	// queueLengthHeap holds all accounts with entries, the longest queue first.
	queueLengthHeap
	accountHeapKinds
)

// accountHeap is a binary heap of accounts. Any account can be removed.
type accountHeap struct {
	items []*accountQueue
	kind  int
}

func (h *accountHeap) before(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.kind == queueLengthHeap {
		return a.waiting() > b.waiting()
	}
	return a.virtual < b.virtual
}

func (h *accountHeap) first() *accountQueue {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *accountHeap) push(a *accountQueue) {
	a.heapIndex[h.kind] = len(h.items)
	h.items = append(h.items, a)
	h.up(len(h.items) - 1)
}

func (h *accountHeap) remove(a *accountQueue) {
	i, last := a.heapIndex[h.kind], len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	a.heapIndex[h.kind] = notInHeap
	if i < last {
		h.fix(i)
	}
}

// fix restores the heap order after the account at index i has changed.
func (h *accountHeap) fix(i int) {
	h.down(i)
	h.up(i)
}

func (h *accountHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.kind] = i
	h.items[j].heapIndex[h.kind] = j
}

func (h *accountHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *accountHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if other := child + 1; other < len(h.items) && h.before(other, child) {
			child = other
		}
		if !h.before(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
