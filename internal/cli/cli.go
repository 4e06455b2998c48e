// Package cli is the command line of beechhead.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed: the daemon can't be reached or could not do it.
	exitFailed = 1
	// exitUsage: the arguments, the settings or the table are wrong.
	exitUsage = 2
	// exitConflict: another edit was accepted first.
	exitConflict = 3
	// exitUnauthorized: the operator key is missing or wrong.
	exitUnauthorized = 4
)

const longDescription = `beechhead routes language-model traffic by classes of requests. "serve" runs
the daemon; all other commands talk to a running daemon's operator address and
need its key, from --key-file or $BEECHHEAD_OPERATOR_KEY.

Exit codes: 0 done; 1 failed or out of reach; 2 wrong arguments, settings or
table; 3 conflict with another edit; 4 operator key missing or wrong.`

// options are the arguments of all commands.
type options struct {
	Serve   serveCommand   `command:"serve" description:"Run the entry daemon"`
	Table   tableCommand   `command:"table" description:"Read and change the table"`
	Hosts   hostsCommand   `command:"hosts" description:"List the hosts that a daemon knows"`
	Status  statusCommand  `command:"status" description:"Show how classes and endpoints do, summed over all daemons"`
	Where   whereCommand   `command:"where" description:"Show which addresses callers are told to use"`
	Claims  claimsCommand  `command:"claims" description:"List what became of requests with an idempotency key" long-description:"Lists the claims of idempotency keys: running, done or unknown. Use it to tell a caller whether a request that must not run twice was executed."`
	Drain   drainCommand   `command:"drain" description:"Start the graceful stop of a daemon"`
	Explain explainCommand `command:"explain" description:"Print one request's story from logs" long-description:"Reads the logs of one or more daemons and prints the lines of one request in order of time, with what its hosts believed around it. Lines that can't be read are counted. Needs no daemon."`
	Version versionCommand `command:"version" description:"Print the version"`
}

// Main runs the command line and returns the exit code.
func Main(args []string) int { return run(args, os.Stdout, os.Stderr) }

// writer is a command that prints.
type writer interface{ setOutput(io.Writer) }

func run(args []string, stdout, stderr io.Writer) int {
	var opts options
	p := flags.NewNamedParser("beechhead", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longDescription
	p.CommandHandler = func(command flags.Commander, args []string) error {
		if command == nil {
			return nil
		}
		if len(args) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", args[0])}
		}
		if w, ok := command.(writer); ok {
			w.setOutput(stdout)
		}
		return command.Execute(args)
	}
	if _, err := p.AddGroup("Application Options", "", &opts); err != nil {
		panic("cli: the options are malformed: " + err.Error())
	}
	_, err := p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	if usage, ok := errors.Into[*flags.Error](err); ok {
		return printUsage(usage, stdout, stderr)
	}
	fmt.Fprintln(stderr, "beechhead:", err)
	return exitCode(err)
}

func printUsage(e *flags.Error, stdout, stderr io.Writer) int {
	if e.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, e.Message)
		return exitOK
	}
	fmt.Fprintln(stderr, "beechhead:", e.Message)
	return exitUsage
}

func exitCode(err error) int {
	if _, ok := errors.Into[settings.Faults](err); ok {
		return exitUsage
	}
	if _, ok := errors.Into[table.Faults](err); ok {
		return exitUsage
	}
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errConflict):
		return exitConflict
	case errors.Is(err, errUnauthorized):
		return exitUnauthorized
	}
	return exitFailed
}
