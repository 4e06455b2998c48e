package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		cannotRun(err)
	}
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	check(err)
	return l
}

// record is the case's record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	lines []entry
}

// entry is one line of the record.
type entry struct {
	at   time.Duration
	what string
	of   map[string]string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{began: time.Now(), file: f}
}

func (r *record) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := entry{at: time.Since(r.began), what: what, of: map[string]string{}}
	text := fmt.Sprintf("%9.3f s  %s", e.at.Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		e.of[fmt.Sprint(pairs[i])] = fmt.Sprint(pairs[i+1])
		text += fmt.Sprintf("  %v=%v", pairs[i], pairs[i+1])
	}
	r.lines = append(r.lines, e)
	_, _ = fmt.Fprintln(r.file, text)
}

// all returns the entries of one kind.
func (r *record) all(what string) (found []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.lines {
		if e.what == what {
			found = append(found, e)
		}
	}
	return found
}

// of returns the entries of one kind about a request.
func (r *record) about(what, id string) (found []entry) {
	for _, e := range r.all(what) {
		if e.of["id"] == id {
			found = append(found, e)
		}
	}
	return found
}

// site is a small deployment: a store, engines and daemons.
type site struct {
	store   *store
	log     *record
	dir     string
	program string
	daemons []*daemon
}

// daemon is one process of the role that the deploy file names.
type daemon struct {
	site                                     *site
	name                                     string
	caller, peer, ready, directory, settings string
	cmd                                      *exec.Cmd
	ended                                    chan struct{}
}

func newSite(log *record) *site {
	dir, err := os.MkdirTemp("", "beechhead-case-")
	check(err)
	program, err := filepath.Abs("target/beechhead")
	check(err)
	return &site{store: newStore(), log: log, dir: dir, program: program}
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	l := listen(ip + ":0")
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// addDaemons writes the settings of n daemons as the template of the deploy file does.
func (s *site) addDaemons(n int, more map[string]any) {
	beacon := freePort("127.0.0.1")
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 21+i)
		at := func() string { return ip + ":" + strconv.Itoa(freePort(ip)) }
		d := &daemon{site: s, name: fmt.Sprintf("front-%d", i+1), caller: at(), peer: at(), ready: at(), directory: at()}
		d.settings = filepath.Join(s.dir, d.name+".json")
		s.daemons = append(s.daemons, d)
		seeds = append(seeds, d.peer)
	}
	for i, d := range s.daemons {
		ip := fmt.Sprintf("127.0.0.%d", 21+i)
		gateway := map[string]any{
			"readyAddress": d.ready, "directoryAddress": d.directory, "beaconPort": beacon,
			"addressLifetime": "2s", "revokeAfter": "5000ms", "grace": "8s",
			"retry":   map[string]any{"share": 0.2, "slack": 108, "window": "10s"},
			"machine": map[string]any{"processorShare": 0.272, "processorSpeed": 1, "linkMbps": 700.0, "memoryMb": 206},
		}
		for k, v := range more {
			gateway[k] = v
		}
		data, err := json.MarshalIndent(map[string]any{
			"host": d.name, "region": "r", "zone": "a",
			"callerAddress": d.caller, "peerAddress": d.peer, "operatorAddress": ip + ":" + strconv.Itoa(freePort(ip)),
			"peers": seeds, "platform": map[string]any{"url": s.store.url(), "timeout": "700ms"},
			"cellSize": 256, "descriptors": 2870, "gateway": gateway,
		}, "", "  ")
		check(err)
		check(os.WriteFile(d.settings, data, 0o600))
	}
}

func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.site.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	d.cmd = exec.Command(d.site.program, "serve")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BEECHHEAD_SETTINGS=" + d.settings, "GOMAXPROCS=1", "GOGC=50"}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(d.cmd.Start())
	ended := make(chan struct{})
	d.ended = ended
	go func() {
		err := d.cmd.Wait()
		d.site.log.add("process ends", "daemon", d.name, "error", err)
		close(ended)
	}()
	d.site.log.add("process starts", "daemon", d.name, "pid", d.cmd.Process.Pid)
}

func (d *daemon) signal(s syscall.Signal) {
	d.site.log.add("signal", "daemon", d.name, "signal", s)
	_ = d.cmd.Process.Signal(s)
}

// awaitReady waits until the readiness check of a daemon is answered with 200.
func (d *daemon) awaitReady() {
	c := http.Client{Timeout: time.Second}
	for range 150 {
		if resp, err := c.Get("http://" + d.ready + "/api/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.site.log.add("ready", "daemon", d.name)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun(fmt.Errorf("%s does not become ready", d.name))
}

// end kills all daemons and removes the folder.
func (s *site) end() {
	for _, d := range s.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			<-d.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// request is one attempt of a client.
type request struct {
	id, method, host, path, key string
	header                      map[string]string
	body                        []byte
	deadline                    time.Duration
}

// answer is what a client has got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole is set if the answer is complete in the protocol.
	whole bool
	err   error
	sent  time.Duration
	at    time.Duration
}

func (q *request) bytes() []byte {
	text := q.method + " " + q.path + " HTTP/1.1\r\nHost: " + q.host + "\r\nBeechhead-Request-Id: " + q.id + "\r\n"
	text += fmt.Sprintf("Beechhead-Deadline-Ms: %d\r\n", q.deadline.Milliseconds())
	if q.key != "" {
		text += "Api-Key: " + q.key + "\r\n"
	}
	for k, v := range q.header {
		text += k + ": " + v + "\r\n"
	}
	if q.method != "GET" {
		text += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	return append([]byte(text+"\r\n"), q.body...)
}

// send makes a request over a new connection.
func (s *site) send(d *daemon, q *request) answer {
	c, err := net.DialTimeout("tcp", d.caller, time.Second)
	if err != nil {
		s.log.add("no connection", "id", q.id, "daemon", d.name, "error", err)
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return s.sendOn(c, bufio.NewReader(c), d, q)
}

func (s *site) sendOn(c net.Conn, reader *bufio.Reader, d *daemon, q *request) (a answer) {
	if _, a.err = c.Write(q.bytes()); a.err != nil {
		s.log.add("not sent", "id", q.id, "daemon", d.name, "error", a.err)
		return a
	}
	s.log.add("sent", "id", q.id, "daemon", d.name, "path", q.path)
	a.sent = time.Since(s.log.began)
	_ = c.SetReadDeadline(time.Now().Add(q.deadline))
	resp, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, err = io.ReadAll(resp.Body)
		a.whole = err == nil
	}
	a.err, a.at = err, time.Since(s.log.began)
	s.log.add("answered", "id", q.id, "daemon", d.name, "status", a.status, "signature", a.header.Get("Beechhead-Response-Signature"),
		"retryAfter", a.header.Get("Retry-After"), "bytes", len(a.body), "whole", a.whole, "error", err)
	return a
}

// resolves reports whether the directory of one daemon names another one to clients.
func (s *site) resolves(asked, named *daemon) bool {
	resp, err := http.Get("http://" + asked.directory + "/api/resolve?name=site.example&region=r&zone=a")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl-s"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return false
	}
	s.log.add("resolved", "daemon", asked.name, "addresses", a.Addresses, "ttl", a.TTL)
	return slices.Contains(a.Addresses, named.caller)
}
