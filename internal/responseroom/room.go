// Package responseroom bounds what the responses of endpoints make a daemon hold before
// anything of them is passed on.
package responseroom

import "sync"

const (
	// freeSize is the size in bytes up to which a response is not accounted for. Most
	// responses and events are smaller.
	freeSize = 8 << 10
	// share is the part, as a divisor, of what callers may make a daemon hold that is the
	// limit of a room. A response that is alone may use all of it, and minAlone in any case.
	share    = 8
	minAlone = 4 << 20
)

// Room accounts for buffers of responses. A nil Room has no limit. It is safe for concurrent
// use.
type Room struct {
	// limit is in bytes, alone is that of a response that is alone.
	limit, alone int

	mu       sync.Mutex
	held     int
	holdings map[*Holding]struct{}
	gaveWay  int64
	refused  int64
}

// New returns a room of a daemon that callers may make hold total bytes.
func New(total int) *Room {
	return &Room{limit: total / share, alone: max(total, minAlone), holdings: map[*Holding]struct{}{}}
}

// Figures are a room's totals: the bytes held, how many responses gave way, and how many got
// no room.
type Figures struct {
	Held             int
	GaveWay, Refused int64
}

// Figures returns the totals.
func (r *Room) Figures() Figures {
	if r == nil {
		return Figures{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Figures{Held: r.held, GaveWay: r.gaveWay, Refused: r.refused}
}

// Holding is the buffer of one response.
type Holding struct {
	room *Room
	// size is what is accounted for, in bytes.
	size int
	// giveWay ends the response; nil if it can't end.
	giveWay func()
	// gone reports whether the response has given way; closed whether it has ended.
	gone, closed bool
}

// Open returns a holding, which must be closed. giveWay is called at most once, in a goroutine
// of another response, if that one needs the room and this one holds more; it must end the
// response and must not wait. If it is nil, the response never gives way.
func (r *Room) Open(giveWay func()) *Holding {
	return &Holding{room: r, giveWay: giveWay}
}

// Resize changes the size of the buffer, in bytes. It reports false, and changes nothing, if
// there is no room. A response that is alone has more room, since otherwise a large one could
// not be served at all.
func (h *Holding) Resize(size int) bool {
	r := h.room
	if r == nil {
		return true
	}
	// While it grows, a buffer is there twice.
	size = 2 * size
	if size <= 2*freeSize {
		size = 0
	}
	victims, ok := r.resize(h, size)
	for _, v := range victims {
		v.giveWay()
	}
	return ok
}

func (r *Room) resize(h *Holding, size int) (victims []*Holding, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.gone || h.closed {
		return nil, false
	}
	if size > h.size && size > r.alone {
		r.refused++
		return nil, false
	}
	for size > h.size && r.held > h.size && r.held-h.size+size > r.limit {
		v := r.largest()
		if v == nil || v == h || v.size <= size {
			r.refused++
			return victims, false
		}
		r.remove(v)
		v.gone = true
		r.gaveWay++
		victims = append(victims, v)
	}
	r.remove(h)
	h.size = size
	if size > 0 {
		r.held += size
		r.holdings[h] = struct{}{}
	}
	return victims, true
}

// largest returns the largest holding that can give way; nil if there is none.
func (r *Room) largest() (largest *Holding) {
	for h := range r.holdings {
		if h.giveWay != nil && (largest == nil || h.size > largest.size) {
			largest = h
		}
	}
	return largest
}

func (r *Room) remove(h *Holding) {
	r.held -= h.size
	h.size = 0
	delete(r.holdings, h)
}

// HasGivenWay reports whether the response has given way.
func (h *Holding) HasGivenWay() bool {
	if h.room == nil {
		return false
	}
	h.room.mu.Lock()
	defer h.room.mu.Unlock()
	return h.gone
}

// Close releases the buffer.
func (h *Holding) Close() {
	if h.room == nil {
		return
	}
	h.room.mu.Lock()
	defer h.room.mu.Unlock()
	h.room.remove(h)
	h.closed = true
}
