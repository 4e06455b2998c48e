package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// maxRows is the number of rows in one answer.
const maxRows = 500

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowName
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowsAnswer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"ver"`
	NowMs     int64  `json:"now-ms"`
}

// store is a stand-in of the platform's metadata store: tables of rows with one counter
// of versions, conditional transactions and a feed.
type store struct {
	start time.Time
	mu    sync.Mutex
	rows  map[rowName]row
	// changes has all changes, oldest first. Nothing is forgotten.
	changes []row
	version uint64
	updated chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowName]row{}, updated: make(chan struct{})}
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	_ = server.Serve(l)
}

// put writes a row as the operator or a server does, and returns when it is acknowledged.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowName: rowName{Table: table, Key: key}, Value: base64.StdEncoding.EncodeToString(data), Version: s.version})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowName: rowName{Table: table, Key: key}, Version: s.version, Removed: true})
}

func (s *store) apply(r row) {
	if r.Removed {
		delete(s.rows, r.rowName)
	} else {
		s.rows[r.rowName] = r
	}
	s.changes = append(s.changes, r)
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, Version: s.version, NowMs: 1000 + time.Since(s.start).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var found []row
	for name, one := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") &&
			(!q.Has("to") || name.Key < q.Get("to")) {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(found) > limit
	a := s.answer(found[:min(limit, len(found))])
	a.Truncated = truncated
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since-revision"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for waited := false; ; {
		s.mu.Lock()
		a := s.answer(s.changedSince(q.Get("table"), since))
		updated := s.updated
		s.mu.Unlock()
		if len(a.Rows) > 0 || waited {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-updated:
		case <-timeout.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changedSince(table string, since uint64) (rows []row) {
	for _, one := range s.changes {
		if one.Table == table && one.Version > since && len(rows) < maxRows {
			rows = append(rows, one)
		}
	}
	return rows
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t struct {
		Expected []struct {
			rowName
			Version uint64 `json:"ver"`
		} `json:"expected-revision"`
		Put []struct {
			rowName
			Value string `json:"value"`
		} `json:"put"`
		Remove []rowName `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, one := range t.Expected {
		if s.rows[one.rowName].Version == one.Version {
			continue
		}
		var current []row
		for _, e := range t.Expected {
			if known, ok := s.rows[e.rowName]; ok {
				current = append(current, known)
			}
		}
		a := s.answer(current)
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, a)
		return
	}
	s.version++
	for _, p := range t.Put {
		s.apply(row{rowName: p.rowName, Value: p.Value, Version: s.version})
	}
	for _, n := range t.Remove {
		s.apply(row{rowName: n, Version: s.version, Removed: true})
	}
	a := s.answer(nil)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
