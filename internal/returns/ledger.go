// Package returns remembers callers that were refused, so that one that returns when it
// was told is distinguished from one that repeats at once. Callers are known by a
// fingerprint of their request, which different callers may share: a ledger counts them
// and does not identify them. Its state is soft. It performs no I/O and is handed the
// time.
package returns

import "time"

// Fingerprint identifies a request across the attempts of its caller; zero means
// unknown.
type Fingerprint uint64

const (
	// maxRecords limits the fingerprints that a ledger holds.
	maxRecords = 8192
	// keepTime is how long after its time a caller may return and be known.
	keepTime = 15 * time.Second
	// tolerance is how much earlier than told a caller may return: times are sent in
	// whole milliseconds.
	tolerance = 2 * time.Millisecond
)

// Kind is how an arrival relates to earlier ones of its fingerprint.
type Kind int

// The kinds of arrivals.
const (
	// First arrivals are those of callers that were not refused lately.
	First Kind = iota
	// OnTime arrivals are those of callers that return after the time that they were
	// told.
	OnTime
	// Early arrivals come before that time.
	Early
)

// Visit is an arrival as the ledger knows it.
type Visit struct {
	Kind Kind
	// First is when the caller arrived first.
	First time.Duration
	// Due is when an early caller was told to return.
	Due time.Duration
}

// record is what is known of the callers of a fingerprint.
type record struct {
	first, due time.Duration
	// away is the number of callers that were refused and have not returned; it is
	// positive.
	away int
	// order distinguishes the records that a fingerprint has one after the other.
	order uint64
}

// place is an element of the queue of records to drop.
type place struct {
	fingerprint Fingerprint
	order       uint64
}

// Ledger holds the callers that were refused. The zero value is empty.
type Ledger struct {
	records map[Fingerprint]*record
	// oldest holds a place for each record, and places whose record is gone.
	oldest []place
	orders uint64
}

// Len returns the number of fingerprints that the ledger holds.
func (l *Ledger) Len() int { return len(l.records) }

// Arrive returns how an arrival relates to earlier ones. One that returns on time is
// counted as returned.
func (l *Ledger) Arrive(f Fingerprint, now time.Duration) Visit {
	r := l.records[f]
	if f == 0 || r == nil || now > r.due+keepTime {
		return Visit{Kind: First, First: now}
	}
	v := Visit{Kind: Early, First: r.first, Due: r.due}
	if now+tolerance < r.due {
		return v
	}
	v.Kind = OnTime
	if r.away--; r.away == 0 {
		delete(l.records, f)
	}
	return v
}

// Refuse records that a caller that arrived first at the given time was told to return
// at due. It must not be called for an early arrival.
func (l *Ledger) Refuse(f Fingerprint, first, due, now time.Duration) {
	if f == 0 || due <= now {
		return
	}
	if r := l.records[f]; r != nil && now <= r.due+keepTime {
		r.away++
		r.due = max(r.due, due)
		return
	}
	if l.records == nil {
		l.records = map[Fingerprint]*record{}
	}
	l.orders++
	l.records[f] = &record{first: first, due: due, away: 1, order: l.orders}
	l.oldest = append(l.oldest, place{f, l.orders})
	l.prune(now)
}

// prune drops the records that are not needed any more, and the oldest ones if there
// are too many.
func (l *Ledger) prune(now time.Duration) {
	for len(l.oldest) > 0 {
		p := l.oldest[0]
		r := l.records[p.fingerprint]
		isCurrent := r != nil && r.order == p.order
		if isCurrent && now <= r.due+keepTime && len(l.oldest) <= maxRecords {
			return
		}
		if isCurrent {
			delete(l.records, p.fingerprint)
		}
		l.oldest = l.oldest[1:]
	}
}
