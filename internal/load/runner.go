package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechhead/beechhead/internal/load/client"
	"github.com/beechhead/beechhead/internal/load/experiment"
	"github.com/beechhead/beechhead/internal/load/report"
	"github.com/beechhead/beechhead/internal/settings"
)

// runner sends an experiment's requests and gathers what callers see.
type runner struct {
	experiment *experiment.Experiment
	arrivals   []experiment.Arrival
	clients    []*client.Client
	// classes has one entry a load.
	classes []*report.Class
	running atomic.Int64

	mu sync.Mutex
	// notRun holds the bodies of calls that were refused as not run.
	notRun []string
}

func newRunner(e *experiment.Experiment, addresses []string) *runner {
	r := &runner{experiment: e, arrivals: e.Arrivals()}
	for i := range e.Site.Clients {
		first := i % len(addresses)
		known := append(append([]string{}, addresses[first:]...), addresses[:first]...)
		r.clients = append(r.clients, client.New(fmt.Sprintf("zone-%d", i%e.Site.Zones), known))
	}
	for i := range e.Loads {
		r.classes = append(r.classes, report.NewClass(e.Loads[i].Class.Name, e.Loads[i].Class.Target))
	}
	return r
}

// drive sends every request at its time, whether earlier ones have ended or
// not, and brings about the faults. Without a site there are no faults.
func (r *runner) drive(s *site) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	if s != nil {
		go r.breakThings(ctx, s, start)
	}
	var wg sync.WaitGroup
	for i := range r.arrivals {
		a := &r.arrivals[i]
		time.Sleep(time.Until(start.Add(a.At)))
		c := r.clients[i%len(r.clients)]
		r.running.Add(1)
		wg.Go(func() {
			defer r.running.Add(-1)
			r.send(ctx, c, a)
		})
		if i%100 == 0 {
			progress("%4.0f%%, %d running", 100*a.At.Seconds()/r.experiment.Duration.Std().Seconds(), r.running.Load())
		}
	}
	timer := time.AfterFunc(time.Until(start.Add(r.experiment.End())), cancel)
	defer timer.Stop()
	wg.Wait()
	progress("")
	for _, c := range r.clients {
		c.Close()
	}
}

func (r *runner) send(ctx context.Context, c *client.Client, a *experiment.Arrival) {
	l := &r.experiment.Loads[a.Load]
	req := client.Request{Key: accountKey(a.Account), Class: string(l.Class.Name)}
	if !l.IsCall() {
		r.classes[a.Load].Add(chat(ctx, c, a.Prompt, req))
		return
	}
	sample, notRun := call(ctx, c, a.Prompt, req)
	r.classes[a.Load].Add(sample)
	if notRun {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.notRun = append(r.notRun, a.Prompt)
	}
}

// summary returns what the run came to. Without a site, what only the
// endpoints know stays zero.
func (r *runner) summary(policy settings.Policy, s *site) *report.Run {
	run := &report.Run{Policy: string(policy), Seed: r.experiment.Seed}
	chats := 0
	for i, class := range r.classes {
		sum := class.Summary(r.experiment.Duration.Std())
		run.Classes = append(run.Classes, sum)
		run.Goodput += sum.Goodput
		if !r.experiment.Loads[i].IsCall() {
			run.TokensDelivered += class.DeliveredTokens()
			chats += sum.Offered
		}
	}
	if s == nil {
		return run
	}
	totals := s.engineTotals()
	run.TokensMade = totals.Tokens
	run.EngineRequests = totals.Requests
	if totals.Tokens > 0 {
		run.WastedShare = float64(run.Wasted()) / float64(totals.Tokens)
	}
	if chats > 0 {
		run.Amplification = float64(totals.Requests) / float64(chats)
	}
	r.checkExecutions(run, s)
	run.Retries = map[string]int64{}
	for name, n := range s.counters() {
		if reason, ok := strings.CutPrefix(name, "retried."); ok {
			run.Retries[reason] = n
		}
	}
	return run
}

// checkExecutions compares what the plain service executed with what callers
// were told.
func (r *runner) checkExecutions(run *report.Run, s *site) {
	executions := s.Service.Executions()
	for _, n := range executions {
		if n > 1 {
			run.DoubleExecutions++
		}
	}
	for _, body := range r.notRun {
		if executions[body] > 0 {
			run.NotRunLies++
		}
	}
}
