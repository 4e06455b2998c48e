// Package load drives daemons and stand-ins with requests and reports what
// callers would see.
package load

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/commandline"
	"github.com/beechhead/beechhead/internal/load/experiment"
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
	return commandline.Run("beechhead-load", &options{}, args, os.Stdout, os.Stderr, func(err error) bool {
		_, ok := errors.Into[experiment.Problems](err)
		return ok
	})
}
