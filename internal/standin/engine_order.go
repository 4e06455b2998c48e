package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/beechhead/beechhead/internal/engine"
)

// OrderFaults are the faults of an engine's order handling.
type OrderFaults struct {
	// LoseReplies drops the connection of that many orders after they took
	// effect.
	LoseReplies int `json:"loseReplies"`
	// LoseRequests drops that many before they take effect.
	LoseRequests int `json:"loseRequests"`
}

// Orders is the part of an engine's stand-in that takes orders. It is safe
// for concurrent use.
type Orders struct {
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// Weights is where models are loaded from; nil loads at once.
	Weights *Weights

	mu     sync.Mutex
	faults OrderFaults
	state  engine.State
	// taken holds the orders that took effect, oldest first.
	taken []engine.Order
}

// NewOrders returns an engine's order handling with nothing loaded.
func NewOrders(checksFence bool, w *Weights) *Orders {
	return &Orders{ChecksFence: checksFence, Weights: w, state: engine.State{Adapters: []string{}}}
}

// SetFaults switches faults.
func (o *Orders) SetFaults(f OrderFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// State returns what is loaded.
func (o *Orders) State() engine.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// Taken returns the orders that took effect, oldest first.
func (o *Orders) Taken() []engine.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engine.Order{}, o.taken...)
}

// Handle adds the handlers to an engine's.
func (o *Orders) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+engine.PathState, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(o.State()) })
	mux.HandleFunc("PUT "+engine.PathState, o.put)
}

func (o *Orders) put(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.LoseRequests > 0 {
		o.faults.LoseRequests--
		panic(http.ErrAbortHandler)
	}
	if o.ChecksFence && order.Fence < o.state.Fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	o.take(order)
	if o.faults.LoseReplies > 0 {
		o.faults.LoseReplies--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(o.state)
}

// take begins to load what is ordered, unless it is loaded already.
func (o *Orders) take(order engine.Order) {
	o.taken = append(o.taken, order)
	if o.ChecksFence {
		o.state.Fence = order.Fence
	}
	if o.state.Meets(&order) {
		return
	}
	o.state.Model = order.Model
	o.state.Adapters = order.Adapters
	if o.Weights != nil {
		o.state.Loading = true
		o.Weights.load(func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.state.Loading = false
		})
	}
}
