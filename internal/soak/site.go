package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// Ports of a run. Each run has a loopback network of its own, by its number,
// and each daemon an address in it.
const (
	portCallers = 18501 + iota
	portPeers
	portFigures
	portReady
	portDirectory
	portBeacons
	portStore
	portRelays
	portEngines    = 18600
	portEngineWay  = 18700
	portPaths      = 18750
	portStoreWay   = 18800
	firstDaemon    = 11
	standinAddress = 2
)

// Bounds that the daemons are given, and that the checks hold them to.
const (
	revokeAfter = 5 * time.Second
	grace       = 8 * time.Second
	retryShare  = 0.2
	retrySlack  = 40
	retryWindow = 10 * time.Second

	// The duties that the platform wants, and how many calls it accepts for them.
	dutyLease   = 3 * time.Second
	usageWindow = 2 * time.Second
	usageDue    = 10 * time.Second
	dutyCalls   = 20
)

// site is the processes of a run.
type site struct {
	o       *Options
	procs   *processes
	network int
	client  *http.Client

	// pauseLocks are held while engines are paused, and for reading while they are
	// asked or ordered something.
	pauseLocks []sync.RWMutex
	// engineProcesses holds the processes of the engines by number; they stay.
	engineProcesses []*process

	mu sync.Mutex
	// engines holds the ids of the starts by number; an engine that has ended starts
	// again under a new id, at the same number. With Options.SameIDs it registers under
	// that of its first start.
	engines []string
	// born holds when the engines have started, as they report it.
	born []int64
	// ended holds the ids that are registered no more.
	ended []string
	// versions holds the software versions by number, nextVersions those with which
	// the engines come back once they have ended.
	versions, nextVersions []int
	daemons                []*process
	config                 standin.Document
	// extra is the route that the newest edit added, keys the keys in force
	// beside the first.
	extra string
	key   string
}

func (s *site) address(host, port int) string {
	return hostAddress(s.network, host, port)
}

func (s *site) binary(name string) string { return filepath.Join(s.o.Bin, name) }

// start starts everything and waits until all daemons are ready.
func (s *site) start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "start site")
		}
	}()
	if _, err := s.procs.start("store", s.binary("beechhead-standin"), "gateway-store", "--listen", s.address(standinAddress, portStore)); err != nil {
		return err
	}
	args := []string{"relays", "--listen", s.address(standinAddress, portRelays)}
	for i := range s.o.Engines {
		id := firstID(i)
		s.engines, s.born = append(s.engines, id), append(s.born, 0)
		s.versions, s.nextVersions = append(s.versions, 1), append(s.nextVersions, 1)
		address := s.address(standinAddress, portEngines+i)
		p, err := s.procs.start(id, s.binary("beechhead-standin"), "gateway-engine", "--listen", address, "--id", id,
			"--end", s.relayURL(fmt.Sprintf("engine%d", i), "end"))
		if err != nil {
			return err
		}
		s.engineProcesses = append(s.engineProcesses, p)
		args = append(args, "--relay", fmt.Sprintf("engine%d=%s=%s", i, s.address(standinAddress, portEngineWay+i), address))
	}
	for i := range s.o.Daemons {
		args = append(args, "--relay", fmt.Sprintf("store%d=%s=%s", i, s.address(standinAddress, portStoreWay+i), s.address(standinAddress, portStore)))
	}
	for i := range s.o.Daemons {
		args = append(args, "--proxy", fmt.Sprintf("path%d=%s", i, s.path(i)))
	}
	if _, err := s.procs.start("relays", s.binary("beechhead-standin"), args...); err != nil {
		return err
	}
	if err := s.await(ctx, func() bool { return s.post(s.relayURL("store0", "reset"), nil) == nil && s.register() == nil }); err != nil {
		return err
	}
	if err := s.putConfig(); err != nil {
		return err
	}
	for i := range s.o.Daemons {
		s.daemons = append(s.daemons, nil)
		if err := s.startDaemon(i); err != nil {
			return err
		}
	}
	return s.await(ctx, s.allReady)
}

// register lists all engines in the store.
func (s *site) register() error {
	for i := range s.engines {
		if s.bornOf(i) == 0 {
			if err := s.readBorn(i); err != nil {
				return err
			}
		}
		if err := s.putEngine(i, false); err != nil {
			return err
		}
	}
	return nil
}

// readBorn asks an engine when it has started.
func (s *site) readBorn(engine int) error {
	var report struct {
		Born int64 `json:"born"`
	}
	if err := s.getEngine(engine, platform.PathReport, &report); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born[engine] = report.Born
	return nil
}

func (s *site) bornOf(engine int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born[engine]
}

// pool returns the pool of an engine: one half of them runs streams.
func (s *site) pool(engine int) string {
	if engine%2 == 0 {
		return "llm"
	}
	return "app"
}

func (s *site) putEngine(i int, draining bool) error {
	entry := standin.NewEntry(s.pool(i), s.address(standinAddress, portEngineWay+i), draining)
	if s.o.Plant != plantHideVersions {
		entry["version"] = s.version(i)
	}
	if !s.o.SameIDs {
		return s.operate(platform.TableEngines, s.engine(i), entry)
	}
	entry["born"] = s.bornOf(i)
	return s.operate(platform.TableEngines, firstID(i), entry)
}

// firstID returns the id of the first start of an engine.
func firstID(engine int) string { return fmt.Sprintf("engine-%d", engine) }

// engine returns the id of an engine.
func (s *site) engine(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[i]
}

// putConfig writes the operators' document and returns when it is accepted.
func (s *site) putConfig() error {
	return s.operate(platform.TableOperator, platform.KeyConfig, s.config)
}

func (s *site) operate(tableName, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.edit(standin.Edit{Table: tableName, Key: key, Value: data})
}

func (s *site) edit(e standin.Edit) error {
	return s.post("http://"+s.address(standinAddress, portStore)+"/operator", e)
}

// path returns the address of the proxy through which a daemon reaches the engines if
// the run has daemons that lose their path.
func (s *site) path(daemon int) string { return s.address(standinAddress, portPaths+daemon) }

func zoneOf(daemon int) string { return fmt.Sprintf("z%d", daemon%2) }

// startDaemon starts a daemon, for the first time or again.
func (s *site) startDaemon(i int) error {
	name := fmt.Sprintf("host-%d", i)
	host := firstDaemon + i
	platformURL := "http://" + s.address(standinAddress, portStoreWay+i)
	endpointProxy := ""
	if slices.ContainsFunc(s.o.plan(), func(f Fault) bool { return f.Kind == KindPathLost }) {
		endpointProxy = s.path(i)
	}
	machine := &settings.Machine{ProcessorShare: 1, ProcessorSpeed: 1, LinkMbps: 1000, MemoryMB: daemonMemoryMB}
	if s.o.Plant == plantHideMemory {
		machine.MemoryMB = 0
	}
	data, err := json.MarshalIndent(&settings.Settings{
		Host: name, Region: "r", Zone: zoneOf(i),
		CallerAddress: s.address(host, portCallers), PeerAddress: s.address(host, portPeers), OperatorAddress: s.address(host, portFigures),
		Peers:    []string{s.address(firstDaemon, portPeers), s.address(firstDaemon+1, portPeers)},
		Platform: settings.Platform{URL: platformURL, Timeout: table.Duration(700 * time.Millisecond)},
		Gateway: &settings.Gateway{
			ReadyAddress: s.address(host, portReady), DirectoryAddress: s.address(host, portDirectory), BeaconPort: portBeacons,
			EndpointProxy:   endpointProxy,
			Machine:         machine,
			AddressLifetime: table.Duration(2 * time.Second), RevokeAfter: table.Duration(revokeAfter), Grace: table.Duration(grace),
			Retry: settings.Retry{Share: retryShare, Slack: retrySlack, Window: table.Duration(retryWindow)},
			Duties: &settings.Duties{
				URL: platformURL, Names: []string{platform.DutyUsage}, CallsPerSecond: dutyCalls, ChecksFence: true,
				LeaseDuration: table.Duration(dutyLease), UsageWindow: table.Duration(usageWindow), UsageDue: table.Duration(usageDue),
			},
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(s.procs.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	p, err := s.procs.start(name, s.binary("beechhead"), "serve", "--settings", file)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.daemons[i] = p
	s.mu.Unlock()
	return nil
}

func (s *site) daemon(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[i]
}

func (s *site) allReady() bool {
	for i := range s.o.Daemons {
		resp, err := s.client.Get("http://" + s.address(firstDaemon+i, portReady) + platform.PathReady)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	addresses, err := standin.Resolve(context.Background(), s.client, s.address(firstDaemon, portDirectory), "none")
	return err == nil && len(addresses) >= min(s.o.Daemons, fullAnswer)
}

// fullAnswer is how many addresses a daemon tells a caller that knows enough
// others.
const fullAnswer = 8

// startTimeout bounds a start on a busy machine.
const startTimeout = 30 * time.Second

func (s *site) await(ctx context.Context, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "not ready")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (s *site) relayURL(name, action string) string {
	return "http://" + s.address(standinAddress, portRelays) + "/" + name + "/" + action
}

func (s *site) storeURL() string { return "http://" + s.address(standinAddress, portStore) + "/faults" }

func (s *site) engineURL(i int, path string) string {
	return "http://" + s.address(standinAddress, portEngines+i) + path
}

func (s *site) post(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := s.client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("%s: status %d %s", url, resp.StatusCode, text)
	}
	return nil
}

// runs returns what an engine has run.
func (s *site) runs(i int) (runs []standin.Run, err error) {
	err = s.getEngine(i, "/runs", &runs)
	return runs, err
}

// postEngine orders an engine something, once it is not paused.
func (s *site) postEngine(i int, path string, body any) error {
	s.pauseLocks[i].RLock()
	defer s.pauseLocks[i].RUnlock()
	return s.post(s.engineURL(i, path), body)
}

// getEngine asks an engine for JSON, once it is not paused.
func (s *site) getEngine(i int, path string, out any) error {
	s.pauseLocks[i].RLock()
	defer s.pauseLocks[i].RUnlock()
	return s.get(s.engineURL(i, path), out)
}

// get reads JSON.
func (s *site) get(url string, out any) error {
	resp, err := s.client.Get(url)
	if err != nil {
		return errors.Wrap(err, "read "+url)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(err, "decode "+url)
	}
	return nil
}
