package metric

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// PrometheusType is the content type of Prometheus' text format.
const PrometheusType = "text/plain; version=0.0.4; charset=utf-8"

// reasonFamilies are the counter families whose names end in a reason.
var reasonFamilies = []string{"refused", "retried"}

// WritePrometheus writes all metrics in Prometheus' text format. The reasons of
// refusals and retries become labels.
func (r *Registry) WritePrometheus(w io.Writer) error {
	families := map[string][]string{}
	r.r.Each(func(name string, v any) {
		name, class, ofClass := strings.Cut(name, classSeparator)
		family, labels := prometheusName(name)
		switch m := v.(type) {
		case gometrics.Counter:
			key := family + "_total counter"
			families[key] = append(families[key], fmt.Sprintf("%s_total%s %d", family, labels, m.Count()))
		case gometrics.Gauge:
			key := family + " gauge"
			families[key] = append(families[key], fmt.Sprintf("%s%s %d", family, labels, m.Value()))
		case gometrics.Histogram:
			key := family + " summary"
			if ofClass {
				family += "_by_class"
				key = family + " summary"
				labels = fmt.Sprintf("class=%q", class)
			}
			families[key] = append(families[key], summary(family, labels, m.Snapshot())...)
		}
	})
	out := bufio.NewWriter(w)
	for _, key := range slices.Sorted(maps.Keys(families)) {
		fmt.Fprintf(out, "# TYPE %s\n", key)
		slices.Sort(families[key])
		for _, line := range families[key] {
			fmt.Fprintln(out, line)
		}
	}
	return out.Flush()
}

// quantiles are the quantiles reported for a histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// summary returns the lines of a histogram, with a label unless it is empty.
func summary(family, label string, h gometrics.Histogram) []string {
	var lines []string
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{%s} %g", family, joinLabels(label, fmt.Sprintf("quantile=\"%g\"", quantiles[i])), v))
	}
	if label != "" {
		label = "{" + label + "}"
	}
	return append(lines, fmt.Sprintf("%s_sum%s %d", family, label, h.Sum()), fmt.Sprintf("%s_count%s %d", family, label, h.Count()))
}

func joinLabels(label, other string) string {
	if label == "" {
		return other
	}
	return label + "," + other
}

// prometheusName converts a metric's name to a valid Prometheus name and its
// labels.
func prometheusName(name string) (family, labels string) {
	for _, kind := range reasonFamilies {
		if reason, ok := strings.CutPrefix(name, kind+"."); ok {
			return "beechhead_" + kind, fmt.Sprintf("{reason=%q}", reason)
		}
	}
	allowed := func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}
	return "beechhead_" + strings.Map(allowed, name), ""
}
