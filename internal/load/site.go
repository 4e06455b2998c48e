package load

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/load/experiment"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	// settleTime lets the daemons hear of each other after all are ready.
	settleTime = 1500 * time.Millisecond
)

// site is the stand-in site of one run.
type site struct {
	*standin.Site
	stop func()
}

// startSite starts a site for an experiment and waits until it is ready.
func startSite(e *experiment.Experiment, policy settings.Policy, logger *slog.Logger) (s *site, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "start site")
		}
	}()
	return runSite(standin.SiteConfig{
		Daemons: e.Site.Daemons,
		Zones:   e.Site.Zones,
		Speeds:  speeds(e.Site.Engines),
		Policy:  policy,
		Table:   func(t *table.Table) { fillTable(t, e) },
	}, logger)
}

func runSite(cfg standin.SiteConfig, logger *slog.Logger) (*site, error) {
	inner, stop, err := standin.StartSite(cfg, logger)
	if err != nil {
		return nil, err
	}
	if err := inner.WaitReady(); err != nil {
		stop()
		return nil, err
	}
	time.Sleep(settleTime)
	return &site{Site: inner, stop: stop}, nil
}

func speeds(engines []experiment.Engines) []standin.EngineSpeed {
	var all []standin.EngineSpeed
	for _, e := range engines {
		for range e.Count {
			all = append(all, standin.EngineSpeed{
				Concurrency: e.Concurrency,
				PromptToken: e.PromptToken.Std(),
				Token:       e.Token.Std(),
				Crowding:    e.Crowding,
				Prefixes:    e.Prefixes,
				LoadLag:     e.LoadLag.Std(),
			})
		}
	}
	return all
}

// accountKey returns the API key of an account in experiments.
func accountKey(name table.AccountName) string { return string(name) + "-key" }

// fillTable puts the experiment's classes and accounts into the table.
func fillTable(t *table.Table, e *experiment.Experiment) {
	t.Classes, t.Accounts = nil, nil
	index := map[table.AccountName]int{}
	for i := range e.Loads {
		l := &e.Loads[i]
		t.Classes = append(t.Classes, l.Class)
		for _, share := range l.Accounts {
			at, known := index[share.Account]
			if !known {
				at = len(t.Accounts)
				index[share.Account] = at
				t.Accounts = append(t.Accounts, table.Account{
					Name:      share.Account,
					KeyHashes: []string{standin.KeyHash(accountKey(share.Account))},
				})
			}
			t.Accounts[at].Classes = append(t.Accounts[at].Classes, l.Class.Name)
		}
	}
}

func (s *site) callerAddresses() []string {
	var addresses []string
	for _, cfg := range s.Settings {
		addresses = append(addresses, cfg.CallerAddress)
	}
	return addresses
}

// engineTotals sums the engines' counts.
func (s *site) engineTotals() (total standin.EngineStats) {
	for _, e := range s.Engines {
		stats := e.Stats()
		total.Requests += stats.Requests
		total.Tokens += stats.Tokens
		total.Cancelled += stats.Cancelled
		total.PrefixHits += stats.PrefixHits
	}
	return total
}

// counters sums the counters of the daemons that run. A daemon that was
// replaced has lost its own.
func (s *site) counters() map[string]int64 {
	total := map[string]int64{}
	for _, cfg := range s.Settings {
		counts, err := readCounters(cfg.OperatorAddress)
		if err != nil {
			continue
		}
		for name, n := range counts {
			total[name] += n
		}
	}
	return total
}

// readCounters reads a daemon's counters and gauges.
func readCounters(operatorAddress string) (counts map[string]int64, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+operatorAddress+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+standin.DemoOperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var figures map[string]struct {
		Count int64 `json:"count"`
		Value int64 `json:"value"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&figures); err != nil {
		return nil, errors.Wrap(err, "decode metrics")
	}
	counts = map[string]int64{}
	for name, f := range figures {
		counts[name] = f.Count + f.Value
	}
	return counts, nil
}
