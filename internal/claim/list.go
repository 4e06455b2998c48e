package claim

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// Retention is how long an ended claim is kept. After that, a request with
	// the same key counts as new. It is far longer than a write can be delayed.
	Retention = 24 * time.Hour
	// MaxPage is the maximum number of claims in one page of a list.
	MaxPage = 500
	// sweepPageSize and sweepPageInterval limit the read rate of a sweep;
	// sweepBatchSize is the maximum number of rows deleted by one write.
	sweepPageSize     = 500
	sweepPageInterval = time.Second
	sweepBatchSize    = 50
	// sweepPassInterval is the time between two passes over all claims.
	sweepPassInterval = 10 * time.Minute
)

// Entry is a claim as listed for operators, without its response.
type Entry struct {
	Scope
	State  State     `json:"state"`
	At     time.Time `json:"at"`
	Holder Holder    `json:"holder"`
}

// Page is one page of the list of claims.
type Page struct {
	Claims []Entry `json:"claims"`
	// Next is the position to continue from; empty on the last page.
	Next string `json:"next,omitempty"`
}

// List returns up to limit claims after the given position. If account is not
// empty, it returns only claims of that account.
func (s *Store) List(ctx context.Context, account table.AccountName, after string, limit int) (page Page, err error) {
	prefix := ""
	if account != "" {
		prefix = accountPrefix(account)
	}
	limit = min(max(limit, 1), MaxPage)
	rows, err := s.client.Scan(ctx, platform.ScanRequest{Table: claimsTable, After: max(after, prefix), Limit: limit})
	if err != nil {
		return Page{}, errors.Wrap(err, "list claims")
	}
	page.Claims = []Entry{}
	for _, row := range rows {
		if !strings.HasPrefix(row.Key.Key, prefix) {
			return page, nil
		}
		r, err := decode(row)
		if err != nil {
			return Page{}, errors.Wrap(err, "decode claim")
		}
		page.Claims = append(page.Claims, Entry{Scope: r.Scope, State: r.State, At: r.At, Holder: r.Holder})
	}
	if len(rows) == limit {
		page.Next = rows[limit-1].Key.Key
	}
	return page, nil
}

// Sweep deletes expired claims until ctx ends. isSweeper reports whether this
// daemon should sweep; it is called before each page.
func (s *Store) Sweep(ctx context.Context, isSweeper func(context.Context) bool) {
	after := ""
	for {
		wait := sweepPageInterval
		if after == "" {
			wait = sweepPassInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(wait):
		}
		if !isSweeper(ctx) {
			after = ""
			continue
		}
		next, err := s.SweepPage(ctx, after)
		if err == nil {
			after = next
		}
	}
}

// SweepPage deletes the expired claims of one page and returns the position of
// the next page, or an empty string after the last.
func (s *Store) SweepPage(ctx context.Context, after string) (next string, err error) {
	rows, err := s.client.Scan(ctx, platform.ScanRequest{Table: claimsTable, After: after, Limit: sweepPageSize})
	if err != nil {
		return after, errors.Wrap(err, "sweep claims")
	}
	var batch []platform.Write
	for _, row := range rows {
		r, err := decode(row)
		if err != nil || !s.expired(&r) {
			continue
		}
		if r.Object != "" {
			if err := s.client.DeleteObject(ctx, r.Object); err != nil {
				return after, errors.Wrap(err, "sweep claims")
			}
		}
		batch = append(batch, platform.Write{Key: row.Key, Expect: row.Version, Delete: true})
		if len(batch) == sweepBatchSize {
			s.deleteBatch(ctx, batch)
			batch = nil
		}
	}
	s.deleteBatch(ctx, batch)
	if len(rows) < sweepPageSize {
		return "", nil
	}
	return rows[len(rows)-1].Key.Key, nil
}

// expired reports whether a claim may be deleted. A running claim whose holder
// never ended it is kept twice as long, so that its execution has certainly
// ended.
func (s *Store) expired(r *Record) bool {
	retention := Retention
	if r.State == Running {
		retention = 2 * Retention
	}
	return s.clock.Since(r.At) > retention
}

// deleteBatch deletes rows that have not changed since they were read. Rows
// that could not be deleted are found again by the next pass.
func (s *Store) deleteBatch(ctx context.Context, batch []platform.Write) {
	if len(batch) == 0 {
		return
	}
	resp, err := s.client.Transact(ctx, batch...)
	if err == nil && resp.Committed {
		s.metrics.Add("claim.swept", int64(len(batch)))
	}
}
