// Package metric holds the daemon's counters, gauges and histograms in a
// go-metrics registry, and writes them as JSON or in Prometheus' text format.
package metric

import (
	"io"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/beechhead/beechhead/internal/outcome"
)

// Registry is the set of metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	r gometrics.Registry

	mu sync.Mutex
	// classes are the request classes that have histograms of their own.
	classes map[string]bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{r: gometrics.NewRegistry(), classes: map[string]bool{}}
}

// Add adds n to a counter.
func (r *Registry) Add(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, r.r).Inc(n)
}

// Counter returns a counter, so that frequent updates need no lookup by name.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.r)
}

// Inc adds one to a counter.
func (r *Registry) Inc(name string) { r.Add(name, 1) }

// Count returns the value of a counter.
func (r *Registry) Count(name string) int64 {
	return gometrics.GetOrRegisterCounter(name, r.r).Count()
}

// Set sets a gauge.
func (r *Registry) Set(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, r.r).Update(v)
}

// sampleSize is the number of values that a histogram's sample holds. A few
// hundred suffice for the 99th percentile, and there is a histogram for each
// class, so the sample is kept small.
const sampleSize = 256

// Observe adds a value to a histogram.
func (r *Registry) Observe(name string, v int64) {
	newHistogram := func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	}
	h, ok := r.r.GetOrRegister(name, newHistogram).(gometrics.Histogram)
	if ok {
		h.Update(v)
	}
}

// maxClasses bounds the classes that have histograms of their own, since routes
// come and go and the registry never removes a metric.
const maxClasses = 64

// otherClass is the label for all classes beyond maxClasses.
const otherClass = "other"

// ObserveClass adds a value to a histogram and to the histogram of a request
// class with the same name.
func (r *Registry) ObserveClass(name, class string, v int64) {
	r.Observe(name, v)
	r.Observe(name+classSeparator+r.classLabel(class), v)
}

// classSeparator separates the metric's name from the class in the name of a
// class histogram.
const classSeparator = "|"

// classLabel returns the class, or otherClass if maxClasses is reached.
func (r *Registry) classLabel(class string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.classes[class] || len(r.classes) < maxClasses {
		r.classes[class] = true
		return class
	}
	return otherClass
}

// CountRefusal counts a refusal under its reason.
func (r *Registry) CountRefusal(reason outcome.Reason) { r.Inc("refused." + string(reason)) }

// CountRetry counts a retry under its reason.
func (r *Registry) CountRetry(reason outcome.Reason) { r.Inc("retried." + string(reason)) }

// Counters returns the values of all counters and gauges by name.
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

// WriteJSON writes all metrics as one JSON object.
func (r *Registry) WriteJSON(w io.Writer) {
	gometrics.WriteJSONOnce(r.r, w)
}
