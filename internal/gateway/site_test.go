package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// Ports of the daemons. Each daemon has its own loopback address.
const (
	testCallerPort    = 17401
	testPeerPort      = 17402
	testMetricsPort   = 17403
	testReadyPort     = 17404
	testDirectoryPort = 17405
	testBeaconPort    = 17406
)

// testSite runs a fake store, fake engines and daemons on loopback.
type testSite struct {
	t       *testing.T
	store   *standin.Store
	engines map[string]*testEngine
	daemons []*testDaemon
	config  standin.Document
	// startCutOff makes daemons start without a path to the engines.
	startCutOff bool
	// startWait, if positive, is how long requests wait for the start of a daemon.
	startWait time.Duration
	// log, if set, receives the logs of the daemons.
	log *logBuffer
	// change, if set, changes the settings of each daemon and the document.
	change func(*settings.Settings, *standin.Document)
}

type testEngine struct {
	*standin.Engine
	server *httptest.Server
	// pool and address are those that the engine registers.
	pool, address string
	// version is the software version that the engine registers.
	version string
}

type testDaemon struct {
	ip   string
	g    *Gateway
	path *enginePath
	// peers is the path to the other daemons, store the server of the store for this one.
	peers  *peerPath
	store  *httptest.Server
	cancel context.CancelFunc
	done   chan struct{}
}

// newTestSite starts a store, two engines, two instances of a plain service,
// and n daemons.
func newTestSite(t *testing.T, n int) *testSite {
	t.Helper()
	return newTestSiteWith(t, n, nil)
}

// newTestSiteWith starts a site with changed settings and document.
func newTestSiteWith(t *testing.T, n int, change func(*settings.Settings, *standin.Document)) *testSite {
	t.Helper()
	return newLoggedTestSite(t, n, nil, change)
}

// newLoggedTestSite starts a site whose daemons log to a buffer.
func newLoggedTestSite(t *testing.T, n int, log *logBuffer, change func(*settings.Settings, *standin.Document)) *testSite {
	t.Helper()
	s := &testSite{t: t, store: standin.NewStore(), engines: map[string]*testEngine{}, config: standin.SampleDocument(), change: change, log: log}
	if change != nil {
		change(&settings.Settings{Gateway: &settings.Gateway{}}, &s.config)
	}
	s.putConfig()
	for _, id := range []string{"llm-1", "llm-2"} {
		s.addEngine(id, "llm")
	}
	for _, id := range []string{"app-1", "app-2"} {
		s.addEngine(id, "app")
	}
	for range n {
		s.addDaemon()
	}
	for _, d := range s.daemons {
		s.await("ready", func() bool { return d.g.acceptsCallers() && d.g.view.Ready().Len() >= n })
	}
	return s
}

func (s *testSite) putConfig() { s.store.Put(platform.TableOperator, platform.KeyConfig, s.config) }

func (s *testSite) addEngine(id, service string) {
	s.addEngineOf(id, service, standin.SampleVersion)
}

// addEngineOf adds an engine with a software version.
func (s *testSite) addEngineOf(id, service, version string) {
	s.registerEngine(s.newEngineOf(id, service, version))
}

// newEngineOf starts an engine that has not registered.
func (s *testSite) newEngineOf(id, service, version string) *testEngine {
	e := &testEngine{Engine: &standin.Engine{ID: id, Slots: 8, Events: 5, Delay: 5 * time.Millisecond}}
	e.server = httptest.NewServer(e.Engine)
	s.t.Cleanup(func() { e.server.CloseClientConnections(); e.server.Close() })
	e.Terminate = func() {
		_ = e.server.Listener.Close()
		go e.server.CloseClientConnections()
	}
	e.pool, e.address = service, strings.TrimPrefix(e.server.URL, "http://")
	e.version = version
	s.engines[id] = e
	return e
}

func (s *testSite) registerEngine(e *testEngine) {
	entry := standin.NewEntry(e.pool, e.address, false)
	entry["version"], entry["born"] = e.version, e.Born()
	s.store.Put(platform.TableEngines, e.ID, entry)
}

func (s *testSite) addDaemon() *testDaemon {
	d := s.startDaemon(len(s.daemons))
	s.daemons = append(s.daemons, d)
	return d
}

func (s *testSite) startDaemon(i int) *testDaemon {
	d := &testDaemon{ip: fmt.Sprintf("127.0.0.%d", 11+i), done: make(chan struct{})}
	store := httptest.NewServer(s.store.HandlerFor(d.ip))
	d.store = store
	s.t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	at := func(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }
	conf := &settings.Settings{
		Host: fmt.Sprintf("host-%d", i), Region: "r", Zone: "z",
		CallerAddress: at(testCallerPort), PeerAddress: at(testPeerPort), OperatorAddress: at(testMetricsPort),
		Peers:    []string{fmt.Sprintf("127.0.0.11:%d", testPeerPort)},
		Platform: settings.Platform{URL: store.URL, Timeout: table.Duration(700 * time.Millisecond)},
		Gateway: &settings.Gateway{
			ReadyAddress: at(testReadyPort), DirectoryAddress: at(testDirectoryPort), BeaconPort: testBeaconPort,
			AddressLifetime: table.Duration(2 * time.Second), RevokeAfter: table.Duration(5 * time.Second),
			Grace: table.Duration(8 * time.Second),
			Retry: settings.Retry{Share: 0.2, Slack: 100, Window: table.Duration(10 * time.Second)},
		},
	}
	if s.change != nil {
		s.change(conf, &standin.Document{Services: []map[string]any{{}}})
	}
	d.g = New(conf, slog.New(slog.NewJSONHandler(s.logWriter(), nil)))
	d.path = &enginePath{dial: d.g.dialEndpoint}
	d.g.dialEndpoint = d.path.Dial
	d.peers = newPeerPath(d.g)
	if s.startWait > 0 {
		d.g.startWait = s.startWait
	}
	if s.startCutOff {
		d.path.Break(pathHangs)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		if err := d.g.Run(ctx); err != nil {
			s.t.Errorf("daemon: %v", err)
		}
	}()
	s.t.Cleanup(func() { cancel(); <-d.done })
	return d
}

// logBuffer keeps the lines of logs. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds a line.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines with a message.
func (b *logBuffer) lines(message string) (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, `"msg":"`+message+`"`) {
			lines = append(lines, line)
		}
	}
	return lines
}

func (s *testSite) logWriter() io.Writer {
	if s.log == nil {
		return io.Discard
	}
	return s.log
}

// await waits until a condition holds. The timeout is generous; it only ends
// failing tests.
func (s *testSite) await(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

var (
	requestMu sync.Mutex
	requestN  int
)

// nextID returns a new request id.
func nextID() string {
	requestMu.Lock()
	defer requestMu.Unlock()
	requestN++
	return fmt.Sprintf("id-%d", requestN)
}

// response is the response that a caller received.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request on a new connection.
func (s *testSite) call(d *testDaemon, method, target string, header map[string]string, body string) response {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+d.ip+":"+fmt.Sprint(testCallerPort)+target, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	a := response{id: nextID()}
	req.Host = standin.SampleHost
	req.Close = true
	req.Header.Set(platform.HeaderRequestID, a.id)
	req.Header.Set(platform.HeaderAPIKey, standin.SampleKey)
	req.Header.Set(platform.HeaderDeadline, "10000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(data), err
	return a
}

// chat sends a stream request.
func (s *testSite) chat(d *testDaemon, route string) response {
	return s.call(d, http.MethodPost, "/"+route+"/x", map[string]string{
		platform.HeaderTokens: "1200,30", platform.HeaderParts: "aa:800,bb:300,cc:100",
	}, "prompt")
}

// lookFor has callers send requests that are safe, one after the other, to all
// daemons for some time, and returns how many were sent and served.
func (s *testSite) lookFor(d time.Duration, callers int, pause time.Duration) (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
				a := s.call(s.daemons[i%len(s.daemons)], http.MethodGet, "/look/x", nil, "")
				mu.Lock()
				sent++
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent, served
}

// chatAndLook sends a stream request and a safe one to each daemon, some times, all
// of which must be served.
func (s *testSite) chatAndLook(times int) {
	s.t.Helper()
	for n := range times {
		for i, d := range s.daemons {
			if a := s.chatAlone(d, n*len(s.daemons)+i); a.err != nil || a.status != http.StatusOK {
				s.t.Errorf("stream %d: status %d, %v", n, a.status, a.err)
			}
			if a := s.call(d, http.MethodGet, "/look/x", nil, ""); a.status != http.StatusOK {
				s.t.Errorf("call %d: status %d, %v", n, a.status, a.err)
			}
		}
	}
}

// raw writes bytes to a daemon and returns everything that it sends back.
func (s *testSite) raw(d *testDaemon, stream string) string {
	s.t.Helper()
	c, err := net.Dial("tcp", net.JoinHostPort(d.ip, strconv.Itoa(testCallerPort)))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, stream)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	data, _ := io.ReadAll(bufio.NewReader(c))
	return string(data)
}

// runs returns the executions of a request on all engines.
func (s *testSite) runs(id string) []standin.Run {
	var all []standin.Run
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			if r.ID == id {
				all = append(all, r)
			}
		}
	}
	return all
}

// setFaults sets the injected faults of all endpoints.
func (s *testSite) setFaults(f standin.EngineFaults) {
	for _, e := range s.engines {
		e.SetFaults(f)
	}
}

func fullStream(id string, n int) string {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s event %d\n\n", i, id, i)
	}
	return b.String()
}

// resolve requests the addresses to connect to from a daemon.
func (s *testSite) resolve(d *testDaemon) []string {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s?name=h.example&region=r&zone=z", d.ip, testDirectoryPort, platform.PathResolve))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var a platform.ResolveResponse
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return nil
	}
	return a.Addresses
}
