package schedule

// noPosition marks an element that is in no heap of a kind.
const noPosition = -1

// The heaps that a waiting entry is in.
const (
	// byTurn is the heap of its account, or of its class's late entries.
	byTurn = iota
	// byAge is the heap of its class, byYouth another one of its account.
	byAge
	byYouth
	entryHeaps
)

// entryHeap is a binary heap of waiting entries that can remove any of them.
type entryHeap struct {
	items []*entry
	kind  int
}

// before tells whether a stands above b.
func (h *entryHeap) before(a, b *entry) bool {
	if a.Since == b.Since {
		return (a.order < b.order) != (h.kind == byYouth)
	}
	return (a.Since < b.Since) != (h.kind == byYouth)
}

func (h *entryHeap) first() *entry {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *entryHeap) push(e *entry) {
	e.position[h.kind] = len(h.items)
	h.items = append(h.items, e)
	h.up(len(h.items) - 1)
}

func (h *entryHeap) remove(e *entry) {
	i := e.position[h.kind]
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	e.position[h.kind] = noPosition
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *entryHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position[h.kind] = i
	h.items[j].position[h.kind] = j
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

// The heaps that an account with waiting entries is in.
const (
	// byVirtual has the accounts with entries in time, the one with the
	// least virtual time first.
	byVirtual = iota
	// bySize has all that have entries, the one with the most first.
	bySize
	accountHeaps
)

// accountHeap is a binary heap of accounts that can remove any of them.
type accountHeap struct {
	items []*accountQueue
	kind  int
}

func (h *accountHeap) before(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.kind == bySize {
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
	a.position[h.kind] = len(h.items)
	h.items = append(h.items, a)
	h.up(len(h.items) - 1)
}

func (h *accountHeap) remove(a *accountQueue) {
	i, last := a.position[h.kind], len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	a.position[h.kind] = noPosition
	if i < last {
		h.fix(i)
	}
}

// fix restores the order after the account at i has changed.
func (h *accountHeap) fix(i int) {
	h.down(i)
	h.up(i)
}

func (h *accountHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position[h.kind] = i
	h.items[j].position[h.kind] = j
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
