package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the faults of a plain service's stand-in.
type ServiceFaults struct {
	// DelayMs delays every answer.
	DelayMs int `json:"delayMs"`
	// LoseReplies drops the connection of that many requests after they were
	// executed.
	LoseReplies int `json:"loseReplies"`
	// Down drops every connection before the request is executed.
	Down bool `json:"down"`
}

// Service is a stand-in of a plain service that counts executions. It is safe
// for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	// executions counts by request body.
	executions map[string]int
}

// NewService returns a service.
func NewService() *Service { return &Service{executions: map[string]int{}} }

// SetFaults switches faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often each body was executed.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for body, n := range s.executions {
		counts[body] = n
	}
	return counts
}

// echoed is the service's answer: what it was asked.
type echoed struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
	// Execution counts executions of this body.
	Execution int `json:"execution"`
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", handleJSON(func(f ServiceFaults) ServiceFaults { s.SetFaults(f); return f }))
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Executions()) })
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	if f.Down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.executions[string(body)]++
	answer := echoed{Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Body: string(body), Execution: s.executions[string(body)]}
	lose := f.LoseReplies > 0
	if lose {
		s.faults.LoseReplies--
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_ = json.NewEncoder(w).Encode(answer)
}
