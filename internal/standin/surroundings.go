package standin

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// MeasuredClass is a class of the site command's table whose targets are so
// long that no deadline ends a measurement.
const MeasuredClass table.ClassName = "measured"

const measuredTarget = table.Duration(10 * time.Minute)

// operatorKeyVariable is where daemons of a written site find the key.
const operatorKeyVariable = "BEECHHEAD_OPERATOR_KEY"

// siteCommand runs all of a site but its daemons, which are to run as
// processes of their own.
type siteCommand struct {
	Directory   string        `long:"directory" required:"true" description:"Where to write the daemons' settings (host-N.json) and site.json, which lists the addresses"`
	Daemons     int           `long:"daemons" default:"3" description:"Daemons to write settings for"`
	Engines     int           `long:"engines" default:"4" description:"Engines to run"`
	Concurrency int           `long:"concurrency" default:"8" description:"Requests that an engine runs at once"`
	PromptToken time.Duration `long:"prompt-token" default:"200us" description:"Time per token of the prompt"`
	Token       time.Duration `long:"token" default:"15ms" description:"Time between tokens"`
	Endpoints   int           `long:"endpoints" description:"Further endpoints in the table, which share an engine"`
	Accounts    int           `long:"accounts" description:"Further accounts in the table"`
	Classes     int           `long:"classes" description:"Further classes in the table"`
	Duration    time.Duration `long:"duration" description:"End after this time, such as 30s"`
}

// SiteAddresses is the content of site.json.
type SiteAddresses struct {
	Platform  string   `json:"platform"`
	Callers   []string `json:"callers"`
	Operators []string `json:"operators"`
	Peers     []string `json:"peers"`
	Engines   []string `json:"engines"`
}

// Execute runs until a signal.
func (c *siteCommand) Execute([]string) error {
	ctx, cancel := untilSignal(c.Duration)
	defer cancel()
	s, err := NewSite(ctx, SiteConfig{
		Daemons: c.Daemons,
		Engines: c.Engines,
		Speed:   EngineSpeed{Concurrency: c.Concurrency, PromptToken: c.PromptToken, Token: c.Token},
		Table:   func(t *table.Table) { Enlarge(t, c.Endpoints, c.Accounts, c.Classes) },
	}, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	if err := s.write(c.Directory); err != nil {
		return err
	}
	fmt.Printf("%s=%s beechhead serve --settings %s\n", operatorKeyVariable, DemoOperatorKey, filepath.Join(c.Directory, "host-N.json"))
	<-ctx.Done()
	s.closeServers()
	return nil
}

// write writes the daemons' settings and the addresses.
func (s *Site) write(directory string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "write site")
		}
	}()
	for _, cfg := range s.Settings {
		written := *cfg
		written.OperatorKey = settings.Secret{Environment: operatorKeyVariable}
		if err := writeJSON(filepath.Join(directory, cfg.Host+".json"), written); err != nil {
			return err
		}
	}
	return writeJSON(filepath.Join(directory, "site.json"), s.Addresses())
}

// Addresses returns where everything of the site is.
func (s *Site) Addresses() SiteAddresses {
	a := SiteAddresses{Platform: s.Settings[0].Platform.URL, Engines: s.engineURLs}
	for _, cfg := range s.Settings {
		a.Callers = append(a.Callers, cfg.CallerAddress)
		a.Operators = append(a.Operators, cfg.OperatorAddress)
		a.Peers = append(a.Peers, cfg.PeerAddress)
	}
	return a
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Enlarge adds the measured class to a table, and as many endpoints, accounts
// and classes as asked. The endpoints belong to a pool of their own and share
// the first engine's address.
func Enlarge(t *table.Table, endpoints, accounts, classes int) {
	target := table.Target{FirstToken: measuredTarget, BetweenTokens: measuredTarget}
	t.Classes = append(t.Classes, table.Class{
		Name: MeasuredClass, Weight: 1, Pools: []table.Pool{SampleModel}, Target: target, MaxWait: measuredTarget, Idempotent: true,
	})
	t.Accounts[0].Classes = append(t.Accounts[0].Classes, MeasuredClass)
	for i := range classes {
		cl := t.Classes[0]
		cl.Name = table.ClassName(fmt.Sprintf("class-%d", i))
		t.Classes = append(t.Classes, cl)
	}
	for i := range endpoints {
		e := t.Endpoints[0]
		e.Name = table.EndpointName(fmt.Sprintf("further-%d", i))
		e.Pool = table.Pool(fmt.Sprintf("model-%d", i%8))
		t.Endpoints = append(t.Endpoints, e)
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		t.Accounts = append(t.Accounts, table.Account{
			Name: table.AccountName(name), KeyHashes: []string{KeyHash(name)}, Classes: t.Accounts[0].Classes,
		})
	}
}
