package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/internal/standin"
)

// input is an operation on one key. Each claim attempt has its own number.
type input struct {
	key     string
	op      string
	attempt int
}

// keyState is the state of a key's claim.
type keyState struct {
	state claim.State
	// attempt is the attempt that holds or ended the claim.
	attempt int
}

// output is the result of an operation: claimed, replay, or the reason of a
// refusal. For a replay, attempt is the one whose response was returned.
type output struct {
	result  string
	attempt int
}

// claimModel is the sequential specification of claims, for one key.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{state: claim.Released}} },
	Step: func(state, in, out any) []any {
		return stepClaim(state.(keyState), in.(input), out.(output))
	},
}

func stepClaim(s keyState, in input, out output) []any {
	held := keyState{state: claim.Running, attempt: in.attempt}
	switch {
	case in.op == "begin" && out.result == "claimed" && s.state == claim.Released:
		return []any{held}
	case in.op == "begin" && out.result == "replay" && s == (keyState{state: claim.Done, attempt: out.attempt}):
		return []any{s}
	case in.op == "begin" && out.result == string(outcome.ReasonInProgress) && s.state == claim.Running:
		return []any{s}
	case in.op == "begin" && out.result == string(outcome.ReasonClaimUnknown) && s.state == claim.Unknown:
		return []any{s}
	case in.op == "begin" && out.result == string(outcome.ReasonStoreDown) && s.state == claim.Released:
		// The claim may be stored until it is released.
		return []any{s, held}
	case in.op == "begin" && out.result == string(outcome.ReasonStoreDown):
		return []any{s}
	case in.op == "dropped" && s == held:
		return []any{keyState{state: claim.Released}}
	case in.op == "dropped":
		return []any{s}
	case in.op == string(claim.Released) && s == held:
		return []any{keyState{state: claim.Released}}
	case (in.op == string(claim.Done) || in.op == string(claim.Unknown)) && s == held:
		return []any{keyState{state: claim.State(in.op), attempt: in.attempt}}
	}
	return nil
}

// recorder records a history.
type recorder struct {
	began time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	// attempts is the number of calls of Begin so far.
	attempts int
}

func (r *recorder) now() int64 { return time.Since(r.began).Nanoseconds() }

func (r *recorder) record(client int, in input, call int64, out output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: r.now()})
}

func (r *recorder) attempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	return r.attempts
}

// worker is one daemon that claims keys and ends the claims.
type worker struct {
	id       int
	store    *claim.Store
	recorder *recorder
	rand     *rand.Rand
}

const (
	workers      = 3
	keys         = 6
	opsPerWorker = 14
	seeds        = 12
)

// Guards against two holders of one key and against lost responses or releases.
// Requests with the same keys go to several hosts at once while the platform
// loses requests and replies and delivers writes late.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			if !linearizable(runHistory(seed, nil, nil)) {
				t.Error("the history is not linearizable")
			}
		})
	}
}

// Checks that the model rejects the histories of a store whose claims are not
// conditional writes.
func TestModelRejectsUnconditionalClaims(t *testing.T) {
	expect := regexp.MustCompile(`"expect":\d+`)
	for seed := range uint64(seeds) {
		var p *standin.Platform
		unconditional := func(body []byte) []byte {
			key := regexp.MustCompile(`"key":"([^"]+)"`).FindSubmatch(body)[1]
			version := p.Rows("claims")[string(key)].Version
			return expect.ReplaceAll(body, fmt.Appendf(nil, `"expect":%d`, version))
		}
		p = standin.NewPlatform()
		if !linearizable(runHistoryOn(p, seed, unconditional, nil)) {
			return
		}
	}
	t.Errorf("the model accepted all %d histories", seeds)
}

// Checks that the model rejects the histories of a store that does not
// recognize its own attempt when it reads the row back: it treats its own claim
// as another daemon's, so the claim is never ended.
func TestModelRejectsClaimsWithoutReadBack(t *testing.T) {
	attempt := []byte(`"attempt":"`)
	corruptAttempt := func(body []byte) []byte {
		if bytes.Contains(body, []byte(`"committed":false`)) {
			return bytes.ReplaceAll(body, attempt, append(attempt, 'x'))
		}
		return body
	}
	for seed := range uint64(seeds) {
		if !linearizable(runHistory(seed, nil, corruptAttempt)) {
			return
		}
	}
	t.Errorf("the model accepted all %d histories", seeds)
}

func linearizable(history []porcupine.Operation) bool {
	return porcupine.CheckOperations(claimModel.ToModel(), history)
}

func runHistory(seed uint64, changeRequest, changeReply func([]byte) []byte) []porcupine.Operation {
	return runHistoryOn(standin.NewPlatform(), seed, changeRequest, changeReply)
}

// runHistoryOn records the operations of all workers on a platform.
func runHistoryOn(p *standin.Platform, seed uint64, changeRequest, changeReply func([]byte) []byte) []porcupine.Operation {
	r := &recorder{began: time.Now()}
	var running sync.WaitGroup
	for id := range workers {
		transport := standin.NewFaultyTransport(p.Handler(), seed*workers+uint64(id))
		transport.Change = changeRequest
		transport.Reply = changeReply
		client := platform.NewClient("http://platform", transport, time.Minute)
		a := &worker{
			id: id, recorder: r, rand: rand.New(rand.NewPCG(seed, uint64(id))),
			store: claim.NewStore(clockwork.NewRealClock(), client, claim.Holder{Host: fmt.Sprint(id)}, metric.NewRegistry()),
		}
		running.Go(func() {
			for range opsPerWorker {
				a.claimOnce()
			}
			transport.Wait()
		})
	}
	running.Wait()
	return r.history
}

// claimOnce claims a random key and ends the claim.
func (a *worker) claimOnce() {
	ctx := context.Background()
	key := fmt.Sprint(a.rand.IntN(keys))
	n := a.recorder.attempt()
	in := input{key: key, op: "begin", attempt: n}
	call := a.recorder.now()
	c, err := a.store.Begin(ctx, claim.Scope{Account: "studio", Service: "booking", Key: key}, nil)
	switch {
	case err != nil:
		reason := outcome.FromError(err).Reason
		a.recorder.record(a.id, in, call, output{result: string(reason)})
		if reason == outcome.ReasonStoreDown {
			a.finishOp("dropped", key, n, func() {})
		}
	case c.Replay != nil:
		a.recorder.record(a.id, in, call, output{result: "replay", attempt: c.Replay.Status})
	default:
		a.recorder.record(a.id, in, call, output{result: "claimed"})
		a.endClaim(key, n, c)
	}
}

// endClaim ends a claim as done, unknown or released. The response's status is
// the attempt number, which identifies the attempt in a replay.
func (a *worker) endClaim(key string, n int, c *claim.Claim) {
	ctx := context.Background()
	switch a.rand.IntN(8) {
	case 0:
		a.finishOp(string(claim.Done), key, n, func() { a.store.Finish(ctx, c, claim.Done, &service.Response{Status: n}) })
	case 1:
		a.finishOp(string(claim.Unknown), key, n, func() { a.store.Finish(ctx, c, claim.Unknown, nil) })
	default:
		a.finishOp(string(claim.Released), key, n, func() { a.store.Release(ctx, c) })
	}
}

// finishOp records an operation that lasts until no final write is pending.
func (a *worker) finishOp(op, key string, n int, do func()) {
	call := a.recorder.now()
	do()
	for a.store.PendingCount() > 0 {
		a.store.RetryPending(context.Background())
		time.Sleep(time.Millisecond)
	}
	a.recorder.record(a.id, input{key: key, op: op, attempt: n}, call, output{})
}
