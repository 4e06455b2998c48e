package tunnel

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/membership"
)

const (
	// fallbackDelay is how long a direct connection may take before another daemon
	// is asked as well, and how long that one may take before the next is asked.
	fallbackDelay = 100 * time.Millisecond
	// maxVia is the number of daemons that one attempt asks.
	maxVia = 3
	// lossLifetime is how long after the last evidence an address counts as
	// lost.
	lossLifetime = 5 * time.Second
	// refusalsUntilCertain is the number of daemons that must confirm that an
	// endpoint's machine refuses connections. They are of different zones, if
	// possible.
	refusalsUntilCertain = 2
	// tunnelLifetime is how long after the last tunnel was opened idle
	// connections through other daemons may exist.
	tunnelLifetime = time.Minute
	// pauseThreshold is how late a dial must fail for this process to have been paused.
	pauseThreshold = 200 * time.Millisecond
	// addressesUntilLost is the number of addresses that must be lost, with no
	// direct connection in between, before this daemon counts as cut off.
	addressesUntilLost = 2
)

// Dialer opens connections to endpoints. If an endpoint can't be reached directly,
// it asks other daemons: only they can tell an endpoint that has failed from a
// path that has. All exported fields must be set before use. It is safe for
// concurrent use.
type Dialer struct {
	Clock clockwork.Clock
	// Direct opens a connection to the address of an endpoint.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Through opens one through another daemon.
	Through func(ctx context.Context, host membership.Host, address string) (net.Conn, error)
	// ReachesOther reports whether an endpoint at another address can be reached
	// directly: the path is then not lost.
	ReachesOther func(ctx context.Context, address string) bool
	// Hosts returns the other daemons that may be asked.
	Hosts func() []membership.Host
	// Alone reports whether the fleet has no other daemon, ready or not.
	Alone func() bool
	// Region and Zone are those of this daemon.
	Region, Zone string
	// OnLost is called when an address turns out to be reachable only through
	// other daemons.
	OnLost func(address, via string)
	// OnCutOff is called when the daemon has lost its path to the endpoints, and
	// when it has it again.
	OnCutOff func(cutOff bool)
	// Count increments a counter.
	Count func(name string)

	mu sync.Mutex
	// lost has, per address, when it was last reached only through another
	// daemon.
	lost map[string]time.Time
	// lostInSuccession holds the addresses lost since the last direct connection.
	lostInSuccession map[string]bool
	cutOff           bool
	// tunnelAt is when the last tunnel was opened.
	tunnelAt time.Time
	// cutOffUntil is when cutOff ends without further evidence.
	cutOffUntil time.Time
	hosts       hostHistory
}

// result is the outcome of one of the ways to open a connection.
type result struct {
	conn net.Conn
	err  error
	// host is the daemon that was asked; nil for the direct way.
	host *membership.Host
}

// Dial opens a connection to an endpoint, directly or through another daemon,
// whichever succeeds first. The error is that of a refused connection only if
// another daemon confirms it, another endpoint is reached, or the fleet has no other
// daemon.
// If this process was paused meanwhile, the time that has passed says nothing about
// the endpoint, and Dial tries once more.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	began := d.Clock.Now()
	c, err := d.dial(ctx, address)
	if err != nil && ctx.Err() == nil && d.Clock.Since(began) > http1.DialTimeout+pauseThreshold {
		d.Count("dials.paused")
		return d.dial(ctx, address)
	}
	return c, err
}

func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, http1.DialTimeout)
	defer cancel()
	results := make(chan result, 1+maxVia)
	a := attempt{dialer: d, address: address, results: results}
	a.start(ctx, nil)
	next := d.Clock.After(d.fallbackDelayFor(address))
	for {
		select {
		case r := <-results:
			if r.err == nil {
				if a.running > 1 {
					go discard(results, a.running-1)
				}
				d.record(address, r)
				return r.conn, nil
			}
			a.failed(r)
			if a.asking == 0 {
				a.startNext(ctx)
			}
			if a.running == 0 {
				return nil, a.err(ctx)
			}
		case <-next:
			next = nil
			if a.startNext(ctx) {
				next = d.Clock.After(fallbackDelay)
			}
		}
	}
}

// fallbackDelayFor returns how long the direct way to an address is tried alone.
func (d *Dialer) fallbackDelayFor(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLost(address) || d.isCutOff() {
		return 0
	}
	return fallbackDelay
}

// isLost reports whether an address was reached only through another daemon of
// late. The caller must hold the mutex.
func (d *Dialer) isLost(address string) bool {
	at, ok := d.lost[address]
	return ok && d.Clock.Since(at) < lossLifetime
}

// isCutOff reports whether this daemon has lost its path to the endpoints. The
// caller must hold the mutex.
func (d *Dialer) isCutOff() bool { return d.cutOff && d.Clock.Now().Before(d.cutOffUntil) }

// IsLost reports whether an address is reached only through other daemons.
func (d *Dialer) IsLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLost(address)
}

// IsCutOff reports whether this daemon has lost its path to the endpoints.
func (d *Dialer) IsCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isCutOff()
}

// UsesTunnels reports whether a tunnel was opened of late.
func (d *Dialer) UsesTunnels() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.tunnelAt.IsZero() && d.Clock.Since(d.tunnelAt) < tunnelLifetime
}

// record records by which way an address was reached.
func (d *Dialer) record(address string, r result) {
	if r.host == nil {
		d.recordDirect(address)
		return
	}
	d.hosts.record(*r.host, reached, d.Clock.Now())
	d.Count("tunnels.opened")
	d.recordLost(address, r.host)
}

func (d *Dialer) recordDirect(address string) {
	d.mu.Lock()
	was := d.isCutOff()
	d.cutOff = false
	clear(d.lostInSuccession)
	delete(d.lost, address)
	d.mu.Unlock()
	if was {
		d.OnCutOff(false)
	}
}

func (d *Dialer) recordLost(address string, via *membership.Host) {
	d.mu.Lock()
	if d.lost == nil {
		d.lost, d.lostInSuccession = map[string]time.Time{}, map[string]bool{}
	}
	isNew := !d.isLost(address)
	for known := range d.lost {
		if !d.isLost(known) {
			delete(d.lost, known)
			delete(d.lostInSuccession, known)
		}
	}
	now := d.Clock.Now()
	d.lost[address], d.lostInSuccession[address], d.tunnelAt = now, true, now
	was := d.isCutOff()
	d.cutOff = was || len(d.lostInSuccession) >= addressesUntilLost
	d.cutOffUntil = now.Add(lossLifetime)
	begins := d.cutOff && !was
	d.mu.Unlock()
	if isNew {
		d.OnLost(address, via.PeerAddress)
	}
	if begins {
		d.OnCutOff(true)
	}
}

// discard closes the connections that come too late.
func discard(results <-chan result, running int) {
	for range running {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// attempt is one call of Dial.
type attempt struct {
	dialer  *Dialer
	address string
	results chan result
	// running is the number of ways that are being tried, asking that of daemons
	// among them.
	running, asking int
	// via holds the daemons that are left to be asked; asked is false until they
	// were chosen.
	via   []membership.Host
	asked bool
	// direct is the error of the direct way.
	direct error
	// refused is the number of daemons to which the endpoint's machine refused
	// the connection, silent of those to which it did not answer, and unable of
	// those that did not try.
	refused, silent, unable int
}

// start tries one way; nil is the direct one.
func (a *attempt) start(ctx context.Context, host *membership.Host) {
	a.running++
	if host != nil {
		a.asking++
	}
	go func() {
		r := result{host: host}
		if host == nil {
			r.conn, r.err = a.dialer.Direct(ctx, a.address)
		} else {
			r.conn, r.err = a.dialer.Through(ctx, *host, a.address)
		}
		a.results <- r
	}()
}

// startNext asks the next daemon. It returns false if there is none.
func (a *attempt) startNext(ctx context.Context) bool {
	if !a.asked {
		a.asked = true
		a.via = a.dialer.choose()
	}
	if len(a.via) == 0 || a.refused >= refusalsUntilCertain || ctx.Err() != nil {
		return false
	}
	host := a.via[0]
	a.via = a.via[1:]
	a.start(ctx, &host)
	return true
}

// failed records a way that has failed.
func (a *attempt) failed(r result) {
	a.running--
	if r.host == nil {
		a.direct = r.err
		return
	}
	a.asking--
	switch {
	case endpoint.IsConnectionRefused(r.err):
		a.refused++
	case errors.Is(r.err, errNotReached):
		a.silent++
	default:
		a.unable++
	}
	a.dialer.hosts.record(*r.host, notReached, a.dialer.Clock.Now())
}

// err returns the error of an attempt that has failed in every way.
func (a *attempt) err(ctx context.Context) error {
	isRefused := endpoint.IsConnectionRefused(a.direct)
	// If no daemon is ready, a refusal is as uncertain as if none asked could try.
	unconfirmed := a.refused+a.silent == 0 && (a.unable > 0 || isRefused && !a.dialer.Alone())
	switch {
	case unconfirmed && isRefused && !a.dialer.ReachesOther(ctx, a.address):
		return errors.Wrapf(http1.ErrMaybeRefused, "dial %s: %v", a.address, a.direct)
	case unconfirmed && !isRefused:
		return errors.Wrapf(http1.ErrUnconfirmed, "dial %s: %v", a.address, a.direct)
	case a.refused > 0 && !isRefused:
		return errors.Wrapf(syscall.ECONNREFUSED, "dial %s by another daemon, here: %v", a.address, a.direct)
	case a.direct == nil:
		return errors.Wrap(syscall.ETIMEDOUT, "dial "+a.address)
	case a.refused == 0 && a.silent > 0 && isRefused:
		return errors.Errorf("dial %s: refused here, silent at %d other daemons", a.address, a.silent)
	}
	return a.direct
}
