//go:build crowd

package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// faultyEndpoints is the number of faulty endpoints of a site, faultySlots the number
	// of requests that each has at once.
	faultyEndpoints = 24
	faultySlots     = 8
	// faultyClients take all places, and leave connections to ordinary callers.
	faultyClients = faultyEndpoints * faultySlots * 5 / 4
	// stopsAfter is the size of a part of a response after which nothing more comes.
	stopsAfter = 1_000_000
)

// faulty is what a faulty endpoint sends: start, and part over and over, until times parts are
// sent, or without end if that is zero. Then it sends nothing until it is closed.
type faulty struct {
	// head replaces the head of a signed success without length.
	head  string
	start string
	part  string
	times int
}

// serveFaulty starts an endpoint. It counts the responses of which it has sent all.
func serveFaulty(t *testing.T, f faulty, sent *atomic.Int64) (address string) {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.respond(c, sent)
		}
	}()
	return l.Addr().String()
}

func (f faulty) respond(c net.Conn, sent *atomic.Int64) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	head := f.head
	if head == "" {
		head = "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": " + req.Header.Get(platform.HeaderRequestID) + "\r\n" +
			platform.HeaderSignature + ": s\r\n"
	}
	if _, err := io.WriteString(c, head+f.start); err != nil {
		return
	}
	part := bytes.Repeat([]byte(f.part), max(1, (8<<10)/len(f.part)))
	for n := 0; f.times == 0 || n < f.times*len(f.part); n += len(part) {
		if _, err := c.Write(part); err != nil {
			return
		}
	}
	sent.Add(1)
	_, _ = io.Copy(io.Discard, r)
}

// startFaultySite starts a site in which the endpoints of a service are faulty.
func startFaultySite(t *testing.T, service string, kinds []faulty) (s *site, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	entries := map[string]map[string]any{}
	for i := range faultyEndpoints {
		entry := standin.NewEntry(service, serveFaulty(t, kinds[i%len(kinds)], sent), false)
		entry["slots"], entry["born"] = faultySlots, time.Now().UnixMilli()
		entries[fmt.Sprintf("faulty-%d", i)] = entry
	}
	return startSite(t, siteOptions{without: service, entries: entries, routes: map[string]any{"timeout-ms": 15000, "target-latency-ms": 12000}}), sent
}

// requestTo returns a request on a route.
func requestTo(route string) func(id string) []byte {
	more := []string{"Content-Length: 1"}
	if route == "draft" {
		more = append(more, platform.HeaderTokens+": 1200,30", platform.HeaderParts+": aa:800,bb:300")
	}
	return func(id string) []byte { return []byte(head(route, id, more...) + "\r\nb") }
}

// Guards against responses that hold as much as they may before anything of them is passed on:
// many endpoints that send a part and then nothing make the daemon run out of memory.
func TestResponsesThatStop(t *testing.T) {
	for name, tt := range map[string]struct {
		route, service, ordinary string
		sends                    faulty
	}{
		"whole responses":   {"pay", "app", "chat", faulty{start: "\r\n", part: "x", times: stopsAfter}},
		"whole, in chunks":  {"look", "app", "chat", faulty{start: "Transfer-Encoding: chunked\r\n\r\n", part: "400\r\n" + strings.Repeat("x", 1024) + "\r\n", times: stopsAfter / 1024}},
		"failures":          {"pay", "app", "chat", faulty{head: "HTTP/1.1 500 Error\r\n", start: "\r\n", part: "x", times: stopsAfter}},
		"events":            {"draft", "llm", "look", faulty{start: "\r\ndata: ", part: "x", times: stopsAfter}},
		"lines of an event": {"draft", "llm", "look", faulty{start: "\r\n", part: "data: x\n", times: stopsAfter / 8}},
	} {
		t.Run(name, func(t *testing.T) {
			s, sent := startFaultySite(t, tt.service, []faulty{tt.sends})
			request := requestTo(tt.route)
			end := crowd{clients: faultyClients, rounds: 1, play: partly(request)}.start(t, s.callers)
			defer end()
			s.awaitQuiet(t, sent)
			s.checkBounds(t)
			s.checkOrdinary(t, tt.ordinary)
			end()
			s.checkOrdinary(t, tt.ordinary)
			s.checkBounds(t)
		})
	}
}

// awaitQuiet waits until the faulty endpoints have sent what they send.
func (s *site) awaitQuiet(t *testing.T, sent *atomic.Int64) {
	t.Helper()
	for quiet, before := 0, int64(0); quiet < 20; time.Sleep(100 * time.Millisecond) {
		now := sent.Load()
		if quiet++; now != before || now == 0 {
			quiet, before = 0, now
		}
		select {
		case <-s.done:
			return
		default:
		}
	}
	t.Logf("%d responses were sent", sent.Load())
}

// Guards against endpoints that send bytes without end, at any place of a response, until the
// daemon has no memory left.
func TestResponsesWithoutEnd(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	responses := []faulty{
		{head: "HTTP/1.1 2", part: "0"},
		{head: "HTTP/1.1 200 ", part: "O"},
		{start: "Long: ", part: "x"},
		{part: "A: b\r\n"},
		{head: "HTTP/1.1 102 Processing\r\n\r\n", part: "HTTP/1.1 102 Processing\r\n\r\n"},
		{head: "\r\n", part: "\r\n"},
		{head: "\x00", part: "\x00"},
		{start: "\r\n", part: "x"},
		{start: chunked, part: "0"},
		{start: chunked + "1;", part: "x"},
		{start: chunked + "1\r\nx\r\n0\r\n", part: "A: b\r\n"},
		{start: chunked, part: "1\r\nx\r\n"},
		{start: "Content-Length: 1\r\n\r\nx", part: "x"},
		{head: "HTTP/1.1 500 Error\r\n", start: "\r\n", part: "x"},
	}
	streams := []faulty{
		{start: "\r\ndata: ", part: "x"},
		{start: "\r\n", part: "data: x\n"},
		{start: "\r\n", part: ": x\n"},
		{start: "\r\n", part: ": x\n\n"},
		{start: "\r\n", part: "id: 1\ndata: x\n\n"},
		{start: "\r\n", part: "\n"},
		{start: chunked, part: "3\r\n: x\r\n"},
	}
	for name, tt := range map[string]struct {
		route, service, ordinary string
		sends                    []faulty
	}{
		"whole responses": {"pay", "app", "chat", responses},
		"streams":         {"draft", "llm", "look", append(responses, streams...)},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startFaultySite(t, tt.service, tt.sends)
			end := crowd{clients: clients / 2, rounds: 4, play: whole(2, requestTo(tt.route))}.start(t, s.callers)
			s.checkOrdinary(t, tt.ordinary)
			s.checkBounds(t)
			end()
			s.checkOrdinary(t, tt.ordinary)
			s.checkBounds(t)
		})
	}
}
