package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model engine or of an instance of a plain service. It speaks
// on the bare connection, so that it can spoil what it sends.
type engine struct {
	id, service, zone, address string
	rec                        *recorder
	// slots is how many requests run at once, queue how many more wait.
	slots, queue int
	// work returns how long a request runs.
	work func() time.Duration
	// events is the number of events of a stream; zero for a plain service.
	events int
	// gap is the time between two events.
	gap time.Duration
	// unframed has streams end with their connections, without a length or chunks.
	unframed bool
	// refuses, if set, reports whether a request is shed though there is room.
	refuses func(r *arrived) bool
	// spoil, if set, may send something else than the answer, which is complete then. It
	// returns true if it has, and whether the connection stays open.
	spoil func(c net.Conn, r *arrived) (done, keep bool)
	// after, if set, is called once an answer was sent whole. done is closed when the
	// connection ends.
	after func(c net.Conn, r *arrived, answer []byte)

	listener net.Listener
	// released is closed when the engine begins to leave.
	released chan struct{}

	mu       sync.Mutex
	whole    map[string]bool
	running  int
	waiting  int
	born     int64
	arrivals map[string]int
	runs     map[string]int
	sequence int
	conns    map[net.Conn]bool
}

// arrived is a request that has reached an engine.
type arrived struct {
	id, method, target, body, tenant string
	header                           http.Header
	conn                             int
	shed                             bool
}

func (e *engine) serve(l net.Listener) {
	e.listener, e.whole = l, map[string]bool{}
	e.arrivals, e.runs, e.conns = map[string]int{}, map[string]int{}, map[net.Conn]bool{}
	e.born = time.Now().UnixMilli()
	for n := 1; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c, n)
	}
}

func (e *engine) serveConn(c net.Conn, n int) {
	e.track(c, true)
	defer func() {
		e.track(c, false)
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !e.handle(c, r, req, string(body), n) {
			return
		}
	}
}

// track adds a connection to those that are open, or removes it.
func (e *engine) track(c net.Conn, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if open {
		e.conns[c] = true
		return
	}
	delete(e.conns, c)
}

// crash ends the engine at once, with all its connections.
func (e *engine) crash() {
	e.rec.logf("engine %s crashes", e.id)
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// handle answers one request and reports whether the connection goes on.
func (e *engine) handle(c net.Conn, reader *bufio.Reader, req *http.Request, body string, n int) bool {
	switch req.URL.Path {
	case "/healthz":
		return e.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nBeechhead-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id))
	case "/api/report":
		text := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-used":0,"kv-total":600000,"handles":0,"born":%d}`, e.born)
		return e.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
	}
	a := &arrived{
		id: req.Header.Get("Beechhead-Request-Id"), method: req.Method, target: req.RequestURI, body: body,
		tenant: req.Header.Get("Beechhead-Tenant-Id"), header: req.Header, conn: n,
	}
	if want := req.Header.Get("Beechhead-Expect-Instance"); want != "" && want != e.id {
		e.rec.logf("engine %s conn %d turns away %s: other instance", e.id, n, a.id)
		return e.write(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nBeechhead-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id))
	}
	if e.refuses != nil && e.refuses(a) || !e.enter(a) {
		a.shed = true
		e.rec.logf("engine %s conn %d sheds %s", e.id, n, a.id)
		text := "HTTP/1.1 503 Service Unavailable\r\nBeechhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		ok := e.write(c, text)
		if ok && e.after != nil {
			e.after(c, a, []byte(text))
		}
		return ok
	}
	defer e.leave()
	e.rec.logf("engine %s conn %d runs %s %s %s tenant=%s", e.id, n, a.id, a.method, a.target, a.tenant)
	if e.events > 0 {
		return e.stream(c, reader, a)
	}
	if !sleepWhileOpen(c, reader, e.work()) {
		e.rec.logf("engine %s conn %d drops %s: the connection has ended", e.id, n, a.id)
		return false
	}
	if e.spoil != nil {
		if done, keep := e.spoil(c, a); done {
			return keep
		}
	}
	text := answerText(a.id)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nBeechhead-Request-Id: %s\r\nBeechhead-Response-Signature: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		a.id, e.id, a.id, len(text), text)
	if !e.write(c, answer) {
		return false
	}
	e.rec.logf("engine %s conn %d has answered %s", e.id, n, a.id)
	if e.after != nil {
		e.after(c, a, []byte(answer))
	}
	return true
}

// answerText is the body of the answer to a request.
func answerText(id string) string { return strings.Repeat("answer to "+id+"\n", 25) }

func (e *engine) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// enter waits for a slot. It returns false if the engine is full.
func (e *engine) enter(a *arrived) bool {
	e.mu.Lock()
	e.arrivals[a.id]++
	if e.running >= e.slots {
		if e.waiting >= e.queue {
			e.mu.Unlock()
			return false
		}
		e.waiting++
		for e.running >= e.slots {
			e.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			e.mu.Lock()
		}
		e.waiting--
	}
	e.running++
	e.runs[a.id]++
	e.mu.Unlock()
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) stream(c net.Conn, reader *bufio.Reader, a *arrived) bool {
	last, _ := strconv.Atoi(a.header.Get("Last-Event-Id"))
	if !sleepWhileOpen(c, reader, e.work()) {
		return false
	}
	if e.spoil != nil {
		if done, keep := e.spoil(c, a); done {
			return keep
		}
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nBeechhead-Request-Id: %s\r\nBeechhead-Response-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nBeechhead-Weight-Versions: 1\r\n", a.id, e.id, a.id)
	if e.unframed {
		return e.streamUnframed(c, reader, a, head, last)
	}
	if !e.write(c, head+"Transfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for i := last + 1; i <= e.events; i++ {
		event := eventText(a.id, i)
		if !e.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		if !sleepWhileOpen(c, reader, e.gap) {
			return false
		}
	}
	return e.write(c, "0\r\n\r\n")
}

// streamUnframed sends a stream that ends with its connection.
func (e *engine) streamUnframed(c net.Conn, reader *bufio.Reader, a *arrived, head string, last int) bool {
	if !e.write(c, head+"Connection: close\r\n\r\n") {
		return false
	}
	for i := last + 1; i <= e.events; i++ {
		if !e.write(c, eventText(a.id, i)) || !sleepWhileOpen(c, reader, e.gap) {
			return false
		}
	}
	e.mu.Lock()
	e.whole[a.id] = true
	e.mu.Unlock()
	e.rec.logf("engine %s conn %d has sent all of %s and closes", e.id, a.conn, a.id)
	return false
}

// exit ends the engine as a sound server ends: it takes no new connections, ends what it
// runs, and is gone.
func (e *engine) exit() {
	e.rec.logf("engine %s takes no new connections", e.id)
	_ = e.listener.Close()
	for {
		e.mu.Lock()
		n := e.running
		e.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	e.rec.logf("engine %s has ended all requests and exits", e.id)
}

// sentWhole reports whether the engine has sent a whole stream.
func (e *engine) sentWhole(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.whole[id]
}

func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i) }

// sleepWhileOpen waits, and returns false if the peer closes the connection meanwhile.
func sleepWhileOpen(c net.Conn, reader *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if err == nil {
		time.Sleep(d)
		return true
	}
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// around returns a function that draws a time around a mean.
func around(mean time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration(float64(mean) * (0.5 + rand.Float64())) }
}

// entry is the engine's registration.
func (e *engine) entry(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold-remaining-ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": e.sequence,
	}
}

func (e *engine) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *engine) arrivedAt(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals[id] > 0
}
