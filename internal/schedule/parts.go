package schedule

import "container/list"

// partList is what an engine is thought to keep, the least recently used part
// first. The zero value is empty.
type partList struct {
	order  *list.List
	byID   map[uint64]*list.Element
	tokens int
}

// cached returns how many tokens from the start of a prompt are kept.
func (l *partList) cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		if _, ok := l.byID[p.ID]; !ok {
			return n
		}
		n += p.Tokens
	}
	return n
}

// use notes that a prompt is read, and forgets the parts that must make room.
func (l *partList) use(parts []Part, room int) {
	if l.order == nil {
		l.order = list.New()
		l.byID = map[uint64]*list.Element{}
	}
	for _, p := range parts {
		if e, ok := l.byID[p.ID]; ok {
			l.order.MoveToBack(e)
			continue
		}
		l.byID[p.ID] = l.order.PushBack(p)
		l.tokens += p.Tokens
	}
	for l.tokens > room && l.order.Len() > 0 {
		oldest := l.order.Front()
		p, _ := l.order.Remove(oldest).(Part)
		delete(l.byID, p.ID)
		l.tokens -= p.Tokens
	}
}
