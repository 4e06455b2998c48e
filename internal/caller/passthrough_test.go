package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

// passthroughCase is a call of a plain service: what the caller sends, what the
// service must receive, its response, and what the caller must receive. Lines
// end in \n; multiple values of a header are joined by |.
type passthroughCase struct {
	Name       string            `json:"name"`
	Send       string            `json:"send"`
	Seen       string            `json:"seen"`
	SeenBody   string            `json:"seenBody"`
	SeenHeader map[string]string `json:"seenHeader"`
	Unseen     []string          `json:"unseen"`
	Reply      string            `json:"reply"`
	Status     int               `json:"status"`
	Header     map[string]string `json:"header"`
	Absent     []string          `json:"absent"`
	Body       string            `json:"body"`
}

// rawService records the request that it receives and writes reply to the
// connection.
type rawService struct {
	mu     sync.Mutex
	reply  string
	seen   string
	body   string
	header http.Header
}

func (s *rawService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.seen, s.body, s.header = r.Method+" "+r.RequestURI, string(body), r.Header.Clone()
	reply := s.reply
	s.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, reply)
	_ = conn.Close()
}

// A call is forwarded byte for byte in both directions, except for hop-by-hop
// headers and the headers between the caller and the router.
func TestServiceCallsPassThrough(t *testing.T) {
	raw := &rawService{}
	server := httptest.NewServer(raw)
	t.Cleanup(server.Close)
	s := startSite(t, standin.SiteConfig{Daemons: 1, Engines: 1, Zones: 1, Speed: fastEngines, Table: func(tab *table.Table) { addRaw(tab, server.URL) }})
	for _, c := range loadCases[passthroughCase](t, "testdata/passthrough.json") {
		t.Run(c.Name, func(t *testing.T) {
			raw.mu.Lock()
			raw.reply, raw.seen, raw.body, raw.header = crlf(c.Reply), "", "", nil
			raw.mu.Unlock()
			text := crlf(strings.ReplaceAll(c.Send, "$AUTH", "Authorization: Bearer raw-key"))
			method, _, _ := strings.Cut(text, " ")
			got := exchange(t, s.Settings[0].CallerAddress, text, false, method)
			raw.check(t, c)
			c.checkResponse(t, got)
		})
	}
}

func crlf(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }

// addRaw adds the service, its class and its account.
func addRaw(t *table.Table, url string) {
	t.Endpoints = append(t.Endpoints, table.Endpoint{Name: "raw-0", Kind: table.KindService, Pool: "raw", URL: url, Region: "region-1", Zone: "zone-0", Concurrency: 4})
	t.Classes = append(t.Classes, table.Class{Name: "raw", Weight: 1, Pools: []table.Pool{"raw"}, MaxWait: table.Duration(time.Second)})
	t.Accounts = append(t.Accounts, table.Account{Name: "raw", KeyHashes: []string{standin.KeyHash("raw-key")}, Classes: []table.ClassName{"raw"}})
}

func (s *rawService) check(t *testing.T, c passthroughCase) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen != c.Seen {
		t.Errorf("the service received %q, want %q", s.seen, c.Seen)
	}
	if s.body != c.SeenBody {
		t.Errorf("the service received the body %q, want %q", s.body, c.SeenBody)
	}
	checkHeader(t, s.header, c.SeenHeader, c.Unseen)
}

func (c passthroughCase) checkResponse(t *testing.T, got response) {
	t.Helper()
	if got.status != c.Status || got.body != c.Body {
		t.Errorf("status %d, body %q; want %d, %q", got.status, got.body, c.Status, c.Body)
	}
	checkHeader(t, got.header, c.Header, c.Absent)
	if got.header.Get("Beechhead-Request-Id") == "" || got.header.Get("Beechhead-Request-Id") == "x" {
		t.Errorf("request id %q", got.header.Get("Beechhead-Request-Id"))
	}
}

func checkHeader(t *testing.T, h http.Header, want map[string]string, absent []string) {
	t.Helper()
	for name, value := range want {
		if got := strings.Join(h.Values(name), "|"); got != value {
			t.Errorf("%s is %q, want %q", name, got, value)
		}
	}
	for _, name := range absent {
		if len(h.Values(name)) > 0 {
			t.Errorf("%s is %q, want none", name, h.Values(name))
		}
	}
}
