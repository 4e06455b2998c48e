package forward

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// namedByID is the Protocol.NamedID of endpoints that echo the header Id.
func namedByID(h http.Header) string { return h.Get("Id") }

// attemptsLine is the log line about the attempts of a request.
type attemptsLine struct {
	Msg     string
	Request string
	Why     doubt
	Trace   []attemptTrace
}

// readAttempts returns the lines about attempts in a log.
func readAttempts(t *testing.T, log string) (lines []attemptsLine) {
	t.Helper()
	for text := range strings.Lines(log) {
		var line attemptsLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		if line.Msg == "attempts" {
			lines = append(lines, line)
		}
	}
	return lines
}

// unsafeRequest returns a request that must not be repeated.
func unsafeRequest(id string) *Request {
	now := boottime.System{}.Now()
	return &Request{
		ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p", Kind: catalog.Unsafe, Attempts: 1,
		ReceivedAt: now, Deadline: now + 20*time.Second, MaySend: mayAlwaysSend,
	}
}

func mayAlwaysSend() *outcome.Refusal { return nil }

// Guards against a request that is refused as not run after it was sent, or sent more than
// once, without a log line that names it and shows what was believed.
func TestDoubtfulOutcomesAreLogged(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const success = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood"
	for _, tt := range []struct {
		name      string
		endpoints []string
		budget    int
		want      doubt
		attempts  []http1.Attribution
	}{
		{"refused", []string{refusal}, 0, doubtPromised, []http1.Attribution{http1.Unstated}},
		{"refused, then answered", []string{refusal, success}, 1, doubtSentAgain, []http1.Attribution{http1.Unstated, http1.Own}},
		{"a response of another request before", []string{"HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 0\r\n\r\n" + success}, 0, doubtSkipped, []http1.Attribution{http1.Own}},
		{"answered", []string{success}, 0, "", nil},
		{"failed", []string{""}, 0, "", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &site{}
			for _, answer := range tt.endpoints {
				s.listen(t, answer)
			}
			var log strings.Builder
			f := newTestForwarder(s)
			f.Protocol.NamedID = namedByID
			f.Logger = slog.New(slog.NewJSONHandler(&log, nil))
			f.Budget = budgetOf(tt.budget)
			_ = f.Do(t.Context(), unsafeRequest("r"), discardSink())
			lines := readAttempts(t, log.String())
			if tt.want == "" {
				if len(lines) > 0 {
					t.Errorf("logged %+v", lines)
				}
				return
			}
			if len(lines) != 1 || lines[0].Request != "r" || lines[0].Why != tt.want || len(lines[0].Trace) != len(tt.attempts) {
				t.Fatalf("logged %+v, want %s", lines, tt.want)
			}
			for i, want := range tt.attempts {
				a := lines[0].Trace[i]
				if a.Response != want || !a.Sent || a.Carried != 0 {
					t.Errorf("attempt %d: %+v, want a response that is %s", i, a, want)
				}
				if a.Conn == 0 || a.Written == 0 || a.Read == 0 || len(a.Heads) != a.Skipped+1 {
					t.Errorf("attempt %d: %+v, want its connection, bytes and heads", i, a)
				}
			}
		})
	}
}

// budgetOf returns a retry budget of n retries for each request.
func budgetOf(n int) func(table.Pool) Budget {
	return func(table.Pool) Budget { return &fixedBudget{left: n} }
}

// discardSink returns a sink for a response that is not looked at.
func discardSink() Sink {
	return Sink{Head: func(int, http.Header, int64) {}, Body: func([]byte) error { return nil }}
}
