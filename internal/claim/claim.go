// Package claim ensures that a request with an idempotency key is executed at
// most once across all daemons. Each claim is a row in the platform's table
// service. See docs/design/claims.md.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/service"
)

const (
	// beginTimeout is the time allowed for writing a claim before the request
	// is sent.
	beginTimeout = 3 * time.Second
	// maxClaimAttempts is how often Begin tries to claim a key whose row was
	// released, as other daemons may be claiming it at the same time.
	maxClaimAttempts = 3
	// holderGoneDelay is how long a claim must have been running before a
	// holder that is not alive is considered gone. A daemon that has just
	// started does not know any other host yet.
	holderGoneDelay = 30 * time.Second
	// maxRunningTime is how long a claim may be running before repeated
	// requests are told that its outcome is unknown. It is longer than any call
	// takes.
	maxRunningTime = 15 * time.Minute
	// retryAfterInProgress and retryAfterStoreDown are the delays after which a
	// refused request may be repeated.
	retryAfterInProgress = time.Second
	retryAfterStoreDown  = 2 * time.Second
)

// Store reads and writes claims. It is safe for concurrent use.
type Store struct {
	// HolderGone reports whether an incarnation is no longer known to be alive.
	// It only affects how a repeated request is refused, never which daemon may
	// execute the request.
	HolderGone func(Holder) bool
	// MaxPendingBytes is the maximum size in bytes of the responses that wait
	// to be stored. Responses beyond it are dropped, and repeated requests are
	// told that the outcome is unknown.
	MaxPendingBytes int

	clock   clockwork.Clock
	client  *platform.Client
	holder  Holder
	metrics *metric.Registry

	mu sync.Mutex
	// pending holds the final writes that could not be stored yet.
	pending []*finalWrite
	// pendingBytes is the total size of their responses.
	pendingBytes int
}

// NewStore returns a store for one incarnation of a daemon.
func NewStore(clock clockwork.Clock, client *platform.Client, holder Holder, metrics *metric.Registry) *Store {
	return &Store{
		HolderGone:      func(Holder) bool { return false },
		MaxPendingBytes: defaultMaxPendingBytes,
		clock:           clock,
		client:          client,
		holder:          holder,
		metrics:         metrics,
	}
}

// Claim is the exclusive right to execute the request with a key, or the
// response of an earlier execution.
type Claim struct {
	key platform.Key
	// version is the row's version while the claim is running.
	version uint64
	record  Record
	// Replay is the stored response if the request was executed before;
	// otherwise nil.
	Replay *service.Response
}

// Begin claims a key. The request data is the method, path and body that the
// key is bound to. The error is a refusal.
func (s *Store) Begin(ctx context.Context, scope Scope, requestData []byte) (*Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	c := &Claim{
		key: rowKey(scope),
		record: Record{
			Scope:    scope,
			Attempt:  rand.Text(),
			Holder:   s.holder,
			BodyHash: hash(string(requestData)),
			State:    Running,
			At:       s.clock.Now(),
		},
	}
	var expect uint64
	for range maxClaimAttempts {
		row, applied, err := s.client.Settle(ctx, platform.Write{Key: c.key, Expect: expect, Value: encode(c.record)}, c.isOwnRow)
		if err != nil {
			return nil, s.refuseUnconfirmed(c, err)
		}
		if applied {
			c.version = row.Version
			s.metrics.Inc("claim.begun")
			return c, nil
		}
		stored, err := decode(row)
		switch {
		case row.Version != 0 && err != nil:
			return nil, outcome.UnknownError(outcome.ReasonInternal, "the stored claim is unreadable")
		case row.Version != 0 && stored.State != Released:
			return s.handleRepeat(ctx, c, &stored)
		}
		// The row was released, or has been deleted by the sweep since, so the
		// key can be claimed.
		expect = row.Version
	}
	s.metrics.Inc("claim.contended")
	return nil, inProgress("other repeats of the request are claiming its key")
}

// isOwnRow reports whether a row has this claim's attempt id. The id is random,
// so no other daemon can have written it.
func (c *Claim) isOwnRow(row platform.Row) bool {
	r, err := decode(row)
	return row.Version != 0 && err == nil && r.Attempt == c.record.Attempt
}

// refuseUnconfirmed refuses a request whose claim could not be confirmed as
// stored. This daemon does not send the request, so "not run" is correct for
// this attempt. The write may have taken effect or may still do so; in that
// case the claim is released in the background.
func (s *Store) refuseUnconfirmed(c *Claim, err error) error {
	if !errors.Is(err, platform.ErrNotAsked) {
		s.metrics.Inc("claim.unsettledBegin")
		s.enqueue(&finalWrite{key: c.key, record: c.releasedRecord(s.clock.Now())})
	}
	r := outcome.NotRunError(outcome.ReasonStoreDown, "the claim could not be stored: "+err.Error())
	r.RetryAfter = retryAfterStoreDown
	return r
}

func (c *Claim) releasedRecord(now time.Time) Record {
	r := c.record
	r.State = Released
	r.At = now
	return r
}

// handleRepeat handles a repeated request according to the stored claim.
func (s *Store) handleRepeat(ctx context.Context, c *Claim, stored *Record) (*Claim, error) {
	switch {
	case stored.BodyHash != c.record.BodyHash:
		return nil, outcome.NotRunError(outcome.ReasonOtherBody, "the key was used with another method, path or body")
	case stored.State == Running && s.clock.Since(stored.At) > holderGoneDelay && s.HolderGone(stored.Holder):
		s.metrics.Inc("claim.holderGone")
		return nil, unknown("the host that held the request is gone")
	case stored.State == Running && s.clock.Since(stored.At) > maxRunningTime:
		return nil, unknown("the request did not end in time")
	case stored.State == Running:
		return nil, inProgress("the request is in progress")
	case stored.State == Done:
		return s.replay(ctx, c, stored)
	}
	return nil, unknown("whether the request was executed is unknown")
}

func inProgress(message string) *outcome.Refusal {
	r := outcome.UnknownError(outcome.ReasonInProgress, message)
	r.RetryAfter = retryAfterInProgress
	return r
}

func unknown(message string) *outcome.Refusal {
	return outcome.UnknownError(outcome.ReasonClaimUnknown, message)
}

// replay returns the stored response.
func (s *Store) replay(ctx context.Context, c *Claim, stored *Record) (*Claim, error) {
	c.Replay = stored.Response
	if stored.Object != "" {
		data, err := s.client.GetObject(ctx, stored.Object)
		if errors.Is(err, platform.ErrUnavailable) {
			r := outcome.UnknownError(outcome.ReasonStoreDown, "the request was executed; its answer can't be read now")
			r.RetryAfter = retryAfterStoreDown
			return nil, r
		}
		if err != nil || json.Unmarshal(data, &c.Replay) != nil {
			return nil, unknown("the request was executed; its answer is lost")
		}
	}
	if c.Replay == nil {
		return nil, unknown("the request was executed; its answer is lost")
	}
	s.metrics.Inc("claim.replayed")
	return c, nil
}

// Finish stores the outcome of the execution, so that repeated requests get the
// same response. If the platform is unavailable, it is stored in the
// background.
func (s *Store) Finish(ctx context.Context, c *Claim, state State, resp *service.Response) {
	record := c.record
	record.State = state
	record.Response = resp
	record.At = s.clock.Now()
	s.writeFinal(ctx, &finalWrite{key: c.key, version: c.version, record: record})
}

// Release releases a claim whose request was certainly not sent, so that a
// repeated request may be executed.
func (s *Store) Release(ctx context.Context, c *Claim) {
	s.writeFinal(ctx, &finalWrite{key: c.key, version: c.version, record: c.releasedRecord(s.clock.Now())})
}
