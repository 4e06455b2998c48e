package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a sound stand-in of the platform's table store.
type store struct {
	mu       sync.Mutex
	ver      uint64
	rows     map[rowKey]row
	history  []row
	changed  chan struct{}
	began    time.Time
	listener net.Listener
	// refuse makes the store answer a call with 503; nil means that it serves all.
	refuse func(r *http.Request) bool
	// delay is called before a call is carried out.
	delay func(r *http.Request)
}

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
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

func newStore() *store {
	s := &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now().Add(-time.Minute)}
	s.listener = listen("127.0.0.1:0")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuse != nil && s.refuse(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if s.delay != nil {
			s.delay(r)
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(s.listener, handler) }()
	return s
}

func (s *store) url() string { return "http://" + s.listener.Addr().String() }

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: rows, Version: s.ver, NowMs: s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, one := range s.rows {
		if k.Table != q.Get("table") || k.Part != q.Get("part") || k.Key < q.Get("from") || q.Has("to") && k.Key >= q.Get("to") {
			continue
		}
		rows = append(rows, one)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since-revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, one := range s.history {
			if one.Version > since && one.Table == q.Get("table") {
				rows = append(rows, one)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row    `json:"expected-revision"`
		Put      []row    `json:"put"`
		Remove   []rowKey `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, e := range t.Expected {
		known := s.rows[e.rowKey]
		known.rowKey = e.rowKey
		current = append(current, known)
		holds = holds && known.Version == e.Version
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.apply(t.Put, t.Remove)
	s.answer(w, http.StatusOK, nil)
}

// apply writes rows at the next version. It requires mu.
func (s *store) apply(put []row, remove []rowKey) {
	s.ver++
	for _, one := range put {
		one.Version = s.ver
		s.rows[one.rowKey] = one
		s.history = append(s.history, one)
	}
	for _, k := range remove {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, row{rowKey: k, Version: s.ver, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes one row as the operator and the engines do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowKey: rowKey{Table: table, Key: key}, Value: base64.StdEncoding.EncodeToString(data)}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []rowKey{{Table: table, Key: key}})
}
