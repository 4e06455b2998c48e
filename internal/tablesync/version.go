package tablesync

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
)

// LoadVersion returns a version of the table, or errNotStored if it is no
// longer stored.
func (s *Store) LoadVersion(ctx context.Context, v table.Version) (t *table.Table, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "load version %d", v)
		}
	}()
	e, err := s.entry(ctx, v)
	if err != nil {
		return nil, err
	}
	data, err := s.client.GetObject(ctx, e.Object)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, errNotStored
	}
	if err != nil {
		return nil, err
	}
	t = &table.Table{}
	return t, json.Unmarshal(data, t)
}

func (s *Store) entry(ctx context.Context, v table.Version) (e HistoryEntry, err error) {
	rows, err := s.client.Read(ctx, historyKey(v))
	if err != nil {
		return e, err
	}
	if rows[0].Version == 0 {
		return e, errNotStored
	}
	return e, json.Unmarshal(rows[0].Value, &e)
}

// Retention of old versions, in number of versions: the tables, so that edits
// can be based on them, and the rows of the history and of the edit ids.
const (
	retainedTables  = 50
	retainedHistory = 10000
)

// deleteExpired deletes what exceeds the retention after version v was stored:
// at most one table, one history row and one edit id row. What it fails to
// delete remains stored.
func (s *Store) deleteExpired(ctx context.Context, v table.Version) {
	if v > retainedTables {
		if e, err := s.entry(ctx, v-retainedTables); err == nil && e.Object != "" {
			_ = s.client.DeleteObject(ctx, e.Object)
		}
	}
	if v <= retainedHistory {
		return
	}
	old := v - retainedHistory
	if e, err := s.entry(ctx, old); err == nil {
		_, _ = s.client.Transact(ctx,
			platform.Write{Key: historyKey(old), Expect: 1, Delete: true},
			platform.Write{Key: editKey(e.EditID), Expect: 1, Delete: true})
	}
}
