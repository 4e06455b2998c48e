package lease_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	wire "github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const testLease = "duties"

var testTerms = lease.Terms{Duration: 3 * time.Second, RenewAfter: time.Second, ReturnAfter: 4 * time.Second}

type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// site is a store and holders on one boot clock.
type site struct {
	boot  *boottime.Fake
	store *standin.Store
}

func newSite() *site {
	s := &site{boot: &boottime.Fake{}, store: standin.NewStore()}
	s.boot.Advance(time.Hour)
	return s
}

func (s *site) client() *platform.Client {
	return platform.NewClient("http://store", handlerTransport{s.store.Handler()}, time.Minute).WithWire(wire.StoreProtocol())
}

func (s *site) newRenewer() *lease.Renewer {
	h := lease.NewHolder(clockwork.NewFakeClock(), s.client(), metric.NewRegistry())
	h.Boot, h.Terms = s.boot, testTerms
	return lease.NewRenewer(h, testLease)
}

func (s *site) acquire(t *testing.T, k *lease.Renewer, want bool) {
	t.Helper()
	if got := k.EnsureHeld(context.Background(), 0); got != want {
		t.Fatalf("held is %v, want %v", got, want)
	}
}

// Guards against a lease that is taken over while its holder may still use it, and
// against a token that does not grow.
func TestTakeoverAfterDuration(t *testing.T) {
	s := newSite()
	a, b := s.newRenewer(), s.newRenewer()
	s.acquire(t, a, true)
	first := a.Lease().Fence
	s.acquire(t, b, false)
	s.boot.Advance(2 * time.Second)
	s.acquire(t, b, false)
	s.boot.Advance(1100 * time.Millisecond)
	if a.Valid(0) {
		t.Error("a lease is valid beyond its duration")
	}
	s.acquire(t, b, true)
	if b.Lease().Fence <= first {
		t.Errorf("the token %d of the successor is not above %d", b.Lease().Fence, first)
	}
}

// Guards against a former holder that takes the lease back while its return would
// be seen as two holders that act by turns.
func TestFormerHolderWaits(t *testing.T) {
	s := newSite()
	a, b := s.newRenewer(), s.newRenewer()
	s.acquire(t, a, true)
	s.acquire(t, b, false)
	s.boot.Advance(3100 * time.Millisecond)
	s.acquire(t, b, true)
	b.Release(context.Background())
	s.acquire(t, a, false)
	s.boot.Advance(3900 * time.Millisecond)
	s.acquire(t, a, false)
	s.boot.Advance(200 * time.Millisecond)
	s.acquire(t, a, true)
}

// Guards against a holder that waits after an outage of the store though nobody
// else has held the lease.
func TestHolderContinuesAfterOutage(t *testing.T) {
	s := newSite()
	a := s.newRenewer()
	s.acquire(t, a, true)
	s.boot.Advance(8 * time.Second)
	s.acquire(t, a, true)
}

// Guards against a token that was given out before the store was restored from a
// copy, and against a holder whose write replaces that of another one.
func TestRestoredStoreGivesHigherTokens(t *testing.T) {
	s := newSite()
	a, b := s.newRenewer(), s.newRenewer()
	mark := time.Now()
	s.acquire(t, a, true)
	token := a.Lease().Fence
	s.store.Restore(time.Since(mark))
	s.acquire(t, b, true)
	if b.Lease().Fence <= token {
		t.Errorf("the token %d of the new era is not above %d", b.Lease().Fence, token)
	}
	if err := a.Renew(context.Background()); !errors.Is(err, lease.ErrHeld) {
		t.Errorf("a renewal in the new era ended with %v", err)
	}
	s.acquire(t, a, false)
}

// Guards against rows that are written without the lease, and against a lease that
// counts as lost because another row has changed.
func TestRowsAreWrittenUnderTheLease(t *testing.T) {
	s := newSite()
	a, b := s.newRenewer(), s.newRenewer()
	row := func(expect uint64) platform.Write {
		return platform.Write{Key: platform.Key{Table: "t", Key: "k"}, Expect: expect, Value: []byte(`1`)}
	}
	ctx := context.Background()
	s.acquire(t, a, true)
	if err := a.Renew(ctx, row(0)); err != nil {
		t.Fatal(err)
	}
	if err := a.Renew(ctx, row(0)); !errors.Is(err, lease.ErrConflict) || !a.Valid(0) {
		t.Errorf("a changed row ended the renewal with %v; the lease is valid: %v", err, a.Valid(0))
	}
	s.acquire(t, b, false)
	s.boot.Advance(3100 * time.Millisecond)
	s.acquire(t, b, true)
	rows, err := s.client().Read(ctx, platform.Key{Table: "t", Key: "k"})
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Renew(ctx, row(rows[0].Version)); !errors.Is(err, lease.ErrHeld) {
		t.Errorf("a row was written without the lease: %v", err)
	}
}
