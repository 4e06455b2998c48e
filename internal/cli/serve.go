package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/beechhead/beechhead/internal/daemon"
	"github.com/beechhead/beechhead/internal/gateway"
	"github.com/beechhead/beechhead/internal/settings"
)

// serveCommand runs the daemon.
type serveCommand struct {
	output
	Settings string `long:"settings" env:"BEECHHEAD_SETTINGS" required:"true" value-name:"FILE" description:"Settings file (JSON)"`
	Check    bool   `long:"check" description:"Check the settings and the files that they name, and exit"`
}

// Execute runs until SIGTERM or SIGINT has led to a graceful stop.
func (c *serveCommand) Execute([]string) error {
	s, secrets, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintln(c.out, "the settings are valid")
		return nil
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if s.Gateway != nil {
		g := gateway.New(s, slog.New(slog.NewJSONHandler(os.Stdout, nil)))
		context.AfterFunc(stop, g.Drain)
		return g.Run(context.Background())
	}
	d := daemon.New(s, secrets, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	context.AfterFunc(stop, d.Drain)
	return d.Run(context.Background())
}

// versionCommand prints the version.
type versionCommand struct{ output }

// Execute prints the module's version as the Go toolchain recorded it.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(c.out, "beechhead "+version)
	return nil
}
