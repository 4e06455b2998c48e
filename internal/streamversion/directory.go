package streamversion

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// copies is the number of hosts that keep the record of a stream. With 13 hosts
	// most records outlast the loss of all but one.
	copies = 8
	// Bounds of how long a record is kept.
	minLifetime = 10 * time.Second
	maxLifetime = 10 * time.Minute
	// lookupTimeout is how long an owner may take to respond, resendInterval the time
	// after which the question is sent once more.
	lookupTimeout  = 250 * time.Millisecond
	resendInterval = 80 * time.Millisecond
	// refreshInterval is the minimum time between two refreshes after changes of the
	// hosts.
	refreshInterval = 500 * time.Millisecond
)

// Errors of Lookup.
var (
	// ErrUnknown means that no owner has a record of the stream.
	ErrUnknown = errors.New("the software version of the stream is not known")
	// ErrUnreachable means that none of those that responded has one, and that some
	// did not respond.
	ErrUnreachable = errors.New("hosts that may know the software version of the stream do not respond")
)

// Directory records the versions of streams at some hosts and looks them up there. It
// is safe for concurrent use.
type Directory struct {
	Clock clockwork.Clock
	Self  func() membership.Host
	// Hosts returns the known hosts, including this one.
	Hosts func() *membership.Snapshot
	// Send sends a datagram to the hosts with some peer addresses. It may be lost.
	Send func(addresses []string, m *peerv1.StreamVersion)
	// Count counts an event.
	Count func(name string)

	mu      sync.Mutex
	records records
	// active holds the streams that this daemon serves.
	active map[Key]*activeStream
	// questions holds the questions that wait for answers, by their numbers.
	questions map[uint64]*question
	// refreshed holds the hosts as of the last refresh, refreshedAt its time.
	refreshed   *membership.Snapshot
	refreshedAt time.Time
}

// activeStream is a stream that this daemon serves.
type activeStream struct {
	version  table.SoftwareVersion
	lifetime time.Duration
	// requests is the number of requests that it is served to; always positive.
	requests int
}

// question is a lookup that waits for answers.
type question struct {
	key Key
	// waiting holds the peer addresses of the hosts that have not answered.
	waiting map[string]bool
	// known receives the version, and is closed if no host has a record.
	known chan table.SoftwareVersion
}

// Begin records that a stream has begun or goes on at a version, and keeps the record
// at as many hosts while they change, until end is called. The record itself is kept
// for its lifetime.
func (d *Directory) Begin(k Key, version table.SoftwareVersion, lifetime time.Duration) (end func()) {
	lifetime = min(max(lifetime, minLifetime), maxLifetime)
	d.mu.Lock()
	if d.active == nil {
		d.active = map[Key]*activeStream{}
	}
	s := d.active[k]
	if s == nil {
		s = &activeStream{version: version, lifetime: lifetime}
		d.active[k] = s
	}
	s.requests++
	d.records.put(k, version, d.Clock.Now(), lifetime)
	d.mu.Unlock()
	d.publish(k, version, lifetime)
	return sync.OnceFunc(func() { d.end(k) })
}

func (d *Directory) end(k Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.active[k]
	if s.requests--; s.requests == 0 {
		delete(d.active, k)
	}
}

// publish sends a record to its owners.
func (d *Directory) publish(k Key, version table.SoftwareVersion, lifetime time.Duration) {
	addresses := d.owners(k)
	if len(addresses) == 0 {
		return
	}
	d.Count("streams.recordsSent")
	d.Send(addresses, &peerv1.StreamVersion{Key: k[:], Version: string(version), LifetimeMs: uint32(lifetime.Milliseconds())})
}

// owners returns the peer addresses of a stream's owners except this host.
func (d *Directory) owners(k Key) (addresses []string) {
	self := d.Self().ID
	for _, h := range Owners(k, d.Hosts().All(), copies) {
		if h.ID != self {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	return addresses
}

// Lookup returns the version at which a stream began. The error is ErrUnknown,
// ErrUnreachable or that of the context.
func (d *Directory) Lookup(ctx context.Context, k Key) (table.SoftwareVersion, error) {
	d.mu.Lock()
	version, ok := d.records.get(k, d.Clock.Now())
	d.mu.Unlock()
	if ok {
		return version, nil
	}
	addresses := d.owners(k)
	if len(addresses) == 0 {
		return "", ErrUnreachable
	}
	number, q := d.ask(k, addresses)
	defer d.forget(number)
	d.Count("streams.lookups")
	message := &peerv1.StreamVersion{Key: k[:], Question: number, Address: d.Self().PeerAddress}
	d.Send(addresses, message)
	resend, timeout := d.Clock.After(resendInterval), d.Clock.After(lookupTimeout)
	for {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case version, ok := <-q.known:
			if !ok {
				return "", ErrUnknown
			}
			return version, nil
		case <-resend:
			d.Send(d.unanswered(q), message)
		case <-timeout:
			return "", ErrUnreachable
		}
	}
}

// ask registers a question.
func (d *Directory) ask(k Key, addresses []string) (uint64, *question) {
	q := &question{key: k, waiting: map[string]bool{}, known: make(chan table.SoftwareVersion, 1)}
	for _, address := range addresses {
		q.waiting[address] = true
	}
	number := rand.Uint64() | 1 // zero means no question
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.questions == nil {
		d.questions = map[uint64]*question{}
	}
	d.questions[number] = q
	return number, q
}

func (d *Directory) forget(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.questions, number)
}

func (d *Directory) unanswered(q *question) (addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range q.waiting {
		addresses = append(addresses, address)
	}
	return addresses
}

// Receive handles a datagram of another daemon.
func (d *Directory) Receive(m *peerv1.StreamVersion) {
	if len(m.GetKey()) != len(Key{}) {
		return
	}
	k := Key(m.GetKey())
	switch {
	case m.GetQuestion() == 0:
		lifetime := min(time.Duration(m.GetLifetimeMs())*time.Millisecond, maxLifetime)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.records.put(k, table.SoftwareVersion(m.GetVersion()), d.Clock.Now(), lifetime)
	case m.GetAnswer():
		d.onAnswer(k, m)
	default:
		d.mu.Lock()
		version, _ := d.records.get(k, d.Clock.Now())
		d.mu.Unlock()
		d.Send([]string{m.GetAddress()}, &peerv1.StreamVersion{
			Key: m.GetKey(), Version: string(version), Question: m.GetQuestion(), Answer: true, Address: d.Self().PeerAddress,
		})
	}
}

// onAnswer handles an answer to a question of this daemon. An empty version means that
// the other one has no record.
func (d *Directory) onAnswer(k Key, m *peerv1.StreamVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.questions[m.GetQuestion()]
	if q == nil || q.key != k {
		return
	}
	if version := table.SoftwareVersion(m.GetVersion()); version != "" {
		q.known <- version
		delete(d.questions, m.GetQuestion())
		return
	}
	delete(q.waiting, m.GetAddress())
	if len(q.waiting) == 0 {
		close(q.known)
		delete(d.questions, m.GetQuestion())
	}
}

// Refresh sends the records of the streams that this daemon serves to their owners
// again if the hosts have changed. It is called periodically.
func (d *Directory) Refresh() {
	hosts := d.Hosts()
	now := d.Clock.Now()
	d.mu.Lock()
	if hosts == d.refreshed || now.Sub(d.refreshedAt) < refreshInterval {
		d.mu.Unlock()
		return
	}
	d.refreshed, d.refreshedAt = hosts, now
	streams := make(map[Key]activeStream, len(d.active))
	for k, s := range d.active {
		streams[k] = *s
		d.records.put(k, s.version, now, s.lifetime)
	}
	d.mu.Unlock()
	for k, s := range streams {
		d.publish(k, s.version, s.lifetime)
	}
}
