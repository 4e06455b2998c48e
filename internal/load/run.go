package load

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/load/experiment"
	"github.com/beechhead/beechhead/internal/load/report"
	"github.com/beechhead/beechhead/internal/settings"
)

// runCommand runs an experiment.
type runCommand struct {
	Compare   string   `long:"compare" default:"cells" description:"Policies to run one after another, the first against the others: cells,roundRobin,leastOutstanding"`
	JSON      string   `long:"json" description:"Write the results to this file as well"`
	Seed      uint64   `long:"seed" description:"Use another seed than the file's"`
	Factor    float64  `long:"factor" description:"Use another load factor than the file's"`
	Addresses []string `long:"address" description:"Callers' address of a running daemon; no site is started and no fault is brought about. Can be given several times"`
	Log       string   `long:"log" description:"Write the daemons' logs to this file"`
	Args      struct {
		File string `positional-arg-name:"EXPERIMENT.json"`
	} `positional-args:"yes" required:"yes"`
}

// results is the JSON form of what a command measured.
type results struct {
	Experiment string             `json:"experiment"`
	Factor     float64            `json:"factor"`
	Runs       []*report.Run      `json:"runs"`
	Comparison *report.Comparison `json:"comparison,omitempty"`
}

// Execute runs the experiment and prints the results.
func (c *runCommand) Execute([]string) (err error) {
	e, err := experiment.Read(c.Args.File)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		e.Seed = c.Seed
	}
	if c.Factor != 0 {
		e.Factor = c.Factor
	}
	logger, closeLog, err := c.openLog()
	if err != nil {
		return err
	}
	defer closeLog()
	res := results{Experiment: c.Args.File, Factor: e.Factor}
	for policy := range strings.SplitSeq(c.Compare, ",") {
		run, err := c.runOne(e, settings.Policy(policy), logger)
		if err != nil {
			return errors.Wrapf(err, "policy %s", policy)
		}
		run.Print(os.Stdout)
		res.Runs = append(res.Runs, run)
	}
	if len(res.Runs) > 1 {
		comparison := report.Compare(res.Runs)
		comparison.Print(os.Stdout, res.Runs[0].Policy)
		res.Comparison = &comparison
	}
	return c.write(&res)
}

func (c *runCommand) openLog() (logger *slog.Logger, closeLog func(), err error) {
	if c.Log == "" {
		return slog.New(slog.DiscardHandler), func() {}, nil
	}
	f, err := os.Create(c.Log)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open log")
	}
	return slog.New(slog.NewJSONHandler(f, nil)), func() { _ = f.Close() }, nil
}

func (c *runCommand) runOne(e *experiment.Experiment, policy settings.Policy, logger *slog.Logger) (*report.Run, error) {
	if len(c.Addresses) > 0 {
		r := newRunner(e, c.Addresses)
		r.drive(nil)
		return r.summary(policy, nil), nil
	}
	s, err := startSite(e, policy, logger)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	r := newRunner(e, s.callerAddresses())
	r.drive(s)
	return r.summary(policy, s), nil
}

func (c *runCommand) write(res *results) error {
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.WriteFile(c.JSON, append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}

// progress writes a line to the terminal that the next one overwrites.
func progress(format string, args ...any) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return
	}
	fmt.Fprintf(os.Stderr, "\r\033[K"+format, args...)
}
