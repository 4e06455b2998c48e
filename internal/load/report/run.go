package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/beechhead/beechhead/internal/outcome"
)

// Run is the result of one policy, in JSON.
type Run struct {
	Policy  string    `json:"policy"`
	Seed    uint64    `json:"seed"`
	Classes []Summary `json:"classes"`
	// Goodput is that of all classes.
	Goodput float64 `json:"goodput"`
	// TokensMade counts the tokens that engines made, TokensDelivered those of
	// whole answers. The rest is wasted work.
	TokensMade      int     `json:"tokensMade"`
	TokensDelivered int     `json:"tokensDelivered"`
	WastedShare     float64 `json:"wastedShare"`
	// EngineRequests counts what engines were asked; Amplification is that
	// over the chats offered.
	EngineRequests int     `json:"engineRequests"`
	Amplification  float64 `json:"amplification"`
	// DoubleExecutions counts calls of plain services that were executed more
	// than once, NotRunLies those refused as not run that were executed.
	DoubleExecutions int `json:"doubleExecutions"`
	NotRunLies       int `json:"notRunLies"`
	// Retries are the daemons' retries by reason.
	Retries map[string]int64 `json:"retries"`
}

// Wasted returns the tokens that no caller got in a whole answer.
func (r *Run) Wasted() int { return max(r.TokensMade-r.TokensDelivered, 0) }

// Print writes a run as a table.
func (r *Run) Print(w io.Writer) {
	fmt.Fprintf(w, "policy %s, seed %d\n", r.Policy, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\toffered\tmet\tattained\tgoodput/s\tlate\trefused\tfailed\twrong\tunfinished\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\tlongest wait\t")
	for i := range r.Classes {
		s := &r.Classes[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f%%\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.0fms\t%.0fms\t%.0fms\t%.1fms\t%.1fms\t%.1fms\t%.0fms\t\n",
			s.Class, s.Offered, s.Met, 100*s.Attainment, s.Goodput, s.Late, s.RefusedTotal(), s.Failed, s.Wrong, s.Unfinished,
			s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99, s.Between.P50, s.Between.P95, s.Between.P99, s.LongestWaitMs)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "goodput %.0f tokens/s; made %d, delivered %d, wasted %d (%.2f%%); engine requests %d (%.3f per chat)\n",
		r.Goodput, r.TokensMade, r.TokensDelivered, r.Wasted(), 100*r.WastedShare, r.EngineRequests, r.Amplification)
	fmt.Fprintf(w, "executed twice %d, executed though refused as not run %d\n", r.DoubleExecutions, r.NotRunLies)
	r.printReasons(w)
	fmt.Fprintln(w)
}

func (r *Run) printReasons(w io.Writer) {
	refused := map[outcome.Reason]int{}
	for i := range r.Classes {
		for reason, n := range r.Classes[i].Refused {
			refused[reason] += n
		}
	}
	fmt.Fprintf(w, "refused: %s; retries: %s\n", counts(refused), counts(r.Retries))
}

// counts prints counts by name, in order of the names.
func counts[K ~string, N int | int64](m map[K]N) string {
	var parts []string
	for name, n := range m {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	if len(parts) == 0 {
		return "none"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
