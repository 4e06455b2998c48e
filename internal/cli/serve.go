package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/beechhead/beechhead/internal/daemon"
	"github.com/beechhead/beechhead/internal/gateway"
	"github.com/beechhead/beechhead/internal/logline"
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
	limitMemory(s)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if s.Gateway != nil {
		return c.serveGateway(stop, s)
	}
	d := daemon.New(s, secrets, slog.New(newHandler(os.Stderr)))
	context.AfterFunc(stop, d.Drain)
	return d.Run(context.Background())
}

// memoryShare is the part of the memory named in the settings that the Go runtime aims to
// stay below; the rest is for the program's text and what the runtime frees late.
const memoryShare = 0.85

// limitMemory has the Go runtime collect garbage more often when the memory named in the
// settings is nearly used up, unless the environment has a limit.
func limitMemory(s *settings.Settings) {
	if mb := s.Memory(); mb > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryShare * mb * (1 << 20)))
	}
}

func newHandler(w io.Writer) slog.Handler {
	return slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: logline.CutValue})
}

// logFlush bounds the time for the last lines of the log.
const logFlush = 200 * time.Millisecond

// serveGateway runs a daemon of the platform's store until a graceful stop is
// complete.
func (c *serveCommand) serveGateway(stop context.Context, s *settings.Settings) error {
	out := logline.NewWriter(os.Stdout)
	defer out.Close(logFlush)
	g := gateway.New(s, slog.New(newHandler(out)))
	g.LogDropped = out.Dropped
	context.AfterFunc(stop, g.Drain)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go func() {
		for range reload {
			g.Reload(settings.Load(c.Settings))
		}
	}()
	return g.Run(context.Background())
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
