package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechhead/beechhead/internal/engine"
)

// EngineSpeed is how fast an engine's stand-in works.
type EngineSpeed struct {
	// Concurrency is how many requests it runs at once; more wait inside.
	Concurrency int
	// PromptToken is the time to take in one token of the prompt.
	PromptToken time.Duration
	// Token is the time between tokens when the engine is idle.
	Token time.Duration
	// Crowding is by how much the time between tokens grows when the engine
	// is full, as a share of Token.
	Crowding float64
	// Prefixes bounds the prompt prefixes that it caches; zero caches none.
	Prefixes int
	// LoadLag is by how much its load reports lag.
	LoadLag time.Duration
}

// EngineFaults are the faults of an engine's stand-in.
type EngineFaults struct {
	// Slow multiplies all times; zero is one.
	Slow float64 `json:"slow"`
	// Down drops every connection.
	Down bool `json:"down"`
	// Refuse answers with status 503.
	Refuse bool `json:"refuse"`
	// Silent takes requests and sends nothing more.
	Silent bool `json:"silent"`
	// Garbage sends what is no event.
	Garbage bool `json:"garbage"`
	// WrongID returns another request's id.
	WrongID bool `json:"wrongId"`
	// NoEndMarker ends streams without the end marker.
	NoEndMarker bool `json:"noEndMarker"`
	// CutAfter drops the connection after that many tokens; zero never does.
	CutAfter int `json:"cutAfter"`
	// EndsOn is part of the bodies of requests that end the engine when it begins
	// to run them; empty is none.
	EndsOn string `json:"endsOn"`
	// FreezeLoad keeps the load report as it is.
	FreezeLoad bool `json:"freezeLoad"`
	// LoseCacheEvents leaves gaps in the cache events.
	LoseCacheEvents bool `json:"loseCacheEvents"`
}

// EngineStats counts an engine's work.
type EngineStats struct {
	Requests int `json:"requests"`
	// Tokens counts the tokens made.
	Tokens int `json:"tokens"`
	// Cancelled counts the requests whose connection went before the end.
	Cancelled int `json:"cancelled"`
	// PrefixHits counts the requests whose prompt began with a cached prefix.
	PrefixHits int `json:"prefixHits"`
}

// Engine is a stand-in of a model engine. Its answers depend on the prompt
// only, so that a test can tell the right answer. It is safe for concurrent
// use.
type Engine struct {
	// Orders takes the orders that load models and adapters.
	Orders *Orders
	// End ends the engine: it listens no more, and all of its connections are
	// cut off. It must be set for EndsOn.
	End func()

	speed    EngineSpeed
	slots    *slots
	prefixes *prefixCache
	// made counts the tokens made.
	made atomic.Int64

	mu     sync.Mutex
	faults EngineFaults
	// changed is closed when the faults change.
	changed chan struct{}
	stats   EngineStats
	load    engine.Load
}

// NewEngine returns an idle engine.
func NewEngine(speed EngineSpeed) *Engine {
	return &Engine{
		Orders:   NewOrders(true, nil),
		speed:    speed,
		slots:    newSlots(speed.Concurrency, speed.LoadLag),
		prefixes: newPrefixCache(speed.Prefixes),
		changed:  make(chan struct{}),
	}
}

// SetFaults switches faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	close(e.changed)
	e.changed = make(chan struct{})
	e.prefixes.lossy.Store(f.LoseCacheEvents)
}

// Stats returns the counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Tokens = int(e.made.Load())
	return stats
}

func (e *Engine) currentFaults() EngineFaults {
	f, _ := e.watchFaults()
	return f
}

// watchFaults returns the faults and a channel that is closed when they
// change.
func (e *Engine) watchFaults() (EngineFaults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.changed
}

// Handler returns the HTTP handler of the protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathChat, e.withFaults(e.chat))
	mux.HandleFunc("GET "+engine.PathLoad, e.withFaults(e.reportLoad))
	mux.HandleFunc("GET "+PathCacheEvents, e.withFaults(e.prefixes.serve))
	e.Orders.Handle(mux)
	mux.HandleFunc("POST /faults", handleJSON(func(f EngineFaults) EngineFaults { e.SetFaults(f); return f }))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Stats()) })
	return mux
}

func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := e.currentFaults()
		switch {
		case f.Down:
			panic(http.ErrAbortHandler)
		case f.Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		case f.Silent:
			<-r.Context().Done()
			return
		}
		next(w, r)
	}
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.slots.laggedCounts(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.FreezeLoad {
		e.load = engine.Load{Running: running, Waiting: waiting, KVUse: float64(running) / float64(e.speed.Concurrency)}
	}
	_ = json.NewEncoder(w).Encode(e.load)
}

// chat answers a chat request as a stream.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.stats.Requests++
	endsOn := e.faults.EndsOn
	e.mu.Unlock()
	if endsOn != "" && bytes.Contains(body, []byte(endsOn)) {
		e.End()
		return
	}
	if err := e.slots.acquire(r.Context(), req.Priority); err != nil {
		e.countCancelled()
		return
	}
	defer e.slots.release()
	if !newAnswerStream(e, w, r, &req).run() {
		e.countCancelled()
	}
}

func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}
