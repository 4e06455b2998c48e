package tablesync

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
)

// Names of the rows and objects that the table is stored in.
var headKey = platform.Key{Table: "table", Key: "head"}

const (
	historyTable = "tableHistory"
	editTable    = "tableEdits"
	objectPrefix = "table-"
)

// head is the value of the head row: the object that holds the newest version.
// The version of the row is the version of the table.
type head struct {
	Object string `json:"object"`
	EditID string `json:"editId"`
}

// HistoryEntry is one accepted edit.
type HistoryEntry struct {
	Version  table.Version `json:"version"`
	EditID   string        `json:"editId"`
	Operator string        `json:"operator"`
	At       time.Time     `json:"at"`
	// Summary describes what the edit changed.
	Summary string `json:"summary"`
	// Object names the object that holds the table after the edit, until it is
	// deleted.
	Object string `json:"object,omitempty"`
}

// Errors of edits.
var (
	// ErrConflict means that other edits were accepted first on each attempt.
	ErrConflict = errors.New("other edits were accepted first")
	// ErrIDUsed means that another edit has the same id.
	ErrIDUsed = errors.New("the edit id belongs to another edit")
	// ErrOutcomeUnknown means that the edit may or may not have been accepted.
	// Repeating it with the same edit id resolves this and can't apply it
	// twice.
	ErrOutcomeUnknown = errors.New("the store did not say whether it accepted the edit; repeat it with the same edit id")
	// ErrStoreOlder means that all versions in the store are older than the
	// active one, so that no edit can be based on them.
	ErrStoreOlder = errors.New("the store is older than the table in force")

	errRepeated  = errors.New("the edit was accepted before")
	errNotStored = errors.New("the version is no longer kept")
)

// Store reads and writes the table in the platform's services.
type Store struct {
	client *platform.Client
}

// NewStore returns a store.
func NewStore(client *platform.Client) *Store { return &Store{client: client} }

// Head returns the newest version and the name of its object.
func (s *Store) Head(ctx context.Context) (version table.Version, object string, err error) {
	rows, err := s.client.Read(ctx, headKey)
	if err != nil {
		return 0, "", errors.Wrap(err, "read head")
	}
	if rows[0].Version == 0 {
		return 0, "", nil
	}
	var h head
	if err := json.Unmarshal(rows[0].Value, &h); err != nil {
		return 0, "", errors.Wrap(err, "decode head")
	}
	return table.Version(rows[0].Version), h.Object, nil
}

// Load returns the content of the object of a version.
func (s *Store) Load(ctx context.Context, object string) ([]byte, error) {
	return s.client.GetObject(ctx, object)
}

// AcceptedVersion returns the version under which an edit was accepted earlier,
// or zero.
func (s *Store) AcceptedVersion(ctx context.Context, e HistoryEntry) (version table.Version, err error) {
	rows, err := s.client.Read(ctx, editKey(e.EditID))
	if err != nil {
		return 0, errors.Wrap(err, "read edit")
	}
	return acceptedVersion(rows[0], e)
}

// acceptedVersion returns the version in an edit's row, or zero if there is no
// such row.
func acceptedVersion(row platform.Row, e HistoryEntry) (table.Version, error) {
	if row.Version == 0 {
		return 0, nil
	}
	var earlier HistoryEntry
	if err := json.Unmarshal(row.Value, &earlier); err != nil {
		return 0, errors.Wrap(err, "decode edit")
	}
	if earlier.Summary != e.Summary {
		return 0, errors.Wrapf(ErrIDUsed, "version %d: %s", earlier.Version, earlier.Summary)
	}
	return earlier.Version, nil
}

// Put stores t as the version after base. With errRepeated, the returned
// version is the one under which the same edit was accepted before. ErrConflict
// means that another edit was accepted first, ErrOutcomeUnknown that the edit
// may have been accepted; after any other error it was not accepted.
//
// The response can be lost after the write took effect. The same transaction is
// then sent again: it expects the row of the edit id to be absent, so it can't
// take effect twice, and the returned rows show which of the two happened.
func (s *Store) Put(ctx context.Context, base table.Version, t *table.Table, e HistoryEntry) (version table.Version, err error) {
	h := head{Object: objectPrefix + rand.Text(), EditID: e.EditID}
	if err := s.putObject(ctx, h.Object, mustJSON(t)); err != nil {
		return 0, errors.Wrap(err, "store table")
	}
	e.Version = base + 1
	e.Object = h.Object
	resp, err := s.transact(ctx,
		platform.Write{Key: headKey, Expect: uint64(base), Value: mustJSON(h)},
		platform.Write{Key: historyKey(e.Version), Value: mustJSON(e)},
		platform.Write{Key: editKey(e.EditID), Value: mustJSON(e)},
	)
	switch {
	case err != nil:
		return 0, errors.Wrapf(ErrOutcomeUnknown, "edit id %s: %s", e.EditID, err)
	case resp.Committed:
		return e.Version, nil
	}
	return s.notCommittedError(ctx, base, e, resp.Rows)
}

// notCommittedError determines from the rows why a put was not committed, and
// deletes its object unless an earlier attempt of the same put was committed.
func (s *Store) notCommittedError(ctx context.Context, base table.Version, e HistoryEntry, rows []platform.Row) (table.Version, error) {
	version, err := acceptedVersion(rows[2], e)
	switch {
	case err != nil:
	case version != 0:
		err = errRepeated
	case table.Version(rows[0].Version) < base:
		err = errors.Wrapf(ErrStoreOlder, "it is at version %d", rows[0].Version)
	default:
		err = ErrConflict
	}
	var earlier HistoryEntry
	if rows[2].Version == 0 || (json.Unmarshal(rows[2].Value, &earlier) == nil && earlier.Object != e.Object) {
		_ = s.client.DeleteObject(ctx, e.Object)
	}
	return version, err
}

// Number of attempts of a write that fails or gets no response, and the longest
// delay before the first retry, which grows linearly with each further one.
const (
	writeAttempts = 3
	retryDelay    = 50 * time.Millisecond
)

func (s *Store) transact(ctx context.Context, writes ...platform.Write) (resp platform.TransactResponse, err error) {
	err = retry(ctx, func() error {
		resp, err = s.client.Transact(ctx, writes...)
		return err
	})
	return resp, err
}

// putObject stores an object under a random name. If the name exists, an
// earlier attempt has stored the object.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	return retry(ctx, func() error {
		err := s.client.PutObject(ctx, name, data)
		if errors.Is(err, platform.ErrExists) {
			return nil
		}
		return err
	})
}

func retry(ctx context.Context, f func() error) error {
	var err error
	for attempt := range writeAttempts {
		if err = f(); err == nil {
			return nil
		}
		delay := time.Duration(mathrand.Float64() * float64(retryDelay) * float64(attempt+1))
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
	}
	return err
}

// History returns up to limit accepted edits after a version, oldest first.
func (s *Store) History(ctx context.Context, after table.Version, limit int) (entries []HistoryEntry, err error) {
	rows, err := s.client.Scan(ctx, platform.ScanRequest{
		Table: historyTable, After: historyKey(after).Key, Limit: limit,
	})
	if err != nil {
		return nil, errors.Wrap(err, "scan history")
	}
	for _, row := range rows {
		var e HistoryEntry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return nil, errors.Wrap(err, "decode history")
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func historyKey(v table.Version) platform.Key {
	return platform.Key{Table: historyTable, Key: fmt.Sprintf("%012d", v)}
}

func editKey(id string) platform.Key { return platform.Key{Table: editTable, Key: id} }

// mustJSON encodes a value of this package's own types, which can't fail.
func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic("tablesync: " + err.Error())
	}
	return data
}
