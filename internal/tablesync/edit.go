package tablesync

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// maxRebases is the maximum number of attempts to apply an edit to a newer
	// table.
	maxRebases = 16
	// maxHistory is the maximum number of entries in one response of the
	// history.
	maxHistory = 100
)

// RowEdit changes, adds or deletes one row.
type RowEdit struct {
	// ID identifies repeats of the same edit; a new one is generated if it is
	// empty.
	ID string `json:"id"`
	// Base is the version that the operator edited. Zero means the newest
	// version when the edit arrives.
	Base table.Version `json:"base,omitempty"`
	// Row is the kind and name of the row, such as "class/counter".
	Row string `json:"row"`
	// Action adds or deletes the row; an empty action changes its fields.
	Action table.Action `json:"action,omitempty"`
	// Fields maps JSON names, dotted for nested fields, to new values.
	Fields map[string]string `json:"fields"`
}

// EditResult is the result of an accepted edit.
type EditResult struct {
	Version table.Version `json:"version"`
	EditID  string        `json:"editId"`
	// Repeated reports whether an earlier request for the same edit was
	// accepted.
	Repeated bool `json:"repeated,omitempty"`
	// InForce lists the hosts that confirmed that the version is active.
	InForce []string `json:"inForce"`
	// Pending lists the hosts that did not confirm it in time.
	Pending []string `json:"pending"`
}

// PushFunc propagates the active version to the other hosts. It returns the
// hosts that confirmed it and those that did not.
type PushFunc func(ctx context.Context, v table.Version) (inForce, pending []string)

// Editor applies edits to the table.
type Editor struct {
	replica *Replica
	store   *Store
	push    PushFunc
	now     func() time.Time
}

// NewEditor returns an editor that propagates accepted edits with push.
func NewEditor(replica *Replica, store *Store, push PushFunc, now func() time.Time) *Editor {
	return &Editor{replica: replica, store: store, push: push, now: now}
}

// Put replaces the whole table. Rows that v does not change keep the changes
// that others have made since the version that v is based on.
func (e *Editor) Put(ctx context.Context, v table.Versioned, operator string) (a *EditResult, err error) {
	if faults := v.Table.Check(); len(faults) > 0 {
		return nil, faults
	}
	entry := HistoryEntry{EditID: rand.Text(), Operator: operator, At: e.now(), Summary: "table put"}
	return e.accept(ctx, entry, &v.Version, func(*table.Table) (*table.Table, error) { return v.Table, nil })
}

// Edit changes one row of the version that the operator edited. Edits of other
// rows that were accepted since then are kept; edits of the same row result in
// a Conflict.
func (e *Editor) Edit(ctx context.Context, edit RowEdit, operator string) (a *EditResult, err error) {
	entry := HistoryEntry{EditID: edit.ID, Operator: operator, At: e.now(), Summary: edit.summary()}
	if entry.EditID == "" {
		entry.EditID = rand.Text()
	}
	base := &edit.Base
	if edit.Base == 0 {
		base = nil
	}
	return e.accept(ctx, entry, base, func(base *table.Table) (*table.Table, error) {
		return base.Change(edit.Action, edit.Row, edit.Fields)
	})
}

func (r RowEdit) summary() string {
	parts := make([]string, 0, len(r.Fields))
	for name, value := range r.Fields {
		parts = append(parts, name+"="+value)
	}
	slices.Sort(parts)
	return strings.TrimSpace(string(r.Action) + " " + r.Row + " " + strings.Join(parts, " "))
}

// accept applies change to the base version, or to the newest one if base is
// nil, rebases the result onto the newest version and stores it. If another
// edit is accepted first, the result is rebased again.
func (e *Editor) accept(ctx context.Context, entry HistoryEntry, base *table.Version, change func(*table.Table) (*table.Table, error)) (*EditResult, error) {
	if v, err := e.store.AcceptedVersion(ctx, entry); err != nil || v != 0 {
		return e.repeatedResult(ctx, entry, v, err)
	}
	if err := e.replica.Refresh(ctx, e.store); err != nil {
		return nil, err
	}
	baseTable, err := e.baseTable(ctx, base)
	if err != nil {
		return nil, err
	}
	mine, err := change(baseTable.Table)
	if err != nil {
		return nil, err
	}
	for range maxRebases {
		current := e.current()
		merged, err := rebase(baseTable, current, mine)
		if err != nil {
			return nil, err
		}
		version, err := e.store.Put(ctx, current.Version, merged, entry)
		switch {
		case errors.Is(err, errRepeated):
			return e.repeatedResult(ctx, entry, version, nil)
		case errors.Is(err, ErrConflict):
			if err := e.replica.Refresh(ctx, e.store); err != nil {
				return nil, err
			}
			continue
		case err != nil:
			return nil, err
		}
		if err := e.replica.Adopt(version, mustJSON(merged)); err != nil {
			return nil, err
		}
		e.store.deleteExpired(ctx, version)
		return e.propagate(ctx, entry, version, false), nil
	}
	return nil, ErrConflict
}

// current returns the active table, or an empty one before the first put.
func (e *Editor) current() *table.Versioned {
	if v := e.replica.Current(); v != nil {
		return v
	}
	return &table.Versioned{Table: &table.Table{}}
}

// baseTable returns the table that an edit is based on.
func (e *Editor) baseTable(ctx context.Context, version *table.Version) (*table.Versioned, error) {
	current := e.current()
	switch {
	case version == nil || *version == current.Version:
		return current, nil
	case *version > current.Version:
		return nil, errors.Wrapf(ErrStoreOlder, "version %d", *version)
	}
	t, err := e.store.LoadVersion(ctx, *version)
	if errors.Is(err, errNotStored) {
		return nil, &Conflict{Base: *version, Current: current.Version, Rows: []RowConflict{}}
	}
	if err != nil {
		return nil, err
	}
	return &table.Versioned{Version: *version, Table: t}, nil
}

func rebase(base, current *table.Versioned, mine *table.Table) (*table.Table, error) {
	if base.Version == current.Version {
		return mine, nil
	}
	merged, conflicts := merge(base.Table, current.Table, mine)
	if len(conflicts) > 0 {
		return nil, &Conflict{Base: base.Version, Current: current.Version, Rows: conflicts}
	}
	if faults := merged.Check(); len(faults) > 0 {
		return nil, faults
	}
	return merged, nil
}

// repeatedResult returns the result of an edit that was accepted before, but
// whose response was lost.
func (e *Editor) repeatedResult(ctx context.Context, entry HistoryEntry, version table.Version, err error) (*EditResult, error) {
	if err != nil {
		return nil, err
	}
	if err := e.replica.Refresh(ctx, e.store); err != nil {
		return nil, err
	}
	return e.propagate(ctx, entry, version, true), nil
}

func (e *Editor) propagate(ctx context.Context, entry HistoryEntry, version table.Version, repeated bool) *EditResult {
	inForce, pending := e.push(ctx, version)
	return &EditResult{Version: version, EditID: entry.EditID, Repeated: repeated, InForce: inForce, Pending: pending}
}

// History returns the newest accepted edits, oldest first.
func (e *Editor) History(ctx context.Context) ([]HistoryEntry, error) {
	var after table.Version
	if v := e.replica.Version(); v > maxHistory {
		after = v - maxHistory
	}
	return e.store.History(ctx, after, maxHistory)
}

// HTTPStatus returns the HTTP status code for an editor's error.
func HTTPStatus(err error) int {
	if _, ok := errors.Into[table.Faults](err); ok {
		return http.StatusUnprocessableEntity
	}
	if _, ok := errors.Into[*Conflict](err); ok {
		return http.StatusConflict
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrIDUsed) {
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
