package dispatch

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// Errors that end an attempt, in addition to those of the engine client.
var (
	errPreempted          = errors.New("preempted")
	errCallerDisconnected = errors.New("caller disconnected")
	errHedgeLost          = errors.New("another engine was faster")
)

// attempt is one attempt to execute a chat request on an engine.
type attempt struct {
	run    *chatRun
	ctx    context.Context
	cancel context.CancelCauseFunc
	// index is the position among the attempts of the request, from zero.
	index int
	// resumes is set if the engine is to continue a response that an earlier
	// attempt began.
	resumes  bool
	excluded []table.EndpointName
	// silent lists those of the excluded engines that may be used again if no
	// others are left.
	silent []table.EndpointName

	// sending is closed when the request is about to be sent.
	sending chan struct{}

	mu    sync.Mutex
	grant *placement.Grant

	stream *engine.Stream
	began  time.Time
	// timeToFirstToken is the time from sending the request to the first event.
	timeToFirstToken time.Duration
	firstEvent       []byte
	tokens           int
	// id is the id of the response, which all chunks must carry.
	id string
	// maybeExecuted is set if the engine may have executed the request.
	maybeExecuted bool
	err           error
}

// launch starts an attempt in the background. The attempt is sent to results
// once it has received its first event or failed.
func (r *chatRun) launch(ctx context.Context, results chan<- *attempt, excluded []table.EndpointName) *attempt {
	a := &attempt{
		run:      r,
		index:    r.attempts,
		resumes:  len(r.response.text) > 0,
		excluded: excluded,
		silent:   slices.Clone(r.silent),
		sending:  make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	r.attempts++
	body, err := r.requestBody()
	go func() {
		if err != nil {
			err = outcome.NotRunError(outcome.ReasonBadRequest, err.Error())
		} else {
			err = a.start(body)
		}
		if err != nil {
			a.err = a.failureCause(err)
			a.finish(releaseOutcome(a.err))
		}
		results <- a
	}()
	return a
}

// endpoint returns the name of the reserved endpoint, or an empty one if
// nothing is reserved yet.
func (a *attempt) endpoint() table.EndpointName {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.grant == nil {
		return ""
	}
	return a.grant.Endpoint.Name
}

// start reserves a slot on an engine, sends the request and waits for the first
// event.
func (a *attempt) start(body []byte) error {
	if err := a.reserve(); err != nil {
		return err
	}
	target := a.run.chat.Class.Target
	a.began = a.run.d.clock.Now()
	close(a.sending)
	s, err := a.run.d.engines.Chat(a.ctx, &a.grant.Endpoint, engine.Request{
		ID:            a.run.chat.ID,
		Body:          body,
		Idempotent:    a.run.chat.Class.Idempotent,
		MayRepeat:     a.run.mayRepeat,
		FirstToken:    firstTokenDeadline(target),
		BetweenTokens: betweenTokensDeadline(target),
	})
	if err != nil {
		a.maybeExecuted = !errors.Is(err, engine.ErrNotSent) && !errors.Is(err, engine.ErrRefused)
		return err
	}
	a.stream = s
	a.maybeExecuted = true
	data, err := s.Next()
	if errors.Is(err, io.EOF) {
		return errors.Wrap(engine.ErrTruncated, "an answer without any event")
	}
	if err != nil {
		return err
	}
	a.firstEvent = bytes.Clone(data)
	a.timeToFirstToken = a.run.d.clock.Since(a.began)
	return nil
}

// reserve waits for a slot on an engine that has the abilities that the attempt
// needs.
func (a *attempt) reserve() error {
	chat := a.run.chat
	for {
		request := placement.Request{
			Pool:         chat.Pool,
			Class:        chat.Class.Name,
			Account:      chat.Account,
			PromptTokens: chat.PromptTokens,
			Prefix:       chat.Prefix,
			Waited:       a.run.d.clock.Since(a.run.began),
			Excluded:     a.excluded,
			Attempt:      a.index,
		}
		if a.resumes {
			request.Version = &a.run.version
		}
		g, err := a.run.d.placer.Reserve(a.ctx, request)
		if hasReason(err, outcome.ReasonNoEndpoint) && a.readmitSilent() {
			continue
		}
		if err != nil {
			return err
		}
		if !a.resumes || g.Endpoint.CanResume && g.Endpoint.SoftwareVersion == a.run.version {
			a.setGrant(g)
			return nil
		}
		g.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
		a.excluded = append(a.excluded, g.Endpoint.Name)
	}
}

// readmitSilent allows the attempt to use engines again that did not respond in
// time, and reports whether there are any. The engines may be healthy and only
// their connections stalled: a network device that loses its connection state
// breaks the connections to all engines at once, which excludes every engine
// although new connections work.
func (a *attempt) readmitSilent() bool {
	before := len(a.excluded)
	a.excluded = slices.DeleteFunc(a.excluded, func(e table.EndpointName) bool { return slices.Contains(a.silent, e) })
	a.silent = nil
	return len(a.excluded) < before
}

func hasReason(err error, reason outcome.Reason) bool {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	return ok && refusal.Reason == reason
}

// setGrant stores the grant and cancels the attempt if the grant is revoked.
func (a *attempt) setGrant(g *placement.Grant) {
	a.mu.Lock()
	a.grant = g
	a.mu.Unlock()
	g.OnPreempted(func() { a.cancel(errPreempted) })
}

// failureCause returns the reason why the attempt was cancelled if it was
// preempted or lost to another attempt, and err otherwise.
func (a *attempt) failureCause(err error) error {
	cause := context.Cause(a.ctx)
	if errors.Is(cause, errPreempted) || errors.Is(cause, errHedgeLost) {
		return cause
	}
	return err
}

// checkID verifies that all chunks belong to the same response.
func (a *attempt) checkID(c *engine.Chunk) error {
	if a.id == "" {
		a.id = c.ID
	}
	if c.ID != a.id {
		return errors.Wrap(engine.ErrWrongResponse, "the id changed within the stream")
	}
	return nil
}

// finish closes the stream and releases the reservation.
func (a *attempt) finish(o peerv1.ReleaseOutcome) {
	a.cancel(nil)
	if a.stream != nil {
		a.stream.Close()
	}
	if a.grant == nil {
		return
	}
	a.grant.Release(placement.Report{
		Outcome:    o,
		FirstToken: a.timeToFirstToken,
		Duration:   a.run.d.clock.Since(a.began),
		Tokens:     a.tokens,
	})
}

func releaseOutcome(err error) peerv1.ReleaseOutcome {
	if err == nil {
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE
	}
	switch reasonOf(err) {
	case outcome.ReasonCallerGone:
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
	case outcome.ReasonPreempted:
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_PREEMPTED
	case outcome.ReasonEndpointRefused:
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT
	}
	return peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED
}

// reasonOf returns the reason under which a failure is counted.
func reasonOf(err error) outcome.Reason {
	switch {
	case errors.Is(err, errPreempted):
		return outcome.ReasonPreempted
	case errors.Is(err, errCallerDisconnected), errors.Is(err, errHedgeLost), errors.Is(err, context.Canceled):
		return outcome.ReasonCallerGone
	case errors.Is(err, engine.ErrNotSent):
		return outcome.ReasonConnect
	case errors.Is(err, engine.ErrRefused):
		return outcome.ReasonEndpointRefused
	case errors.Is(err, engine.ErrSilent):
		return outcome.ReasonSilent
	case errors.Is(err, engine.ErrTruncated):
		return outcome.ReasonTruncated
	case errors.Is(err, engine.ErrWrongResponse), errors.Is(err, engine.ErrMalformed):
		return outcome.ReasonWrongAnswer
	}
	return outcome.ReasonEndpointFailed
}
