package forward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/beechhead/beechhead/internal/catalog"
)

// Guards against a refusal that names its request, comes a second time, and is taken for the
// answer to a later attempt at the same process: the request runs twice, or its caller is
// told that it was not run. A process that has taken the place of another one at its address
// is known under two names for a while.
func TestRepeatedRefusalAnswersNoLaterAttempt(t *testing.T) {
	for status, refusal := range map[string]string{
		"421": strings.Replace(namedRefusal, "503 Busy", "421 Other", 1),
		"503": namedRefusal,
	} {
		for _, kind := range []catalog.Kind{catalog.Unsafe, catalog.Stream} {
			t.Run(fmt.Sprintf("%s/kind %d", status, kind), func(t *testing.T) {
				s := &site{}
				whole, want := keptSuccess, "good"
				if kind == catalog.Stream {
					whole, want = keptStream, "id: 1\ndata: ok\n\n"
				}
				process := s.listenKept(t, refusal, refusal+whole)
				process.later = []string{whole}
				s.urls = append(s.urls, s.urls[0])
				elsewhere := s.listenKept(t, whole)
				f := newTestForwarder(s)
				f.Protocol.NamedID = namedByID
				f.Budget = budgetOf(3)
				if got := sendKept(t, f, "1", kind); got != want {
					t.Errorf("the caller received %q, want %q", got, want)
				}
				if elsewhere.hasReceived("1") {
					t.Error("the request was sent to another endpoint as well")
				}
			})
		}
	}
}
