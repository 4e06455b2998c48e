package cli

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/internal/operator"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/status"
)

type hostsCommand struct{ remote }

// Execute prints the hosts.
func (c *hostsCommand) Execute([]string) error {
	var hosts []operator.Host
	if err := c.call(http.MethodGet, "/v1/hosts", nil, &hosts); err != nil {
		return err
	}
	return c.print(hosts, func() {
		g := newGrid(c.out, "HOST", "STATE", "REGION", "ZONE", "CALLERS", "LOAD", "TABLE")
		defer g.flush()
		for _, h := range hosts {
			g.row(h.Host, h.State, h.Region, h.Zone, h.CallerAddress, h.Load, h.TableVersion)
		}
	})
}

type statusCommand struct{ remote }

// Execute prints the figures of classes and endpoints.
func (c *statusCommand) Execute([]string) error {
	var s status.Site
	if err := c.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	return c.print(s, func() {
		fmt.Fprintf(c.out, "table version %d on %d hosts; figures of the last %d s\n\n", s.TableVersion, len(s.Hosts), s.WindowSeconds)
		c.classes(&s)
		fmt.Fprintln(c.out)
		c.endpoints(&s)
		if len(s.Silent) > 0 {
			fmt.Fprintf(c.out, "\nno figures from %s\n", strings.Join(s.Silent, ", "))
		}
	})
}

const percent = 100

func (c *statusCommand) classes(s *status.Site) {
	g := newGrid(c.out, "CLASS", "ATTAINMENT", "GOODPUT/S", "TOKENS/S", "REQUESTS", "WAITING", "OLDEST", "RUNNING", "WASTED", "REFUSED")
	defer g.flush()
	seconds := float64(max(s.WindowSeconds, 1))
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		cl := s.Classes[name]
		f := cl.Recent
		g.row(name, attained(&f), fmt.Sprintf("%.2f", float64(f.Met)/seconds), fmt.Sprintf("%.1f", float64(f.GoodTokens)/seconds),
			f.Total, cl.Waiting, time.Duration(s.Queues[name].OldestWaitMS)*time.Millisecond, cl.Running, f.WastedTokens, refusals(f.Refused))
	}
}

// attained returns the attainment, or nothing if there was no request.
func attained(f *attainment.Figures) string {
	if f.Total == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f%%", percent*f.Attainment())
}

func refusals(refused map[outcome.Reason]int64) string {
	parts := make([]string, 0, len(refused))
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, refused[reason]))
	}
	return strings.Join(parts, " ")
}

func (c *statusCommand) endpoints(s *status.Site) {
	g := newGrid(c.out, "ENDPOINT", "STATE", "RUNNING", "PLACES", "FOREIGN", "OUTSTANDING", "COORDINATOR")
	defer g.flush()
	for _, e := range s.Endpoints {
		state := string(e.State)
		if e.Reason != "" {
			state += " (" + e.Reason + ")"
		}
		g.row(e.Name, state, e.Running, e.Concurrency, e.Foreign, e.OutstandingTokens, e.Coordinator)
	}
}

type whereCommand struct {
	remote
	Zone string `long:"zone" value-name:"ZONE" description:"Availability zone of the caller"`
}

// Execute prints the addresses, best first.
func (c *whereCommand) Execute([]string) error {
	var a operator.Addresses
	if err := c.call(http.MethodGet, "/v1/addresses?zone="+url.QueryEscape(c.Zone), nil, &a); err != nil {
		return err
	}
	return c.print(a, func() {
		for _, address := range a.Addresses {
			fmt.Fprintln(c.out, address)
		}
	})
}

type drainCommand struct{ remote }

// Execute starts the graceful stop.
func (c *drainCommand) Execute([]string) error {
	var d operator.Draining
	if err := c.call(http.MethodPost, "/v1/drain", nil, &d); err != nil {
		return err
	}
	return c.print(d, func() {
		fmt.Fprintf(c.out, "%s is leaving; it ends when its requests have ended, now %d\n", d.Host, d.InProgress)
	})
}
