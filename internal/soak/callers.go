package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// callerPause is the mean time between two requests of a caller.
	callerPause = 120 * time.Millisecond
	// resolveEvery is how long a caller keeps an answer of addresses.
	resolveEvery = 2 * time.Second
	// revokedShare is the part of the requests with a key that is, or will
	// soon be, taken away.
	revokedShare = 0.3
	// raisedShare is the part of the streams that are not resumable which come from the
	// account with a tier of its own, if there is one.
	raisedShare  = 0.5
	callDeadline = 4 * time.Second
)

// routes are what callers ask for, by weight.
var routes = []string{"chat", "chat", "draft", "pay", "pay", "pay", "look", "look", "open"}

// caller sends one request after the other. It keeps its connections until
// their process is gone, like a client that knows nothing of stops.
type caller struct {
	r      *run
	number int
	random *rand.Rand
	// leaves decides which streams the caller leaves and takes up again.
	leaves *rand.Rand
	client *http.Client
	// addresses are those that a directory gave last.
	addresses []string
	asked     time.Time
	// keys are those that the caller has used; it goes on using old ones.
	keys []string
}

func (r *run) newCaller(number int) *caller {
	return &caller{
		r: r, number: number,
		random: rand.New(rand.NewPCG(r.o.Seed, uint64(number+100))),  //nolint:gosec // a load
		leaves: rand.New(rand.NewPCG(r.o.Seed, uint64(number+1000))), //nolint:gosec // a load
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 4,
			DisableCompression:  true,
		}},
	}
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pause := time.Duration(c.random.ExpFloat64() * float64(callerPause))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c.resolve(ctx)
		if len(c.addresses) == 0 {
			continue
		}
		address := c.addresses[c.random.IntN(len(c.addresses))]
		call := standin.Call{
			ID:       fmt.Sprintf("r%d-%d", c.number, n),
			Route:    routes[c.random.IntN(len(routes))],
			Key:      c.key(),
			Deadline: callDeadline,
		}
		if c.r.o.smallMemory() && call.Route == raisedRoute && c.leaves.Float64() < raisedShare {
			call.Key = standin.OtherSampleKey
		}
		if c.r.o.Plant == plantForgetKeys && standin.IsStream(call.Route) && time.Since(c.r.rec.Began) > forgetAfter {
			call.Key = "forgotten"
		}
		if call.Route == resumableRoute && c.leaves.Float64() < leaveShare {
			call.LeaveAfter = 1 + c.leaves.IntN(streamEvents/2)
		}
		answer := c.r.call(c.client, address, call)
		if call.Route == resumableRoute {
			c.takeUp(ctx, call, answer)
		}
	}
}

// key returns a key: mostly the one that stays, sometimes the newest, and
// sometimes one that has been taken away meanwhile.
func (c *caller) key() string {
	c.r.site.mu.Lock()
	newest := c.r.site.key
	c.r.site.mu.Unlock()
	if !slices.Contains(c.keys, newest) {
		c.keys = append(c.keys, newest)
	}
	if c.random.Float64() > revokedShare {
		return standin.SampleKey
	}
	return c.keys[max(0, len(c.keys)-1-c.random.IntN(2))]
}

// resolve asks for addresses again from time to time, and keeps the old ones
// if no daemon answers.
func (c *caller) resolve(ctx context.Context) {
	if len(c.addresses) > 0 && time.Since(c.asked) < resolveEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	directory := c.r.site.address(firstDaemon+c.random.IntN(c.r.o.Daemons), portDirectory)
	addresses, err := standin.Resolve(ctx, c.client, directory, fmt.Sprintf("z%d", c.number%2))
	if err == nil {
		c.addresses, c.asked = addresses, time.Now()
	}
}

// call sends a request and records what came of it.
func (r *run) call(client *http.Client, address string, call standin.Call) standin.CallResponse {
	sent := time.Now()
	answer := call.Send(context.Background(), client, address)
	r.noteCall(Call{Call: call, Answer: answer, Daemon: r.daemonOf(address), Sent: sent, Ended: time.Now()})
	return answer
}

// daemonOf returns the number of the daemon at an address.
func (r *run) daemonOf(address string) int {
	for i := range r.o.Daemons {
		if strings.HasPrefix(address, r.site.address(firstDaemon+i, portCallers)) {
			return i
		}
	}
	return -1
}

// callers runs all callers until the context ends and their last requests are
// answered.
func (r *run) callers(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range r.o.Callers {
		wg.Go(func() { r.newCaller(i).run(ctx) })
	}
	wg.Wait()
}

// askAll asks every daemon, at the end, what should hold then.
func (r *run) askAll() {
	r.site.mu.Lock()
	extra := r.site.extra
	r.site.mu.Unlock()
	var revoked string
	if n := len(r.rec.Revoked); n > 0 {
		revoked = r.rec.Revoked[n-1].Key
	}
	final := make([]Final, r.o.Daemons)
	var wg sync.WaitGroup
	for i := range final {
		wg.Go(func() { final[i] = r.askOne(i, extra, revoked) })
	}
	wg.Wait()
	r.rec.Final = final
}

// askOne asks one daemon for the newest route, with a key that was taken away,
// and for each usual route.
func (r *run) askOne(i int, extra, revoked string) Final {
	address := r.site.address(firstDaemon+i, portCallers)
	id := func(what string) string { return fmt.Sprintf("final-%s-%d", what, i) }
	ask := func(what, route, key string) int {
		call := standin.Call{ID: id(what), Route: route, Key: key, Deadline: callDeadline}
		return r.call(http.DefaultClient, address, call).Status
	}
	f := Final{Daemon: i}
	if extra != "" {
		f.Newest = ask("newest", extra, "")
	}
	if revoked != "" {
		f.Revoked = ask("revoked", "pay", revoked)
	}
	for _, route := range []string{"chat", "draft", "pay", "look", "open"} {
		status := ask(route, route, standin.SampleKey)
		if status == http.StatusBadGateway {
			f.Lost = append(f.Lost, id(route))
			status = ask(route+"-again", route, standin.SampleKey)
		}
		f.Usual = append(f.Usual, status)
	}
	return f
}
