package caller_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

// refusalCase is a request that must be refused, and the expected refusal.
type refusalCase struct {
	Name   string            `json:"name"`
	Method string            `json:"method"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	// Key is the API key; if absent, the studio's key is used.
	Key  *string `json:"key"`
	Body string  `json:"body"`
	// The sizes are the number of bytes to add to the respective part.
	BodyBytes   int `json:"bodyBytes"`
	HeaderBytes int `json:"headerBytes"`
	QueryBytes  int `json:"queryBytes"`
	KeyBytes    int `json:"keyBytes"`
	// LengthAdded makes Content-Length exceed the body, after which the sender
	// closes its side of the connection.
	LengthAdded int                  `json:"lengthAdded"`
	Faults      standin.EngineFaults `json:"faults"`

	Status     int    `json:"status"`
	Reason     string `json:"reason"`
	Outcome    string `json:"outcome"`
	RetryAfter string `json:"retryAfter"`
	// Bare means that net/http refuses the request before it can be read.
	Bare bool `json:"bare"`
	// Broken means that the stream had begun, so that the refusal is its last
	// event.
	Broken bool `json:"broken"`
}

// Every invalid request and every invalid response of an engine gets a refusal
// with the right outcome, and the host continues to serve requests.
func TestRefusals(t *testing.T) {
	s := startSite(t, standin.SiteConfig{Daemons: 1, Engines: 2, Zones: 1, Speed: fastEngines, Table: addOnce})
	address := s.Settings[0].CallerAddress
	for _, c := range loadCases[refusalCase](t, "testdata/refusals.json") {
		t.Run(c.Name, func(t *testing.T) {
			setFaults(s, c.Faults)
			defer setFaults(s, standin.EngineFaults{})
			checkRefusal(t, c, exchange(t, address, c.text(), c.LengthAdded > 0, c.Method))
		})
		if good := exchange(t, address, goodChat, false, http.MethodPost); good.status != http.StatusOK {
			t.Fatalf("after %q a valid request gets status %d: %s", c.Name, good.status, good.body)
		}
	}
}

const goodBody = `{"model":"assistant","messages":[{"content":"hello [[tokens=3]]"}]}`

var goodChat = fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: bearer studio-key\r\n"+
	"Content-Length: %d\r\n\r\n%s", len(goodBody), goodBody)

// text returns the request as it is sent over the connection.
func (c *refusalCase) text() string {
	key, body := standin.StudioKey, c.Body+strings.Repeat("x", c.BodyBytes)
	if c.Key != nil {
		key = *c.Key
	}
	path := c.Path
	if c.QueryBytes > 0 {
		path += "?" + strings.Repeat("q", c.QueryBytes)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", c.Method, path)
	if _, own := c.Header["Authorization"]; !own && key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", key)
	}
	for name, value := range c.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if c.HeaderBytes > 0 {
		fmt.Fprintf(&b, "X-Bomb: %s\r\n", strings.Repeat("h", c.HeaderBytes))
	}
	if c.KeyBytes > 0 {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", strings.Repeat("k", c.KeyBytes))
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body)+c.LengthAdded, body)
	return b.String()
}

// refusalBody is the format of OpenAI's errors.
type refusalBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func checkRefusal(t *testing.T, c refusalCase, got response) {
	t.Helper()
	body := got.body
	if got.status != c.Status {
		t.Fatalf("status %d, want %d: %s", got.status, c.Status, body)
	}
	if c.Bare {
		return
	}
	reported := got.header.Get("Beechhead-Outcome")
	if c.Broken {
		reported = got.trailer.Get("Beechhead-Outcome")
		if strings.Contains(body, "[DONE]") {
			t.Error("a truncated stream has an end marker")
		}
		body = body[strings.LastIndex(body, "data: ")+len("data: "):]
	}
	if reported != c.Outcome {
		t.Errorf("outcome %q, want %q", reported, c.Outcome)
	}
	for _, name := range []string{"Beechhead-Request-Id", "Beechhead-Host"} {
		if got.header.Get(name) == "" {
			t.Errorf("%s is missing", name)
		}
	}
	if c.RetryAfter != "" && got.header.Get("Retry-After") != c.RetryAfter {
		t.Errorf("Retry-After %q, want %q", got.header.Get("Retry-After"), c.RetryAfter)
	}
	var r refusalBody
	if err := json.Unmarshal([]byte(body), &r); err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	if c.Reason != "" && r.Error.Code != c.Reason {
		t.Errorf("reason %q, want %q: %s", r.Error.Code, c.Reason, body)
	}
	if r.Error.Message == "" || r.Error.Type == "" || r.Error.Outcome != c.Outcome {
		t.Errorf("incomplete refusal: %s", body)
	}
}

// fastEngines is the speed of engines that respond without delay.
var fastEngines = standin.EngineSpeed{Concurrency: 8, PromptToken: time.Nanosecond, Token: time.Nanosecond}

// addOnce adds a class with short targets, whose requests are sent only once,
// so that the result of a single attempt is visible. Its target for whole
// answers ends the wait for an engine that sends nothing.
func addOnce(t *table.Table) {
	t.Classes = append(t.Classes, table.Class{
		Name: "once", Weight: 1, Pools: []table.Pool{standin.SampleModel},
		Target: table.Target{FirstToken: table.Duration(time.Millisecond), WholeAnswer: table.Duration(time.Millisecond)}, MaxWait: table.Duration(time.Second),
	})
	t.Accounts[0].Classes = append(t.Accounts[0].Classes, "once")
}

func setFaults(s *standin.Site, f standin.EngineFaults) {
	for _, e := range s.Engines {
		e.SetFaults(f)
	}
}

func startSite(t testing.TB, cfg standin.SiteConfig) *standin.Site {
	t.Helper()
	s, stop, err := standin.StartSite(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	if err := s.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return s
}

// response is a response that was read completely.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	// closed reports whether the server closes the connection.
	closed bool
}

// exchange sends a request given as text and reads the response. With
// halfClose, the sender closes its side of the connection after the text.
func exchange(t *testing.T, address, text string, halfClose bool, method string) response {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		// A server that refuses a request early need not read all of it.
		_, _ = io.WriteString(conn, text)
		if tcp, ok := conn.(*net.TCPConn); ok && halfClose {
			_ = tcp.CloseWrite()
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(body), closed: resp.Close}
}

func loadCases[T any](t *testing.T, file string) (cases []T) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}
