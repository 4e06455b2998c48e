package load

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/load/scale"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

// scaleCommand measures how control traffic, CPU and memory grow with one size
// of the site while the others stay small.
type scaleCommand struct {
	Axis   string        `long:"axis" default:"daemons" choice:"daemons" choice:"endpoints" choice:"accounts" choice:"classes" choice:"rate" choice:"links" description:"What to vary"` //nolint:staticcheck // go-flags repeats the tag
	Sizes  string        `long:"sizes" description:"Sizes to measure, such as 3,14,40; default by axis"`
	Settle time.Duration `long:"settle" default:"5s" description:"How long a site runs before it is measured"`
	Window time.Duration `long:"window" default:"8s" description:"How long it is measured"`
	SVG    string        `long:"svg" description:"Write the plots to this file"`
}

// siteSize is the size of one measured site.
type siteSize struct {
	daemons, endpoints, accounts, classes int
	// rate is in chat requests per second over the whole site.
	rate int
}

// scaleAxis describes how an axis is measured.
type scaleAxis struct {
	sizes string
	full  float64
	set   func(s *siteSize, n int)
}

// linksRate is the load while the daemons that reserve at one coordinator are
// varied: enough that each of them keeps its link.
const linksRate = 80

var scaleAxes = map[string]scaleAxis{
	"daemons":   {"3,14,40", 360, func(s *siteSize, n int) { s.daemons = n }},
	"endpoints": {"20,200,910", 910, func(s *siteSize, n int) { s.endpoints = n }},
	"accounts":  {"10,600,6600", 6600, func(s *siteSize, n int) { s.accounts = n }},
	"classes":   {"6,24,64", 64, func(s *siteSize, n int) { s.classes = n }},
	"links":     {"3,14,40", 360, func(s *siteSize, n int) { s.daemons, s.rate = n, linksRate }},
	"rate":      {"50,200,500", 3500, func(s *siteSize, n int) { s.rate, s.daemons = n, 14 }},
}

// Execute measures each size and prints the points and the fits.
func (c *scaleCommand) Execute([]string) error {
	axis := scaleAxes[c.Axis]
	sizes := c.Sizes
	if sizes == "" {
		sizes = axis.sizes
	}
	result := scale.Axis{Name: c.Axis, Full: axis.full}
	for text := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "sizes")
		}
		size := siteSize{daemons: 3}
		axis.set(&size, n)
		progress("%s %d", c.Axis, n)
		if err := c.measure(&result, float64(n), size); err != nil {
			return errors.Wrapf(err, "%s %d", c.Axis, n)
		}
	}
	progress("")
	result.DropZeros()
	result.Print(os.Stdout)
	return c.plot(&result)
}

func (c *scaleCommand) plot(a *scale.Axis) error {
	if c.SVG == "" {
		return nil
	}
	var b strings.Builder
	a.SVG(&b)
	if err := os.WriteFile(c.SVG, []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}

// reading is everything that is read before and after the window.
type reading struct {
	counters      map[string]int64
	cpu           time.Duration
	reads, writes int
	loopback      loopbackCounts
}

func (s *site) read() (r reading, err error) {
	r.counters = s.counters()
	r.reads, r.writes = s.Platform.Counts()
	r.cpu = processCPU(os.Getpid())
	r.loopback, err = readLoopback()
	return r, err
}

func (c *scaleCommand) measure(result *scale.Axis, at float64, size siteSize) error {
	before := memoryInUse()
	s, err := runSite(standin.SiteConfig{
		Daemons: size.daemons,
		Zones:   6,
		Table:   func(t *table.Table) { standin.Enlarge(t, size.endpoints, size.accounts, size.classes) },
		Speed:   standin.EngineSpeed{Concurrency: 256, Token: time.Millisecond},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	defer s.stop()
	stopLoad := s.load(size.rate)
	defer stopLoad()
	time.Sleep(c.Settle)
	memory := memoryInUse() - before
	first, err := s.read()
	if err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(c.Window)
	last, err := s.read()
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	n := float64(size.daemons)
	add := func(name string, value float64) { result.Add(name, scale.Point{Size: at, Value: value}) }
	add("memory KB a daemon", float64(memory)/n/1000)
	add("CPU % of a core a daemon", 100*(last.cpu-first.cpu).Seconds()/seconds/n)
	add("store reads/s of all", float64(last.reads-first.reads)/seconds)
	add("store writes/s of all", float64(last.writes-first.writes)/seconds)
	addFlows(add, &first, &last, seconds, n)
	counted := wireBytes(&last) - wireBytes(&first)
	add("counted wire KB/s of all", counted/seconds/1000)
	add("loopback payload KB/s", last.loopback.since(first.loopback).payload()/seconds/1000)
	return s.measureEdit(add)
}

// measureEdit adds how long one edit of a row takes to be in force, and what
// is sent for it.
func (s *site) measureEdit(add func(string, float64)) error {
	before := s.counters()
	half, all, err := s.edit()
	if err != nil {
		return err
	}
	add("edit in force at half, ms", float64(half.Milliseconds()))
	add("edit in force at all, ms", float64(all.Milliseconds()))
	after := s.counters()
	sent := func(name string) float64 { return float64(after[name] - before[name]) }
	add("edit: KB pushed by all", sent("control.tablePush.bytesSent")/1000)
	add("edit: KB fetched from peers by all", sent("control.tableFetch.bytesReceived")/1000)
	add("edit: KB from the store by all", sent("control.platform.bytesReceived")/1000)
	return nil
}

// addFlows adds what each control flow sends and how many messages it takes,
// a second and daemon; and for the engines' load reports, which one daemon a
// cell asks for, a second and site.
func addFlows(add func(string, float64), first, last *reading, seconds, daemons float64) {
	for _, flow := range []string{"heartbeat", "reservations", "slices", "tablePush", "tableFetch", "peerWire", "platform", "engineLoad"} {
		per, of := seconds*daemons, "a daemon"
		if flow == "engineLoad" {
			per, of = seconds, "of all"
		}
		for _, what := range []string{"bytesSent", "bytesReceived", "messages"} {
			name := "control." + flow + "." + what
			add(fmt.Sprintf("%s %s/s %s", flow, what, of), float64(last.counters[name]-first.counters[name])/per)
		}
	}
}

// wireBytes returns the bytes on connections between daemons, counted at the
// sender only, and both ways to platform and engines, which count nothing.
func wireBytes(r *reading) float64 {
	sum := r.counters["control.peerWire.bytesSent"]
	for _, flow := range []string{"platform", "engineLoad"} {
		sum += r.counters["control."+flow+".bytesSent"] + r.counters["control."+flow+".bytesReceived"]
	}
	return float64(sum)
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// loadTokens is the length of answers while the rate is varied.
const loadTokens = 20

// load sends chat requests until the returned function is called.
func (s *site) load(rate int) (stop func()) {
	if rate == 0 {
		return func() {}
	}
	done := make(chan struct{})
	ended := make(chan struct{})
	clients := fixedClients(s.callerAddresses())
	o := speedOptions{Key: standin.StudioKey}
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				go func() { _, _ = clients[i%len(clients)].chat(context.Background(), o.request(loadTokens, i)) }()
			}
		}
	}()
	return func() { close(done); <-ended }
}
