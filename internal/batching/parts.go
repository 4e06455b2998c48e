package batching

import "container/list"

// PartList is what an engine is thought to keep. Parts of running requests
// stay; of the others the least recently used makes room first. The zero value
// is empty.
type PartList struct {
	// idle has the parts that no running request uses, the least recently used
	// first.
	idle *list.List
	byID map[uint64]*keptPart
	// tokens is the sum of all parts, inUse that of those with users.
	tokens, inUse int
}

// keptPart is one part with its users, the running requests that have it.
type keptPart struct {
	Part
	users int
	// place is where it stands in idle; nil while it has users.
	place *list.Element
}

// Cached returns how many tokens from the start of a prompt are kept.
func (l *PartList) Cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		if l.byID[p.ID] == nil {
			return n
		}
		n += p.Tokens
	}
	return n
}

// added returns by how many tokens the parts in use grow with a prompt.
func (l *PartList) added(parts []Part) int {
	n := 0
	for _, p := range parts {
		if k := l.byID[p.ID]; k == nil || k.users == 0 {
			n += p.Tokens
		}
	}
	return n
}

// Take notes that a running request uses the parts of its prompt, and forgets
// the idle ones that must make room.
func (l *PartList) Take(parts []Part, room int) {
	if l.idle == nil {
		l.idle = list.New()
		l.byID = map[uint64]*keptPart{}
	}
	for _, p := range parts {
		k := l.byID[p.ID]
		if k == nil {
			k = &keptPart{Part: p}
			l.byID[p.ID] = k
			l.tokens += p.Tokens
		}
		if k.users++; k.users == 1 {
			l.inUse += k.Tokens
		}
		if k.place != nil {
			l.idle.Remove(k.place)
			k.place = nil
		}
	}
	for l.tokens > room && l.idle.Len() > 0 {
		oldest, _ := l.idle.Remove(l.idle.Front()).(*keptPart)
		delete(l.byID, oldest.ID)
		l.tokens -= oldest.Tokens
	}
}

// Leave ends a request's use of the parts of its prompt.
func (l *PartList) Leave(parts []Part) {
	for _, p := range parts {
		k := l.byID[p.ID]
		if k == nil || k.users == 0 {
			continue
		}
		if k.users--; k.users == 0 {
			l.inUse -= k.Tokens
			k.place = l.idle.PushBack(k)
		}
	}
}
