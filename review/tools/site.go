package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which engines write their entries.
const heartbeat = 1200 * time.Millisecond

// site is a small deployment on loopback addresses.
type site struct {
	root, dir string
	rec       *recorder
	network   string
	storeIP   string
	store     *store
	daemons   []*daemon
	engines   []*engine
	config    map[string]any
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

const (
	hostName = "h1.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
)

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMs, targetMs, priority, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": "/" + name + "/", "type": kind, "timeout-ms": timeoutMs,
		"target-latency-ms": targetMs, "priority": priority, "service": service, "attempts": attempts, "public": false,
		"session-affinity": kind == "streaming", "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// newSite starts a store, engines and daemons. set may change the engines before they
// start.
func newSite(root string, rec *recorder, daemons, models, apps int, set func(*site)) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{root: root, dir: dir, rec: rec, store: newStore()}
	s.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	s.storeIP = s.network + ".2"
	l, err := listen(s.storeIP, portStore)
	if err != nil {
		return nil, err
	}
	go s.store.serve(l)
	s.config = map[string]any{
		"version": 7,
		"routes": []any{
			route("chat", "streaming", "llm", 12000, 300, 0, 2, map[string]any{"resumable": true, "gap-aim-ms": 200}),
			route("draft", "streaming", "llm", 15000, 2000, 2, 1, map[string]any{"gap-aim-ms": 800}),
			route("pay", "unsafe", "app", 800, 300, 2, 1, nil),
			route("look", "safe", "app", 800, 300, 2, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "llm", "health-path": "/healthz", "max-connections": 720, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv-cache-tokens": 611372, "kv-token-bytes": 35136, "link-mbps": 550000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 200, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []any{apiKey}, "priority": 1}},
	}
	zones := []string{"r1-a", "r1-b"}
	for i := range models {
		s.engines = append(s.engines, &engine{id: fmt.Sprintf("i-m%d", i), service: "llm", zone: zones[i%2], slots: 64, queue: 134,
			work: around(80 * time.Millisecond), events: 20, gap: 20 * time.Millisecond})
	}
	for i := range apps {
		s.engines = append(s.engines, &engine{id: fmt.Sprintf("i-a%d", i), service: "app", zone: zones[i%2], slots: 6, queue: 24,
			work: around(60 * time.Millisecond)})
	}
	for i, e := range s.engines {
		e.rec, e.released = rec, make(chan struct{})
		e.address = fmt.Sprintf("%s.%d:%d", s.network, 100+i, portWork)
	}
	set(s)
	for i, e := range s.engines {
		l, err := listen(fmt.Sprintf("%s.%d", s.network, 100+i), portWork)
		if err != nil {
			return nil, err
		}
		go e.serve(l)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.store.put("op", "config", s.config)
	for _, e := range s.engines {
		s.wg.Add(1)
		go s.beat(ctx, e)
	}
	var seeds []string
	for i := range min(daemons, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", s.network, 11+i, portPeers)))
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("front-%d", i), zone: zones[i%2], ip: fmt.Sprintf("%s.%d", s.network, 11+i), site: s}
		d.settings = fmt.Sprintf("%s/%s.json", dir, d.name)
		s.daemons = append(s.daemons, d)
		if err := d.writeSettings(strings.Join(seeds, ",")); err != nil {
			return s, err
		}
		if err := d.start(); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(10 * time.Second)
}

// beat keeps an engine registered until it is released.
func (s *site) beat(ctx context.Context, e *engine) {
	defer s.wg.Done()
	for {
		s.store.put("servers", e.id, e.entry("ready"))
		select {
		case <-e.released:
			return
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// release has an engine leave: it reports draining, goes on for drain-ms and a little
// longer, and exits.
func (s *site) release(e *engine, serves time.Duration) {
	close(e.released)
	s.store.put("servers", e.id, e.entry("draining"))
	s.rec.logf("engine %s has reported draining", e.id)
	time.Sleep(serves)
	e.exit()
	s.store.remove("servers", e.id)
}

func (s *site) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, d := range s.daemons {
			if isReady(d) {
				ready++
			}
		}
		if ready == len(s.daemons) {
			time.Sleep(time.Second)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the daemons are not ready in time")
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func isReady(d *daemon) bool {
	resp, err := probe.Get("http://" + d.ready() + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all that was started.
func (s *site) close(keep bool) {
	for _, d := range s.daemons {
		d.stop()
	}
	if s.cancel != nil {
		s.cancel()
	}
	s.wg.Wait()
	if !keep {
		_ = os.RemoveAll(s.dir)
	}
}

// byID returns an engine.
func (s *site) byID(id string) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
