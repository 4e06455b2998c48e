package dispatch

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/pkg/table"
)

// Call is one request to a plain service.
type Call struct {
	// Fingerprint identifies the request. It is the same each time a caller
	// repeats the request.
	Fingerprint quarantine.Fingerprint

	Account table.AccountName
	Class   *table.Class
	Pool    table.Pool
	Request service.Request
}

// firstByteDivisor sets the part of its timeout after which a call without any
// response is sent over another connection or to another endpoint as well, if
// it may be repeated: its connection may be stalled for good while new ones
// work.
const firstByteDivisor = 3

// Call executes a request to a plain service. A request of a class that is not
// idempotent is sent at most once. A returned error is an *outcome.Refusal.
func (d *Dispatcher) Call(ctx context.Context, call *Call) (*service.Response, error) {
	done, err := d.limits.Admit(ctx, call.Class, call.Account)
	if err != nil {
		return nil, err
	}
	defer done()
	timeout := callDeadline(call.Class.Target)
	r := &callRun{call: call, run: run{
		id:          call.Request.ID,
		fingerprint: call.Fingerprint,
		class:       call.Class,
		request:     placement.Request{Pool: call.Pool, Class: call.Class.Name, Account: call.Account},
		limits:      silenceLimits{first: timeout / firstByteDivisor},
	}}
	r.start(d, r)
	call.Request.Timeout = timeout
	call.Request.Idempotent = call.Class.Idempotent
	call.Request.MayRepeat = r.mayRepeat
	if err := r.do(ctx); err != nil {
		return nil, err
	}
	return r.response, nil
}

// callRun is the run of a call.
type callRun struct {
	run
	call     *Call
	response *service.Response
}

func (r *callRun) prepare(*attempt) error { return nil }

func (r *callRun) exchange(a *attempt) error {
	request := r.call.Request
	request.NewConnection = a.occasion != inSequence
	request.OnBegun = func() { _ = a.tell(eventBegun, nil) }
	resp, err := r.d.services.Do(a.ctx, &a.grant.Endpoint, request)
	a.response = resp
	a.maybeExecuted = !errors.Is(err, service.ErrNotSent)
	return err
}

func (r *callRun) deliver(*attempt, []byte) error { return nil }

func (r *callRun) complete(a *attempt) error {
	r.response = a.response
	if a.response.Status/100 == 2 {
		r.d.suspects.RecordCompletion(r.fingerprint)
	}
	return nil
}

func (r *callRun) begun() bool       { return false }
func (r *callRun) resumable() bool   { return true }
func (r *callRun) preemptible() bool { return false }

func (r *callRun) closeIdle(e *table.Endpoint) { r.d.services.CloseIdle(e) }
