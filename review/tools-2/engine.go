package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of an engine or of a plain service.
type engine struct {
	store    *store
	log      *record
	id       string
	service  string
	version  string
	zone     string
	slots    int
	born     int64
	sequence atomic.Int64
	state    atomic.Value
	listener net.Listener
	server   *http.Server
	places   chan struct{}
	stop     chan struct{}
	once     sync.Once
	// pause is that before each event of a stream; zero if there are no streams. work is the
	// time of another request.
	pause time.Duration
	work  time.Duration
	// serve replaces the answer to a request that runs, if it returns true.
	serve func(w http.ResponseWriter, r *http.Request, id string) bool
}

const beatInterval = 1200 * time.Millisecond

func (e *engine) start(address string) {
	e.listener = listen(address)
	if e.born == 0 {
		e.born = time.Now().UnixMilli()
	}
	e.places, e.stop = make(chan struct{}, e.slots), make(chan struct{})
	e.state.Store("ready")
	e.server = &http.Server{Handler: e, IdleTimeout: 20 * time.Second}
	go func() { _ = e.server.Serve(e.listener) }()
	e.beat()
	go func() {
		for {
			select {
			case <-e.stop:
				return
			case <-time.After(beatInterval):
				e.beat()
			}
		}
	}()
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) beat() {
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address(), "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": e.state.Load(), "cold-remaining-ms": 0, "sequence": e.sequence.Add(1), "born": e.born,
	})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Beechhead-Instance-Id", e.id)
		return
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":%d,"waiting":0,"running":%d,"kv-used":0,"kv-total":600000,"handles":0,"born":%d}`, e.sequence.Load(), len(e.places), e.born)
		return
	case "/api/kv-events":
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"lost":false,"events":[]}`)
		return
	case "/api/kv-list":
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
		return
	}
	id := r.Header.Get("Beechhead-Request-Id")
	if want := r.Header.Get("Beechhead-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Beechhead-Instance-Id", e.id)
		w.Header().Set("Beechhead-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	ms, _ := strconv.Atoi(r.Header.Get("Beechhead-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	e.log.add("arrives", "id", id, "engine", e.id, "deadlineMs", ms, "tenant", r.Header.Get("Beechhead-Tenant-Id"), "lastEvent", r.Header.Get("Last-Event-Id"), "bytes", len(body))
	select {
	case e.places <- struct{}{}:
	case <-time.After(50 * time.Millisecond):
		e.log.add("rejected", "id", id, "engine", e.id)
		w.Header().Set("Beechhead-Not-Executed", "1")
		w.Header().Set("Beechhead-Request-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.places }()
	e.log.add("runs", "id", id, "engine", e.id, "service", e.service)
	w.Header().Set("Beechhead-Request-Id", id)
	w.Header().Set("Beechhead-Response-Signature", "3e1b.07.5a2."+id)
	if e.serve != nil && e.serve(w, r, id) {
		return
	}
	if e.pause > 0 {
		e.stream(ctx, w, r, id)
		return
	}
	select {
	case <-ctx.Done():
		e.log.add("run ends early", "id", id, "engine", e.id)
		return
	case <-time.After(e.work):
	}
	e.log.add("run ends", "id", id, "engine", e.id)
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

func (e *engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= eventsOf(r); n++ {
		select {
		case <-ctx.Done():
			e.log.add("run ends early", "id", id, "engine", e.id, "event", n)
			return
		case <-time.After(e.pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	e.log.add("run ends", "id", id, "engine", e.id)
}

// eventTokens is how many tokens an event of a stream holds.
const eventTokens = 6

// eventsOf returns how many events a request gets: as many as its tokens fill.
func eventsOf(r *http.Request) int {
	_, tokens, _ := strings.Cut(r.Header.Get("Beechhead-Token-Usage"), ",")
	n, _ := strconv.Atoi(tokens)
	return n / eventTokens
}

// kill ends the engine without a word.
func (e *engine) kill() {
	e.once.Do(func() {
		close(e.stop)
		_ = e.server.Close()
	})
}
