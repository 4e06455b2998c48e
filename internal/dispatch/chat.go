package dispatch

import (
	"io"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// chatRun is the run of a chat request.
type chatRun struct {
	run
	chat *Chat
	sink Sink

	// response is the part of the response that the caller has received, version the
	// software version of the engine that began it.
	response response
	version  table.SoftwareVersion
	// tokens counts the events with text that the caller has received.
	tokens int
}

func newChatRun(d *Dispatcher, chat *Chat, sink Sink) *chatRun {
	r := &chatRun{chat: chat, sink: sink, run: run{
		id:          chat.ID,
		fingerprint: chat.Fingerprint,
		class:       chat.Class,
		request: placement.Request{
			Pool:         chat.Pool,
			Class:        chat.Class.Name,
			Account:      chat.Account,
			PromptTokens: chat.PromptTokens,
			Prefix:       chat.Prefix,
		},
		limits: chatLimits(chat.Class),
	}}
	r.start(d, r)
	return r
}

func (r *chatRun) prepare(a *attempt) (err error) {
	if r.begun() {
		version := r.version
		a.version = &version
	}
	a.body, err = r.requestBody()
	return err
}

func (r *chatRun) exchange(a *attempt) error {
	s, err := r.d.engines.Chat(a.ctx, &a.grant.Endpoint, engine.Request{
		ID:            r.id,
		Body:          a.body,
		Idempotent:    r.class.Idempotent,
		MayRepeat:     r.mayRepeat,
		NewConnection: a.occasion != inSequence || r.needsUnused(),
	})
	if errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrUnattributed) {
		r.d.refusals.Record(r.request.Pool, false, r.d.clock)
	}
	if err != nil {
		a.maybeExecuted = !errors.Is(err, engine.ErrNotSent) && !errors.Is(err, engine.ErrRefused)
		return err
	}
	defer s.Close()
	a.maybeExecuted = true
	for first := true; ; first = false {
		data, err := s.Next()
		switch {
		case errors.Is(err, io.EOF) && first:
			return errors.Wrap(engine.ErrTruncated, "an answer without any event")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case first:
			a.timeToFirstToken = r.d.clock.Since(a.began)
		}
		if err := a.tell(eventData, data); err != nil {
			return err
		}
	}
}

// needsUnused reports whether the chat must be sent over a connection that has carried
// none, since a refusal would otherwise leave open whether it was run.
func (r *chatRun) needsUnused() bool {
	return !r.class.Idempotent && r.d.refusals.AreExpected(r.request.Pool, r.d.clock)
}

func (r *chatRun) check(data []byte) error {
	_, err := engine.ParseChunk(data)
	return err
}

// deliver sends one event to the caller.
func (r *chatRun) deliver(a *attempt, data []byte) error {
	chunk, err := engine.ParseChunk(data)
	if err != nil {
		return err
	}
	if err := a.checkID(&chunk); err != nil {
		return err
	}
	if a.version != nil || !r.response.hasID(&chunk) {
		if data, err = r.response.rewrite(data, &chunk); err != nil {
			return err
		}
	}
	if err := r.sink(data, &chunk); err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	if !r.begun() {
		r.version = a.grant.Endpoint.SoftwareVersion
	}
	if r.response.add(&chunk) {
		r.tokens++
		a.tokens++
		a.grant.RecordToken()
	}
	return nil
}

func (r *chatRun) complete(*attempt) error {
	if err := r.response.checkEnd(); err != nil {
		return err
	}
	r.d.suspects.RecordCompletion(r.fingerprint)
	return nil
}

func (r *chatRun) begun() bool       { return len(r.response.text) > 0 }
func (r *chatRun) resumable() bool   { return r.response.resumable() }
func (r *chatRun) preemptible() bool { return true }

func (r *chatRun) closeIdle(e *table.Endpoint) { r.d.engines.CloseIdle(e) }
