package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// engineConduct holds the shares of requests with which a faulty engine does something, and
// other ways in which it differs from a sound one.
type engineConduct struct {
	// refuse is the share of requests that are refused; early that of long ones that are
	// refused, or answered, before their bodies were read.
	refuse, early float64
	// unnamed makes refusals name no request.
	unnamed bool
	// repeat is the share of responses that are sent a second time later.
	repeat float64
	// lose is the share of requests that are run and whose connections end, in order or by
	// a reset, without a response; cut that of responses whose heads are cut.
	lose, cut float64
	// drop is the share of connections that are reset when they are accepted, or when
	// their first request has been read.
	drop float64
	// stand is for how long the engine stands still at a time, a third of all time; zero
	// means never.
	stand time.Duration
	// slots bounds the requests that run at once; the others wait, up to their deadlines.
	slots int
	// restart is the time after which another process takes the place of the engine, under
	// one of two ids in turn; zero means never. Its entry is removed as long after.
	restart time.Duration
}

// engineRuns counts the runs of requests by id. It is safe for concurrent use.
type engineRuns struct {
	mu   sync.Mutex
	runs map[string]int
	// received holds the connections on which a request was received, by id; again counts
	// the requests that were received twice on one.
	received map[string][]net.Conn
	again    int
	// opened and refused count connections and refusals.
	opened, refused int
}

func (e *engineRuns) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
}

func newEngineRuns() *engineRuns {
	return &engineRuns{runs: map[string]int{}, received: map[string][]net.Conn{}}
}

// receive records that a request was received on a connection.
func (e *engineRuns) receive(id string, c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.received[id], c) {
		e.again++
	}
	e.received[id] = append(e.received[id], c)
}

func (e *engineRuns) count(n *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n++
}

func (e *engineRuns) of(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// faultyEngine is an engine over plain sockets. Its processes follow each other at one
// address.
type faultyEngine struct {
	engineConduct
	*engineRuns
	site    *testSite
	address string

	mu      sync.Mutex
	process *engineProcess
	starts  int
	// goesOn is locked while the engine stands still.
	goesOn sync.RWMutex
	done   chan struct{}
}

// engineProcess is one process of a faultyEngine.
type engineProcess struct {
	engine   *faultyEngine
	id       string
	born     int64
	listener net.Listener
	slots    chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// startFaultyEngine starts an engine of the service extra and registers it.
func (s *testSite) startFaultyEngine(name string, conduct engineConduct, runs *engineRuns) {
	e := &faultyEngine{engineConduct: conduct, engineRuns: runs, site: s, address: "127.0.0.1:0", done: make(chan struct{})}
	e.start(name)
	if e.stand > 0 {
		go e.every(2*e.stand, func() {
			e.goesOn.Lock()
			time.Sleep(e.stand)
			e.goesOn.Unlock()
		})
	}
	if e.restart > 0 {
		go e.every(e.restart, func() { e.replace(name) })
	}
	s.t.Cleanup(func() { close(e.done); e.current().end() })
}

func (e *faultyEngine) every(d time.Duration, do func()) {
	for {
		select {
		case <-e.done:
			return
		case <-time.After(d):
			do()
		}
	}
}

func (e *faultyEngine) current() *engineProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// start starts a process and registers it.
func (e *faultyEngine) start(id string) {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		e.site.t.Error(err)
		return
	}
	p := &engineProcess{engine: e, id: id, born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]bool{}, slots: make(chan struct{}, max(e.slots, 1))}
	e.mu.Lock()
	e.process, e.address = p, l.Addr().String()
	e.mu.Unlock()
	entry := standin.NewEntry("extra", e.address, false)
	entry["born"] = p.born
	e.site.store.Put(platform.TableEngines, id, entry)
	go p.accept()
}

// replace ends the process and starts another one at its address.
func (e *faultyEngine) replace(name string) {
	old := e.current()
	old.end()
	e.starts++
	id := name
	if e.starts%2 == 1 {
		id = fmt.Sprintf("%s-%d", name, e.starts)
	}
	if id != old.id {
		// Nobody takes the entry of a crashed engine off the list at once.
		time.AfterFunc(e.restart, func() {
			if e.current().id != old.id {
				e.site.store.Remove(platform.TableEngines, old.id)
			}
		})
	}
	e.start(id)
}

// standStill waits while the engine stands still.
func (e *faultyEngine) standStill() {
	e.goesOn.RLock()
	defer e.goesOn.RUnlock()
}

func (p *engineProcess) end() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *engineProcess) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.engine.standStill()
		p.engine.count(&p.engine.opened)
		p.mu.Lock()
		p.conns[c] = true
		ended := p.ended
		p.mu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
		go p.serveConn(c)
	}
}

func (p *engineProcess) serveConn(c net.Conn) {
	e := p.engine
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	dropped := rand.Float64() < e.drop
	if dropped && rand.IntN(2) == 0 {
		resetTCP(c)
		return
	}
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		e.standStill()
		if dropped {
			resetTCP(c)
			return
		}
		if !p.serve(c, req) {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// longBody is the size in bytes from which a body may be answered before it was read.
const longBody = 8 << 10

// serve serves a request and reports whether the connection goes on.
func (p *engineProcess) serve(c net.Conn, req *http.Request) bool {
	e, id := p.engine, req.Header.Get(platform.HeaderRequestID)
	if req.URL.Path == platform.PathReport {
		body := fmt.Sprintf(`{"born":%d}`, p.born)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	received := time.Now()
	if req.Method == http.MethodPost {
		e.receive(id, c)
	}
	if req.ContentLength < longBody || rand.Float64() >= e.early {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
	}
	if expected := req.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != p.id {
		return p.respond(c, e.refusal(id, http.StatusMisdirectedRequest))
	}
	if rand.Float64() < e.refuse {
		e.count(&e.refused)
		return p.respond(c, e.refusal(id, []int{503, 503, 429}[rand.IntN(3)]))
	}
	left, _ := strconv.Atoi(req.Header.Get(platform.HeaderDeadline))
	if !p.takeSlot(time.Until(received.Add(time.Duration(left) * time.Millisecond))) {
		e.count(&e.refused)
		return p.respond(c, e.refusal(id, http.StatusServiceUnavailable))
	}
	defer p.returnSlot()
	if p.hasEnded() {
		return false
	}
	e.add(id)
	time.Sleep(extraWork)
	e.standStill()
	if rand.Float64() < e.lose {
		if rand.IntN(2) == 0 {
			resetTCP(c)
		}
		return false
	}
	return p.respond(c, runResponse(id, req.Header.Get(platform.HeaderParts) != ""))
}

func (p *engineProcess) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// takeSlot waits for a slot; false if there is none in time.
func (p *engineProcess) takeSlot(wait time.Duration) bool {
	if p.engine.slots == 0 {
		return true
	}
	select {
	case p.slots <- struct{}{}:
		return true
	case <-time.After(wait):
		return false
	}
}

func (p *engineProcess) returnSlot() {
	if p.engine.slots > 0 {
		<-p.slots
	}
}

// runResponse returns the response to a request that was run.
func runResponse(id string, stream bool) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", platform.HeaderRequestID, id, platform.HeaderSignature)
	if !stream {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(id), id)
	}
	event := "id: 1\ndata: " + id + "\n\n"
	return fmt.Sprintf("%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(event), event)
}

func (e *faultyEngine) refusal(id string, status int) string {
	named := platform.HeaderRequestID + ": " + id + "\r\n"
	if e.unnamed {
		named = ""
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, named, platform.HeaderNotExecuted)
}

// respond sends a response, and reports whether the connection goes on.
func (p *engineProcess) respond(c net.Conn, response string) bool {
	e := p.engine
	if rand.Float64() < e.cut {
		_, _ = io.WriteString(c, response[:rand.IntN(len(response))])
		return false
	}
	if _, err := io.WriteString(c, response); err != nil {
		return false
	}
	if rand.Float64() < e.repeat {
		delay := time.Duration(rand.IntN(40)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = io.WriteString(c, response) })
	}
	return true
}

func resetTCP(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a play whose engines do nothing that differs from sound ones.
func TestFaultyEnginesRefuse(t *testing.T) {
	s := newTestSiteWith(t, 1, addExtraService)
	runs := newEngineRuns()
	s.startFaultyEngine("refuses", engineConduct{refuse: 1}, runs)
	s.await("refused", func() bool {
		s.callKept(&http.Transport{}, s.daemons[0], nextID(), true)
		runs.mu.Lock()
		defer runs.mu.Unlock()
		return runs.refused > 0 && len(runs.runs) == 0
	})
}
