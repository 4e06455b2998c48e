package platform

import (
	"context"

	"github.com/go-faster/errors"
)

// readWire is Read for a store with a protocol of its own.
func (c *Client) readWire(ctx context.Context, keys []Key) (rows []Row, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read rows")
		}
	}()
	for _, key := range keys {
		answer, err := c.rows(ctx, c.wire.Row(key), 0)
		if err != nil {
			return nil, err
		}
		c.raiseEra(&answer)
		rows = append(rows, answer.find(key))
	}
	return rows, nil
}

// transactWire is Transact for a store with a protocol of its own.
func (c *Client) transactWire(ctx context.Context, writes []Write) (resp TransactResponse, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "transact")
		}
	}()
	var raw rawAnswer
	if err := c.send(ctx, c.wire.Transact(writes), true, 0, &raw); err != nil {
		return TransactResponse{}, err
	}
	answer, err := c.wire.Rows(raw.header, raw.data)
	if err != nil {
		return TransactResponse{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.raiseEra(&answer)
	resp.Committed = !raw.conflict
	for _, w := range writes {
		switch {
		case raw.conflict:
			resp.Rows = append(resp.Rows, answer.find(w.Key))
		case w.Delete:
			resp.Rows = append(resp.Rows, Row{Key: w.Key, Era: answer.Era})
		default:
			resp.Rows = append(resp.Rows, Row{Key: w.Key, Era: answer.Era, Version: answer.Version, Value: w.Value})
		}
	}
	return resp, nil
}

// raiseEra sets the era of an answer that names none, or an older one, to the
// newest era that is known: the era of a store never decreases.
func (c *Client) raiseEra(answer *Rows) {
	for {
		known := c.era.Load()
		if uint64(answer.Era) <= known {
			answer.Era = Era(known)
			return
		}
		if c.era.CompareAndSwap(known, uint64(answer.Era)) {
			return
		}
	}
}

// find returns the row with the given key, with version zero if there is none.
func (r *Rows) find(key Key) Row {
	for _, one := range r.Rows {
		if one.Key == key.Key && (one.Table == "" || one.Table == key.Table) && !one.Removed {
			return Row{Key: key, Era: r.Era, Version: one.Version, Value: one.Value}
		}
	}
	return Row{Key: key, Era: r.Era}
}
