// Package load drives daemons and stand-ins with requests and reports what
// callers would see.
package load

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/beechhead/beechhead/internal/load/experiment"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options are the arguments of all commands.
type options struct {
	Run    runCommand    `command:"run" description:"Run an experiment, with one policy or several on the same arrivals"`
	Speed  speedCommand  `command:"speed" description:"Measure what the daemons themselves cost"`
	Scale  scaleCommand  `command:"scale" description:"Measure how traffic, CPU and memory grow with the site, and fit lines"`
	Replay replayCommand `command:"replay" description:"Play a load in simulated time against the decisions of one cell and emulated engines"`
	Soak   soakCommand   `command:"soak" description:"Run the real programs under overlapping faults and check what callers and endpoints see"`
	Chat   chatCommand   `command:"chat" description:"Send chat requests at a fixed rate to one address"`
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	var opts options
	_, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err == nil {
		return 0
	}
	usage, isUsage := errors.Into[*flags.Error](err)
	if isUsage && usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	if _, ok := errors.Into[experiment.Problems](err); ok || isUsage {
		return exitUsage
	}
	return exitFailed
}
