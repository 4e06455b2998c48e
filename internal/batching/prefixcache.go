package batching

import "container/list"

// maxCachedParts bounds the parts that are remembered of an engine: parts may have no tokens.
const maxCachedParts = 4096

// PrefixCache models the prefix cache of an engine. Parts that running requests
// use are never evicted, the others in least-recently-used order. The zero
// value is an empty cache.
type PrefixCache struct {
	// idle lists the parts that no running request uses, the least recently used
	// first.
	idle *list.List
	byID map[uint64]*cachedPart
	// tokens is the size of all parts, inUse that of the parts with users.
	tokens, inUse int
}

// cachedPart is a cached part; users is the number of running requests that
// use it.
type cachedPart struct {
	Part
	users int
	// element is its element in idle, or nil while it has users.
	element *list.Element
}

// Cached returns how many tokens from the start of a prompt are cached.
func (l *PrefixCache) Cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		if l.byID[p.ID] == nil {
			return n
		}
		n += p.Tokens
	}
	return n
}

// newlyInUse returns by how much a prompt would increase the tokens in use.
func (l *PrefixCache) newlyInUse(parts []Part) int {
	n := 0
	for _, p := range parts {
		if k := l.byID[p.ID]; k == nil || k.users == 0 {
			n += p.Tokens
		}
	}
	return n
}

// Acquire adds a running request as user of the parts of its prompt, and evicts
// idle parts until the cache fits into room tokens and maxCachedParts.
func (l *PrefixCache) Acquire(parts []Part, room int) {
	if l.idle == nil {
		l.idle = list.New()
		l.byID = map[uint64]*cachedPart{}
	}
	for _, p := range parts {
		k := l.byID[p.ID]
		if k == nil {
			k = &cachedPart{Part: p}
			l.byID[p.ID] = k
			l.tokens += p.Tokens
		}
		if k.users++; k.users == 1 {
			l.inUse += k.Tokens
		}
		if k.element != nil {
			l.idle.Remove(k.element)
			k.element = nil
		}
	}
	for (l.tokens > room || len(l.byID) > maxCachedParts) && l.idle.Len() > 0 {
		oldest, _ := l.idle.Remove(l.idle.Front()).(*cachedPart)
		delete(l.byID, oldest.ID)
		l.tokens -= oldest.Tokens
	}
}

// Release removes a request as user of the parts of its prompt.
func (l *PrefixCache) Release(parts []Part) {
	for _, p := range parts {
		k := l.byID[p.ID]
		if k == nil || k.users == 0 {
			continue
		}
		if k.users--; k.users == 0 {
			l.inUse -= k.Tokens
			k.element = l.idle.PushBack(k)
		}
	}
}
