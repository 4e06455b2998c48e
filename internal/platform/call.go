package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	maxResponse = 64 << 20
	// readAttempts bounds how often a read is sent.
	readAttempts = 3
	// settleAttempts bounds how often a write is sent until its effect is
	// known.
	settleAttempts = 4
	// firstBackoff and maxBackoff bound the wait before a retry.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// exchange is one request and what it costs.
type exchange struct {
	method string
	path   string
	body   []byte
	// cost counts rows or objects against the use's budget.
	cost int
	// write reports whether it may change something.
	write bool
	// wait is how long the store may hold its answer back.
	wait time.Duration
}

// call makes a call. Reads are retried with full jitter; writes are not, for
// the caller alone knows how to settle them.
func (c *Client) call(ctx context.Context, x exchange, out any) (err error) {
	attempts := readAttempts
	x.write = IsWrite(x.method, x.path)
	if x.write {
		attempts = 1
	}
	for attempt := range attempts {
		if attempt > 0 && !c.backoff(ctx, attempt) {
			return err
		}
		err = c.attempt(ctx, x, out)
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
	}
	return err
}

// backoff waits a random time up to a bound that doubles with each attempt.
// False means that the context ended first.
func (c *Client) backoff(ctx context.Context, attempt int) bool {
	c.count("retried")
	bound := min(firstBackoff<<(attempt-1), maxBackoff)
	select {
	case <-c.clock.After(time.Duration(rand.Int64N(int64(bound)))): //nolint:gosec // jitter
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one exchange within the budget, the breaker and the timeout.
func (c *Client) attempt(ctx context.Context, x exchange, out any) error {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout+x.wait)
	defer cancel()
	if err := c.budgets.wait(callCtx, c.use, x.write, x.cost); err != nil {
		c.count("overBudget")
		return err
	}
	epoch, ok := c.breaker.enter()
	if !ok {
		c.count("breakerOpen")
		return errors.Wrap(ErrNotAsked, "it failed just now")
	}
	if x.write {
		c.count("writes")
	} else {
		c.count("reads")
	}
	began := c.clock.Now()
	err := c.exchange(callCtx, x, out)
	c.observe(x, c.clock.Since(began))
	switch {
	case !errors.Is(err, ErrUnavailable):
		c.breaker.leave(epoch, succeeded)
	case ctx.Err() != nil:
		c.breaker.leave(epoch, cancelled)
	default:
		c.count("failed")
		c.breaker.leave(epoch, failed)
		c.replaceSilent(callCtx)
	}
	return err
}

// replaceSilent closes the idle connections after a timeout: the path may
// have lost track of them, while new ones work.
func (c *Client) replaceSilent(callCtx context.Context) {
	if callCtx.Err() != nil {
		c.http.CloseIdleConnections()
	}
}

func (c *Client) exchange(ctx context.Context, x exchange, out any) error {
	req, err := http.NewRequestWithContext(ctx, x.method, c.base+x.path, bytes.NewReader(x.body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if len(x.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	err = statusError(resp.StatusCode)
	if raw, ok := out.(*rawAnswer); ok && x.write && errors.Is(err, ErrExists) {
		raw.conflict, err = true, nil
	}
	if err != nil {
		return err
	}
	return decode(resp.Header, data, out)
}

// rawAnswer takes an answer as it comes.
type rawAnswer struct {
	header http.Header
	data   []byte
	// conflict reports whether the store has not applied a transaction, since an
	// expected version does not hold.
	conflict bool
}

func statusError(status int) error {
	switch {
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrExists
	case status == goneStatus:
		return ErrHistoryGone
	case status == http.StatusTooManyRequests || status/100 != 4:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	return errors.Wrapf(ErrRejected, "status %d", status)
}

func decode(header http.Header, data []byte, out any) error {
	switch v := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*v = data
		return nil
	case *rawAnswer:
		v.header, v.data = header, data
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(ErrUnavailable, "answer is not JSON: "+err.Error())
	}
	return nil
}

// Settle makes a conditional write until its effect is known. When the reply
// to a write is lost, the same write is sent again: if it had taken effect,
// the condition now fails, and the row that is shown instead tells by own that
// it is this very write's. That is read as part of a transaction, so that an
// old version can't mislead. It returns the row as it stands after the write,
// and whether it is this write's. Other writes are made in the same
// transaction.
//
// An error other than ErrNotAsked leaves open whether the write took effect
// or, if it is still on its way, will.
func (c *Client) Settle(ctx context.Context, w Write, own func(Row) bool, others ...Write) (row Row, landed bool, err error) {
	writes := append([]Write{w}, others...)
	asked := false
	for attempt := range settleAttempts {
		if attempt > 0 && !c.backoff(ctx, attempt) {
			break
		}
		var resp TransactResponse
		resp, err = c.Transact(ctx, writes...)
		if err == nil {
			if asked {
				c.count("settled")
			}
			return resp.Rows[0], resp.Committed || own(resp.Rows[0]), nil
		}
		if !errors.Is(err, ErrUnavailable) {
			return Row{}, false, err
		}
		if !asked && errors.Is(err, ErrNotAsked) {
			// Nothing is to be settled, so the caller is told at once.
			return Row{}, false, err
		}
		asked = true
	}
	if asked {
		c.count("unsettled")
		return Row{}, false, errors.Wrap(ErrUnavailable, "the write is not settled")
	}
	return Row{}, false, err
}
