package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime = 8 * time.Second
	lostTime  = 200 * time.Millisecond
)

func streamRoute(service string, more map[string]any) map[string]any {
	route := map[string]any{
		"name": "r-stream", "host": "site.example", "prefix": "/stream/", "type": "streaming", "timeout-ms": 15000,
		"target-latency-ms": 2000, "priority": 2, "service": service, "attempts": 1, "public": false,
		"session-affinity": true, "resumable": false, "gap-aim-ms": 800,
	}
	for k, v := range more {
		route[k] = v
	}
	return route
}

func configOf(version int, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "llm", "health-path": "/healthz", "max-connections": 720, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 4, "kv-cache-tokens": 611372, "kv-token-bytes": 35136, "link-mbps": 550000.0, "moves": true, "backups": true,
				"stride": 6, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "app", "health-path": "/healthz", "max-connections": 200, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-a", "api-keys": []string{"key-a"}, "priority": 1}},
	}
}

func streamRequest(id string, part, events int) *request {
	return &request{
		id: id, method: "POST", host: "site.example", path: "/stream/2f", key: "key-a", deadline: 15 * time.Second,
		header: map[string]string{
			"Beechhead-Model": "m", "Beechhead-Token-Usage": fmt.Sprintf("1460,%d", events*eventTokens),
			"Beechhead-Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%x:660", 0x91bd3f06+part),
		},
		body: make([]byte, 1200),
	}
}

// queueAtStop has requests wait for a place at busy engines when their daemon is stopped.
func queueAtStop(log *record, trouble bool) (broken []string) {
	s := newSite(log)
	defer s.end()
	s.addDaemons(2, nil)
	s.store.put("op", "config", configOf(7, []map[string]any{streamRoute("llm", nil)}))
	var engines []*engine
	for i := range 2 {
		e := &engine{store: s.store, log: log, id: fmt.Sprintf("i-%d", i+1), service: "llm", version: "v1", zone: "a", slots: 4, pause: 100 * time.Millisecond}
		e.start("127.0.0.1:0")
		engines = append(engines, e)
	}
	for _, d := range s.daemons {
		d.start()
	}
	for _, d := range s.daemons {
		d.awaitReady()
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	ask := func(d *daemon, id string, part, events int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.send(d, streamRequest(id, part, events))
		}()
	}
	stopped, other := s.daemons[0], s.daemons[1]
	for i := range 8 {
		ask(other, fmt.Sprintf("before-%d", i), i, 92)
	}
	time.Sleep(time.Second)
	if !s.resolves(other, stopped) {
		cannotRun(fmt.Errorf("%s is not named to clients", stopped.name))
	}
	began := time.Since(log.began)
	if trouble {
		stopped.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() {
			select {
			case <-stopped.ended:
			default:
				stopped.signal(syscall.SIGKILL)
			}
		})
	}
	var waiting []string
	for i := range 3 {
		time.Sleep(500 * time.Millisecond)
		id := fmt.Sprintf("waiting-%d", i)
		waiting = append(waiting, id)
		ask(stopped, id, 100+i, 20)
	}
	wg.Wait()
	for _, id := range waiting {
		sent := log.about("sent", id)
		answered := log.about("answered", id)
		if len(sent) == 0 || len(answered) == 0 {
			continue
		}
		a := answered[0]
		whole, passed := a.of["whole"] == "true", len(log.about("arrives", id)) > 0
		if trouble && !whole && !passed && a.at-sent[0].at > lostTime && a.at-began < graceTime+time.Second {
			broken = append(broken, fmt.Sprintf("LOST: %s was read by %s and its connection ended after %.1f s without an answer; no engine got it", id, stopped.name, (a.at-sent[0].at).Seconds()))
		}
		if !trouble && !whole {
			broken = append(broken, "LOST: "+id+" has no whole answer")
		}
	}
	for _, e := range engines {
		e.kill()
	}
	return broken
}
