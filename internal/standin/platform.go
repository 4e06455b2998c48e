// Package standin has small stand-ins for what surrounds beechhead: the
// platform's services, model engines and plain services, each with switches
// for faults. They serve tests, the demo and load experiments.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/platform"
)

// PlatformFaults are the faults of the platform's stand-in.
type PlatformFaults struct {
	// Down answers every call with status 503.
	Down bool `json:"down"`
	// DelayMs delays every answer.
	DelayMs int `json:"delayMs"`
	// LoseReplies drops the connection of that many writes after they took
	// effect.
	LoseReplies int `json:"loseReplies"`
	// LoseRequests drops the connection of that many writes before they take
	// effect.
	LoseRequests int `json:"loseRequests"`
	// StaleReads answers reads and scans with each row's version before its
	// newest.
	StaleReads bool `json:"staleReads"`
	// FreezeHosts keeps the list of hosts as it is.
	FreezeHosts bool `json:"freezeHosts"`
}

// Platform is an in-memory table service, object store and list of hosts. It
// is safe for concurrent use.
type Platform struct {
	mu   sync.Mutex
	rows map[platform.Key]platform.Row
	// previous has each row as it was before its newest version.
	previous map[platform.Key]platform.Row
	objects  map[string][]byte
	hosts    []platform.Host
	listed   []platform.Host
	faults   PlatformFaults
	reads    int
	writes   int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{rows: map[platform.Key]platform.Row{}, previous: map[platform.Key]platform.Row{}, objects: map[string][]byte{}}
}

// SetFaults switches faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if !f.FreezeHosts {
		p.listed = slices.Clone(p.hosts)
	}
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
	if !p.faults.FreezeHosts {
		p.listed = slices.Clone(hosts)
	}
}

// Rows returns the rows of a table by key.
func (p *Platform) Rows(name string) map[string]platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := map[string]platform.Row{}
	for k, row := range p.rows {
		if k.Table == name {
			rows[k.Key] = row
		}
	}
	return rows
}

// Counts returns how many reads and writes were asked for.
func (p *Platform) Counts() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Handler returns the HTTP handler of the protocol.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathRead, p.withFaults(handleJSON(p.read)))
	mux.HandleFunc("POST "+platform.PathScan, p.withFaults(handleJSON(p.scan)))
	mux.HandleFunc("POST "+platform.PathTransact, p.withFaults(handleJSON(p.transact)))
	mux.HandleFunc("GET "+platform.PathObjects+"{name}", p.withFaults(p.getObject))
	mux.HandleFunc("PUT "+platform.PathObjects+"{name}", p.withFaults(p.putObject))
	mux.HandleFunc("DELETE "+platform.PathObjects+"{name}", p.withFaults(p.deleteObject))
	mux.HandleFunc("GET "+platform.PathHosts, p.withFaults(p.list))
	mux.HandleFunc("POST /faults", handleJSON(func(f PlatformFaults) PlatformFaults { p.SetFaults(f); return f }))
	return mux
}

func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		write := platform.IsWrite(r.Method, r.URL.Path)
		if write && p.take(&p.faults.LoseRequests) {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
		if write && p.take(&p.faults.LoseReplies) {
			panic(http.ErrAbortHandler)
		}
	}
}

// take uses up one of a count of faults.
func (p *Platform) take(n *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// handleJSON turns a function of messages into a handler. The answer is
// written when the handler returns, so that it can still be lost.
func handleJSON[Req, Resp any](f func(Req) Resp) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f(req))
	}
}

func (p *Platform) row(k platform.Key) platform.Row {
	row := p.rows[k]
	row.Key = k
	return row
}

func (p *Platform) read(req platform.ReadRequest) platform.ReadResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads += len(req.Keys)
	var resp platform.ReadResponse
	for _, k := range req.Keys {
		resp.Rows = append(resp.Rows, p.readable(k))
	}
	return resp
}

// readable returns a row as reads see it.
func (p *Platform) readable(k platform.Key) platform.Row {
	if !p.faults.StaleReads {
		return p.row(k)
	}
	row := p.previous[k]
	row.Key = k
	return row
}

func (p *Platform) scan(req platform.ScanRequest) platform.ReadResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	resp := platform.ReadResponse{Rows: []platform.Row{}}
	for k := range p.rows {
		row := p.readable(k)
		if k.Table == req.Table && k.Key > req.After && row.Version > 0 {
			resp.Rows = append(resp.Rows, row)
		}
	}
	slices.SortFunc(resp.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	if len(resp.Rows) > req.Limit {
		resp.Rows = resp.Rows[:req.Limit]
	}
	return resp
}

func (p *Platform) transact(req platform.TransactRequest) platform.TransactResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes += len(req.Writes)
	resp := platform.TransactResponse{Committed: true}
	for _, w := range req.Writes {
		row := p.row(w.Key)
		resp.Rows = append(resp.Rows, row)
		if row.Version != w.Expect {
			resp.Committed = false
		}
	}
	if !resp.Committed {
		return resp
	}
	for i, w := range req.Writes {
		p.previous[w.Key] = p.rows[w.Key]
		if w.Delete {
			delete(p.rows, w.Key)
			resp.Rows[i] = p.row(w.Key)
			continue
		}
		row := platform.Row{Key: w.Key, Version: w.Expect + 1, Value: w.Value}
		p.rows[w.Key] = row
		resp.Rows[i] = row
	}
	return resp
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.reads++
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	name := r.PathValue("name")
	if _, taken := p.objects[name]; taken {
		http.Error(w, "object exists", http.StatusPreconditionFailed)
		return
	}
	p.objects[name] = data
	w.WriteHeader(http.StatusCreated)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	name := r.PathValue("name")
	if _, ok := p.objects[name]; !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	delete(p.objects, name)
	w.WriteHeader(http.StatusNoContent)
}

// Objects returns the number of objects stored.
func (p *Platform) Objects() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.objects)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	_ = json.NewEncoder(w).Encode(platform.HostsResponse{Hosts: p.listed})
}
