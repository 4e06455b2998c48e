package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ErrHistoryGone means that the store no longer knows what changed since then.
var ErrHistoryGone = errors.New("history no longer available")

// errNoFeed means that the store's protocol has no feeds.
var errNoFeed = errors.Wrap(ErrRejected, "the store has no feeds")

// FeedRow is a row as a store with feeds tells of it.
type FeedRow struct {
	// Table is empty unless the answer names it.
	Table   string
	Key     string
	Version uint64
	Value   []byte
	// Removed reports whether the row no longer exists.
	Removed bool
}

// Rows is a part of one table as of one moment.
type Rows struct {
	Rows []FeedRow
	// Version is the store's newest, NowMs its steady clock in milliseconds.
	Version uint64
	NowMs   int64
	// More reports whether there are more rows after the last one.
	More bool
	// Era counts how often the store has come back from a copy; it is of use if
	// HasEra is set. Versions of different eras can't be compared. OddEra says
	// that the store names one which can't be read.
	Era            Era
	HasEra, OddEra bool
}

// Era counts how often a store has come back from a copy of its state.
type Era uint64

// Exchange is one HTTP request to the store as a wire writes it.
type Exchange struct {
	Method string
	// Path includes the query.
	Path string
	Body []byte
}

// Wire is a store's protocol for tables with feeds: each pair of functions
// writes a request and reads its answer. It holds names and formats only; the
// client adds deadlines, budgets, retries and the breaker.
type Wire struct {
	// Scan asks for the rows of a table from a key on.
	Scan func(table, from string) Exchange
	// Changes asks for the changes of a table after a version, and lets the
	// store wait for news.
	Changes func(table string, since uint64, wait time.Duration) Exchange
	// Put writes a row whatever it holds, Remove deletes it.
	Put    func(table, key string, value []byte) Exchange
	Remove func(table, key string) Exchange
	// Row asks for one row. Transact writes rows if their versions still hold;
	// if they don't, the store answers with status 412 and the rows as they are.
	Row      func(key Key) Exchange
	Transact func(writes []Write) Exchange
	// Rows reads the answer to Scan, Changes, Row and Transact.
	Rows func(header http.Header, data []byte) (Rows, error)
}

// WithWire returns a client of a store that speaks w.
func (c *Client) WithWire(w Wire) *Client { return &Client{shared: c.shared, use: c.use, wire: &w} }

// Snapshot returns all rows of a table. Pages may stem from different moments;
// the version is that of the first, so that a feed from there misses nothing.
func (c *Client) Snapshot(ctx context.Context, table string) (all Rows, err error) {
	if c.wire == nil {
		return Rows{}, errNoFeed
	}
	from := ""
	for {
		page, err := c.rows(ctx, c.wire.Scan(table, from), 0)
		if err != nil {
			return Rows{}, errors.Wrapf(err, "read table %s", table)
		}
		if from == "" {
			all = page
			all.Rows, all.More = nil, false
		}
		if page.Era != all.Era {
			return Rows{}, errors.Wrap(ErrUnavailable, "the store came back from a copy between two pages")
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		// The next key in byte order.
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// Changes returns the rows of a table that changed after a version. The store
// answers at the first, or after wait.
func (c *Client) Changes(ctx context.Context, table string, since uint64, wait time.Duration) (rows Rows, err error) {
	if c.wire == nil {
		return Rows{}, errNoFeed
	}
	rows, err = c.rows(ctx, c.wire.Changes(table, since, wait), wait)
	if err != nil {
		return Rows{}, errors.Wrapf(err, "follow table %s", table)
	}
	return rows, nil
}

// PutRow writes a row. A repeat of the same write does no harm.
func (c *Client) PutRow(ctx context.Context, table, key string, value []byte) (err error) {
	if c.wire == nil {
		return errNoFeed
	}
	if err := c.send(ctx, c.wire.Put(table, key, value), true, 0, nil); err != nil {
		return errors.Wrap(err, "put row")
	}
	return nil
}

// RemoveRow deletes a row.
func (c *Client) RemoveRow(ctx context.Context, table, key string) (err error) {
	if c.wire == nil {
		return errNoFeed
	}
	if err := c.send(ctx, c.wire.Remove(table, key), true, 0, nil); err != nil {
		return errors.Wrap(err, "remove row")
	}
	return nil
}

func (c *Client) rows(ctx context.Context, e Exchange, wait time.Duration) (Rows, error) {
	var a rawAnswer
	if err := c.send(ctx, e, false, wait, &a); err != nil {
		return Rows{}, err
	}
	rows, err := c.wire.Rows(a.header, a.data)
	if err != nil {
		return Rows{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return rows, nil
}

// send makes one attempt: those who follow a feed pace their own repeats.
func (c *Client) send(ctx context.Context, e Exchange, write bool, wait time.Duration, out *rawAnswer) error {
	x := exchange{method: e.Method, path: e.Path, body: e.Body, cost: 1, write: write, wait: wait}
	if out == nil {
		return c.attempt(ctx, x, nil)
	}
	return c.attempt(ctx, x, out)
}

// goneStatus is the status with which a store says that history is gone.
const goneStatus = http.StatusGone
