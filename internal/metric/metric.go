// Package metric holds the daemon's counters and gauges, kept in a go-metrics
// registry and served as JSON.
package metric

import (
	"io"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/beechhead/beechhead/internal/outcome"
)

// Registry is the set of figures of one daemon. It is safe for concurrent use.
type Registry struct {
	r gometrics.Registry

	mu sync.Mutex
	// classes has those with histograms of their own.
	classes map[string]bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{r: gometrics.NewRegistry(), classes: map[string]bool{}}
}

// Add adds n to the counter of that name.
func (r *Registry) Add(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, r.r).Inc(n)
}

// Counter returns the counter of that name, for those who count often.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.r)
}

// Inc adds one to the counter of that name.
func (r *Registry) Inc(name string) { r.Add(name, 1) }

// Count returns the counter's value.
func (r *Registry) Count(name string) int64 {
	return gometrics.GetOrRegisterCounter(name, r.r).Count()
}

// Set sets the gauge of that name.
func (r *Registry) Set(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, r.r).Update(v)
}

// sampleSize is how many of the newest values a histogram keeps. A few hundred
// tell the 99th percentile, and there is a histogram for each class.
const sampleSize = 256

// Observe adds a value to the histogram of that name.
func (r *Registry) Observe(name string, v int64) {
	made := func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	}
	h, ok := r.r.GetOrRegister(name, made).(gometrics.Histogram)
	if ok {
		h.Update(v)
	}
}

// maxClasses bounds the classes with histograms of their own. Routes come and
// go, and the registry forgets none.
const maxClasses = 64

// otherClass stands for the classes beyond that.
const otherClass = "other"

// ObserveClass adds a value to the histogram of that name and to that of a
// class of requests.
func (r *Registry) ObserveClass(name, class string, v int64) {
	r.Observe(name, v)
	r.Observe(name+classMark+r.knownClass(class), v)
}

// classMark stands between a figure's name and the class that it is told for.
const classMark = "|"

// knownClass returns the class, or otherClass if there are too many.
func (r *Registry) knownClass(class string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.classes[class] || len(r.classes) < maxClasses {
		r.classes[class] = true
		return class
	}
	return otherClass
}

// Refused counts a refusal by its reason.
func (r *Registry) Refused(reason outcome.Reason) { r.Inc("refused." + string(reason)) }

// Retried counts a retry by its reason.
func (r *Registry) Retried(reason outcome.Reason) { r.Inc("retried." + string(reason)) }

// Counters returns every counter by name.
func (r *Registry) Counters() map[string]int64 {
	counts := map[string]int64{}
	r.r.Each(func(name string, v any) {
		switch m := v.(type) {
		case gometrics.Counter:
			counts[name] = m.Count()
		case gometrics.Gauge:
			counts[name] = m.Value()
		}
	})
	return counts
}

// WriteJSON writes every figure as one JSON object.
func (r *Registry) WriteJSON(w io.Writer) {
	gometrics.WriteJSONOnce(r.r, w)
}
