package load

import (
	"encoding/json"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/replay"
	"github.com/beechhead/beechhead/internal/schedule"
)

// replayCommand plays a load against the decisions alone.
type replayCommand struct {
	Seeds   int      `long:"seeds" default:"1" description:"Play that many seeds, from the file's on"`
	Without []string `long:"without" description:"Switch a mechanism off; may be given more than once"`
	JSON    string   `long:"json" description:"Write the results to this file as well"`
	Args    struct {
		File string `positional-arg-name:"SCENARIO.json"`
	} `positional-args:"yes" required:"yes"`
}

// Execute plays the scenario and prints what callers would have seen.
func (c *replayCommand) Execute([]string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "replay")
		}
	}()
	s, err := replay.Read(c.Args.File)
	if err != nil {
		return err
	}
	for _, name := range c.Without {
		m := schedule.Mechanism(name)
		if !slices.Contains(schedule.Mechanisms(), m) {
			return errors.Errorf("%q is none of %v", name, schedule.Mechanisms())
		}
		s.Disabled = append(s.Disabled, m)
	}
	var results []*replay.Result
	for range c.Seeds {
		r := replay.Play(s, schedule.ByTier)
		r.Print(os.Stdout)
		results = append(results, r)
		s.Seed++
	}
	if c.Seeds > 1 {
		replay.PrintMean(os.Stdout, results)
	}
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(data, '\n'), 0o644)
}
