package standin

import "sync"

// Weights is a stand-in of the weight store. Loads go on until Finish ends
// them, so that a test decides how long they take. It is safe for concurrent
// use.
type Weights struct {
	mu      sync.Mutex
	loading []func()
	most    int
	total   int
}

// load begins a load; done is called at its end.
func (w *Weights) load(done func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading = append(w.loading, done)
	w.most = max(w.most, len(w.loading))
	w.total++
}

// Finish ends the loads in progress.
func (w *Weights) Finish() {
	w.mu.Lock()
	ended := w.loading
	w.loading = nil
	w.mu.Unlock()
	for _, done := range ended {
		done()
	}
}

// Counts returns the number of loads and how many went on at once at most.
func (w *Weights) Counts() (total, most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total, w.most
}
