package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/beechhead/beechhead/internal/soak"
)

// soakCommand runs the fault soak.
type soakCommand struct {
	Bin         string        `long:"bin" default:"bin" description:"Directory with the programs"`
	Dir         string        `long:"dir" description:"Directory for the logs; a temporary one if absent"`
	Seed        uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds       int           `long:"seeds" default:"1" description:"Play that many seeds"`
	Parallel    int           `long:"parallel" default:"1" description:"Play that many seeds at the same time, each with processes of its own"`
	SameIDs     bool          `long:"same-ids" description:"Have engines that have ended start again under their ids"`
	SmallMemory bool          `long:"small-memory" description:"Have engines preempt streams because their memory runs out"`
	Pauses      bool          `long:"pauses" description:"Pause engines beside planned work, and bring about no other faults"`
	Regression  string        `long:"regression" description:"Play the seeds of this file instead, which failed once"`
	Short       bool          `long:"short" description:"Of that file, play the seeds of the short run only"`
	Daemons     int           `long:"daemons" default:"4" description:"Daemons"`
	Engines     int           `long:"engines" default:"4" description:"Engines and instances of a plain service, half each"`
	Callers     int           `long:"callers" default:"12" description:"Callers"`
	Length      time.Duration `long:"length" default:"12s" description:"How long faults come"`
	Keep        bool          `long:"keep" description:"Keep the logs of runs that keep all promises, too"`
	Plant       string        `long:"plant" choice:"runTwice" choice:"foreign" choice:"runRefused" choice:"unsigned" choice:"hideLimit" choice:"otherTarget" choice:"hideEra" choice:"hideBrittle" choice:"hideBackoff" choice:"hideLeaving" choice:"swallowPath" choice:"hideVersions" choice:"loseStreams" choice:"scatterParts" choice:"forgetKeys" choice:"ignorePriority" choice:"endSilent" choice:"hideMemory" choice:"nameStray" description:"A fault of the stand-ins that breaks a promise; the run must fail"` //nolint:staticcheck // go-flags repeats the tag

	// KnownRed holds the promises that seeds may break, as "SEED:PROMISE".
	KnownRed []string `long:"known-red" value-name:"SEED:PROMISE" description:"Do not fail if this seed breaks this promise and no other"`
}

var errPromises = errors.New("promises were broken")

// Execute plays the seeds, some of them at the same time.
func (c *soakCommand) Execute([]string) (err error) {
	defer func() {
		if err != nil && !errors.Is(err, errPromises) {
			err = errors.Wrap(err, "soak")
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
	}
	seeds, err := c.seeds()
	if err != nil {
		return err
	}
	var broken brokenSeeds
	grp, ctx := errgroup.WithContext(ctx)
	slots := make(chan int, c.Parallel)
	for i := range c.Parallel {
		slots <- i
	}
	for _, one := range seeds {
		slot := <-slots
		grp.Go(func() error {
			defer func() { slots <- slot }()
			violations, err := c.play(ctx, one, slot)
			broken.add(one.Seed, violations)
			return err
		})
	}
	if err := grp.Wait(); err != nil {
		return err
	}
	return broken.report(os.Stdout)
}

// brokenSeeds collects the promises that were broken.
type brokenSeeds struct {
	mu    sync.Mutex
	lines []string
}

func (b *brokenSeeds) add(seed uint64, violations []soak.Violation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range violations {
		b.lines = append(b.lines, fmt.Sprintf("seed %d: %s: %s", seed, v.Promise, v.What))
	}
}

// report repeats the broken promises below the output of all seeds, of which
// little but the end may be kept.
func (b *brokenSeeds) report(w io.Writer) error {
	if len(b.lines) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(w, "broken:")
	for _, line := range b.lines {
		_, _ = fmt.Fprintln(w, "  "+line)
	}
	return errPromises
}

// seeds returns what is to be played.
func (c *soakCommand) seeds() (seeds []soak.Regression, err error) {
	if c.Regression != "" {
		seeds, err = soak.ReadRegression(c.Regression)
		if c.Short {
			seeds = soak.ShortRun(seeds)
		}
		return seeds, err
	}
	for i := range c.Seeds {
		seeds = append(seeds, soak.Regression{Seed: c.Seed + uint64(i), SameIDs: c.SameIDs, SmallMemory: c.SmallMemory, Pauses: c.Pauses})
	}
	return seeds, nil
}

// play plays one seed and returns the broken promises, none if they are known red.
func (c *soakCommand) play(ctx context.Context, one soak.Regression, slot int) (broken []soak.Violation, err error) {
	var out bytes.Buffer
	defer func() { _, _ = os.Stdout.Write(out.Bytes()) }()
	o := &soak.Options{
		Bin: c.Bin, Dir: c.Dir, Seed: one.Seed, SameIDs: one.SameIDs, SmallMemory: one.SmallMemory, Pauses: one.Pauses, Network: os.Getpid()*c.Parallel + slot,
		Daemons: max(2, c.Daemons), Engines: max(4, c.Engines), Callers: c.Callers,
		Length: c.Length, Plant: c.Plant, Keep: c.Keep, Out: &out,
	}
	v, err := soak.Play(ctx, o)
	if err != nil {
		return nil, err
	}
	v.Print(o)
	if len(v.Violations) > 0 && c.isKnownRed(one.Seed, v.Violations) {
		_, _ = fmt.Fprintf(&out, "seed %d: known red\n", one.Seed)
		return nil, nil
	}
	return v.Violations, nil
}

// isKnownRed reports whether a seed may break all these promises.
func (c *soakCommand) isKnownRed(seed uint64, broken []soak.Violation) bool {
	return !slices.ContainsFunc(broken, func(v soak.Violation) bool {
		return !slices.Contains(c.KnownRed, fmt.Sprintf("%d:%s", seed, v.Promise))
	})
}
