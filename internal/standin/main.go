package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/commandline"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"

	gatewayform "github.com/beechhead/beechhead/platform/standin"
	"github.com/beechhead/beechhead/platform/standin/demo"
)

// options are the arguments of all commands.
type options struct {
	Demo     demoCommand     `command:"demo" description:"Run a small site on loopback"`
	Gateway  gatewayCommand  `command:"gateway-demo" description:"Run a small site in the form of the users' platform on loopback"`
	Site     siteCommand     `command:"site" description:"Run all of a site but its daemons, and write their settings"`
	Platform platformCommand `command:"platform" description:"Run the platform's stand-in"`
	Engine   engineCommand   `command:"engine" description:"Run an engine's stand-in"`
	Service  serviceCommand  `command:"service" description:"Run a plain service's stand-in"`
	Store    storeCommand    `command:"gateway-store" description:"Run the stand-in of the users' store"`
	Endpoint endpointCommand `command:"gateway-engine" description:"Run the stand-in of an engine or service of the users' platform"`
	Relays   relaysCommand   `command:"relays" description:"Run relays with faults between other processes"`
	Sample   sampleCommand   `command:"sample" description:"Print a first table for given endpoints"`
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	return commandline.Run("beechhead-standin", &options{}, args, os.Stdout, os.Stderr, func(error) bool { return false })
}

// untilSignal returns a context that ends with Ctrl-C, SIGTERM or, if it is
// not zero, after the duration.
func untilSignal(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	if d == 0 {
		return ctx, stop
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() { cancel(); stop() }
}

type demoCommand struct {
	Duration time.Duration `long:"duration" description:"End after this time, such as 30s"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := untilSignal(c.Duration)
	defer cancel()
	return Demo(ctx, os.Stdout, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

type gatewayCommand struct {
	Duration time.Duration `long:"duration" description:"End after this time, such as 30s"`
}

// Execute runs the demo of the users' platform.
func (c *gatewayCommand) Execute([]string) error {
	ctx, cancel := untilSignal(c.Duration)
	defer cancel()
	return demo.Run(ctx, os.Stdout, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

type listenOption struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"IP address and port"`
}

// serve serves a stand-in until a signal.
func (o *listenOption) serve(h http.Handler) error {
	ctx, cancel := untilSignal(0)
	defer cancel()
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ConnContext: gatewayform.ConnContext, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			limitBuffers(c)
		}
	}}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type platformCommand struct {
	listenOption
	Hosts string `long:"hosts" description:"File with the list of hosts, as GET /v1/hosts answers it"`
}

// Execute runs the platform's stand-in.
func (c *platformCommand) Execute([]string) error {
	p := NewPlatform()
	if c.Hosts == "" {
		return c.serve(p.Handler())
	}
	data, err := os.ReadFile(c.Hosts)
	if err != nil {
		return err
	}
	var list platform.HostsResponse
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "read the list of hosts")
	}
	p.SetHosts(list.Hosts)
	return c.serve(p.Handler())
}

type engineCommand struct {
	listenOption
	Concurrency int           `long:"concurrency" default:"8" description:"Requests run at once"`
	PromptToken time.Duration `long:"prompt-token" default:"200us" description:"Time per token of the prompt"`
	Token       time.Duration `long:"token" default:"15ms" description:"Time between tokens when idle"`
	Crowding    float64       `long:"crowding" default:"0.5" description:"Growth of the time between tokens when full"`
}

// Execute runs an engine's stand-in.
func (c *engineCommand) Execute([]string) error {
	speed := EngineSpeed{Concurrency: c.Concurrency, PromptToken: c.PromptToken, Token: c.Token, Crowding: c.Crowding}
	return c.serve(NewEngine(speed).Handler())
}

type serviceCommand struct{ listenOption }

// Execute runs a plain service's stand-in.
func (c *serviceCommand) Execute([]string) error { return c.serve(NewService().Handler()) }

type storeCommand struct{ listenOption }

// Execute runs the stand-in of the users' store and of the platform's API for
// duties.
func (c *storeCommand) Execute([]string) error {
	duties := gatewayform.NewDuties()
	duties.ChecksFence = true
	mux := http.NewServeMux()
	mux.Handle("/", gatewayform.NewStore().Handler())
	duties.Register(mux)
	return c.serve(mux)
}

type endpointCommand struct {
	listenOption
	ID     string        `long:"id" required:"yes" description:"Id that it registers under"`
	Slots  int           `long:"slots" default:"8" description:"Requests run at once"`
	Events int           `long:"events" default:"20" description:"Events of a stream"`
	Pause  time.Duration `long:"pause" default:"40ms" description:"Time before each event and before other answers"`
	Cut    time.Duration `long:"cut-unread" default:"2s" description:"Time after which a response is cut off that is not read"`
	End    string        `long:"end" description:"URL that is posted to when a request ends the engine"`
}

// Execute runs the stand-in of an endpoint of the users' platform.
func (c *endpointCommand) Execute([]string) error {
	return c.serve(&gatewayform.Engine{ID: c.ID, Slots: c.Slots, Events: c.Events, Delay: c.Pause, CutUnread: c.Cut, Terminate: c.end})
}

// end has the way to the engine closed.
func (c *endpointCommand) end() {
	resp, err := http.Post(c.End, "", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "end the engine:", err)
		return
	}
	_ = resp.Body.Close()
}

type sampleCommand struct {
	Engines     []string `long:"engine" description:"URL of an engine; can be given several times"`
	Services    []string `long:"service" description:"URL of a plain service; can be given several times"`
	Concurrency int      `long:"concurrency" default:"8" description:"Requests that each endpoint runs at once"`
}

// Execute prints a table that "beechhead table put" takes as the first one.
func (c *sampleCommand) Execute([]string) error {
	var endpoints []table.Endpoint
	add := func(kind table.EndpointKind, pool table.Pool, urls []string) {
		for i, url := range urls {
			endpoints = append(endpoints, table.Endpoint{
				Name: table.EndpointName(fmt.Sprintf("%s-%d", pool, i)), Kind: kind, Pool: pool, URL: url,
				Region: siteRegion, Zone: fmt.Sprintf("zone-%d", i), Concurrency: c.Concurrency,
				CanCancel: kind == table.KindEngine, CanResume: kind == table.KindEngine, EchoesID: true,
			})
		}
	}
	add(table.KindEngine, SampleModel, c.Engines)
	add(table.KindService, SampleService, c.Services)
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(table.Versioned{Table: SampleTable(endpoints)})
}
