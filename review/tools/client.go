package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one attempt of a client and what came of it.
type call struct {
	id, kind, daemon string
	// key is the API key that is sent.
	key string
	// kept is set if the connection had carried an answer before.
	kept        bool
	sent, ended time.Time
	// status is zero if no head of an answer came; closed is set if the connection ended
	// then, and complete if the body came whole.
	status           int
	closed, complete bool
	signature        string
	body             string
	err              error
}

// callers are the clients of a run.
type callers struct {
	site *site
	// key is the API key of these clients.
	key  string
	mu   sync.Mutex
	all  []*call
	wg   sync.WaitGroup
	stop chan struct{}
}

func newCallers(s *site) *callers { return newCallersWith(s, apiKey) }

// newCallersWith returns clients with a key of their own.
func newCallersWith(s *site, key string) *callers {
	return &callers{site: s, key: key, stop: make(chan struct{})}
}

// begin starts n clients that send requests of a kind one after the other over kept
// connections, with a pause in between.
func (c *callers) begin(n int, kind string, pause time.Duration) {
	for range n {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.run(kind, pause)
		}()
	}
}

func (c *callers) end() []*call {
	close(c.stop)
	c.wg.Wait()
	return c.all
}

func (c *callers) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// run is one client. It takes a new address for each new connection.
func (c *callers) run(kind string, pause time.Duration) {
	var conn net.Conn
	var reader *bufio.Reader
	var d *daemon
	kept := false
	time.Sleep(time.Duration(rand.Float64() * float64(2*pause)))
	for !c.stopped() {
		time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
		if conn == nil {
			if d = c.resolve(); d == nil {
				continue
			}
			var err error
			if conn, err = net.DialTimeout("tcp", d.front(), time.Second); err != nil {
				conn = nil
				continue
			}
			reader, kept = bufio.NewReader(conn), false
		}
		one := &call{id: newID(), kind: kind, daemon: d.name, kept: kept, key: c.key}
		keep := c.do(conn, reader, one)
		c.mu.Lock()
		c.all = append(c.all, one)
		c.mu.Unlock()
		kept = true
		if !keep {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// resolve asks the directory where to connect, and picks one of the addresses at random. It
// tries up to three daemons.
func (c *callers) resolve() *daemon {
	for range 3 {
		asked := c.site.daemons[rand.IntN(len(c.site.daemons))]
		resp, err := probe.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=r1&zone=%s", asked.ip, portNames, hostName, asked.zone))
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err != nil || len(a.Addresses) == 0 {
			continue
		}
		address := a.Addresses[rand.IntN(len(a.Addresses))]
		for _, d := range c.site.daemons {
			if d.front() == address {
				return d
			}
		}
	}
	return nil
}

func newID() string {
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.UintN(256))
	}
	return hex.EncodeToString(b[:])
}

// deadlines are the times that clients wait, by kind of request.
var deadlines = map[string]time.Duration{"chat": 12 * time.Second, "draft": 15 * time.Second, "pay": 1500 * time.Millisecond, "look": 1500 * time.Millisecond}

// text is the request as it is sent.
func (one *call) text() []byte {
	var b bytes.Buffer
	method, body := "POST", "body of "+one.id
	if one.kind == "look" {
		method, body = "GET", ""
	}
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nBeechhead-Request-Id: %s\r\nBeechhead-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		method, one.kind, one.id, hostName, one.id, deadlines[one.kind].Milliseconds(), one.key)
	if one.kind == "chat" || one.kind == "draft" {
		fmt.Fprintf(&b, "Beechhead-Model: m\r\nBeechhead-Token-Usage: 900,120\r\nBeechhead-Prefix-Hash: 5c1e07a2:120,%x:80,%s:700\r\n", rand.UintN(200)+1, one.id)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// do sends a request and reads the answer. It reports whether the connection may carry
// another one.
func (c *callers) do(conn net.Conn, reader *bufio.Reader, one *call) (keep bool) {
	rec := c.site.rec
	one.sent = time.Now()
	rec.logf("client sends %s %s to %s with key %s", one.kind, one.id, one.daemon, one.key)
	defer func() {
		one.ended = time.Now()
		rec.logf("client has of %s: status=%d complete=%t closed=%t signature=%q err=%v", one.id, one.status, one.complete, one.closed, one.signature, one.err)
	}()
	_ = conn.SetDeadline(one.sent.Add(deadlines[one.kind] + 500*time.Millisecond))
	if _, err := conn.Write(one.text()); err != nil {
		one.closed, one.err = true, err
		return false
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: "GET"})
	if err != nil {
		one.err = err
		ne, ok := err.(net.Error)
		one.closed = !ok || !ne.Timeout()
		return false
	}
	one.status, one.signature = resp.StatusCode, resp.Header.Get("Beechhead-Response-Signature")
	body, err := io.ReadAll(resp.Body)
	one.body, one.err, one.complete = string(body), err, err == nil
	return err == nil && !resp.Close
}
