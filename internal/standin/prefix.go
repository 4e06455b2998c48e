package standin

import (
	"container/list"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// PathCacheEvents answers what was cached and evicted.
const PathCacheEvents = "/v1/cache/events"

const (
	bytesPerToken = 4
	// prefixBytes is how much of the messages one cached prefix covers.
	prefixBytes = 1024
	// cacheEventLag is how late cache events are published.
	cacheEventLag = 500 * time.Millisecond
	// maxCacheEvents bounds the events that can still be asked for.
	maxCacheEvents = 1024
	// lostEvery is the share of events that are lost when there are gaps.
	lostEvery = 5
)

// CacheEvent reports that a prefix was stored or evicted. Sequences grow by one
// with each event, so that a reader sees a gap.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the xxhash of the first 1024 bytes of the messages.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`

	at time.Time
}

// CacheEvents is the answer to a reader of events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// prefixCache holds the most recently used prefixes. It is safe for
// concurrent use.
type prefixCache struct {
	// lossy drops some events.
	lossy atomic.Bool

	mu   sync.Mutex
	size int
	// order holds the prefixes, most recently used first.
	order    *list.List
	entries  map[uint64]*list.Element
	sequence uint64
	events   []CacheEvent
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), entries: map[uint64]*list.Element{}}
}

// use reports whether a prefix is cached, and caches it.
func (c *prefixCache) use(prefix uint64) bool {
	if c.size == 0 || prefix == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[prefix]; e != nil {
		c.order.MoveToFront(e)
		return true
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	c.publish(prefix, false)
	if c.order.Len() > c.size {
		oldest, _ := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, oldest)
		c.publish(oldest, true)
	}
	return false
}

func (c *prefixCache) publish(prefix uint64, evicted bool) {
	c.sequence++
	if c.lossy.Load() && c.sequence%lostEvery == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// serve answers the events after a sequence number.
func (c *prefixCache) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(CacheEvents{Events: c.after(after, time.Now().Add(-cacheEventLag))})
}

func (c *prefixCache) after(sequence uint64, until time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && e.at.Before(until) {
			events = append(events, e)
		}
	}
	return events
}
