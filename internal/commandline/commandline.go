// Package commandline runs the commands of the programs for load and
// stand-ins.
package commandline

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Run parses arguments into the commands of opts, a pointer to a struct with
// go-flags' tags, runs the one that is named, and returns the exit code. Errors
// of the arguments, and those that isUsage finds, are the user's.
func Run(name string, opts any, args []string, stdout, stderr io.Writer, isUsage func(error) bool) int {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Application Options", "", opts); err != nil {
		panic("commandline: the options are malformed: " + err.Error())
	}
	_, err := p.ParseArgs(args)
	if err == nil {
		return 0
	}
	usage, ok := errors.Into[*flags.Error](err)
	if ok && usage.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, usage.Message)
		return 0
	}
	fmt.Fprintln(stderr, err)
	if ok || isUsage(err) {
		return exitUsage
	}
	return exitFailed
}
