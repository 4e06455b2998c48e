package metric_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
)

func TestPrometheusText(t *testing.T) {
	r := metric.NewRegistry()
	r.CountRefusal(outcome.ReasonShed)
	r.Add("refused.deadline", 2)
	r.Inc("control.tablePoll.bytesSent")
	r.Set("table.version", 7)
	var b strings.Builder
	if err := r.WritePrometheus(&b); err != nil {
		t.Fatal(err)
	}
	want := `# TYPE beechhead_control_tablePoll_bytesSent_total counter
beechhead_control_tablePoll_bytesSent_total 1
# TYPE beechhead_refused_total counter
beechhead_refused_total{reason="deadline"} 2
beechhead_refused_total{reason="shed"} 1
# TYPE beechhead_table_version gauge
beechhead_table_version 7
`
	if b.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", b.String(), want)
	}
}

// Histograms have a label for the class, so that operators can find the class
// that is late. Routes come and go, so the number of labels must be bounded.
func TestHistogramsByClass(t *testing.T) {
	r := metric.NewRegistry()
	r.ObserveClass("wait.ms", "chat/0", 7)
	r.ObserveClass("wait.ms", "draft/1", 9)
	var out strings.Builder
	if err := r.WritePrometheus(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`beechhead_wait_ms_count 2`,
		`beechhead_wait_ms_by_class_count{class="chat/0"} 1`,
		`beechhead_wait_ms_by_class{class="draft/1",quantile="0.5"} 9`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	for i := range 200 {
		r.ObserveClass("wait.ms", fmt.Sprint(i), 1)
	}
	out.Reset()
	if err := r.WritePrometheus(&out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "by_class_count"); n != 65 {
		t.Errorf("%d classes have a label, want 64 and one for the others", n)
	}
}
