package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// slowCallers is the number of callers that read slowly, at slowSpeed bytes a second.
	slowCallers = 4
	slowSpeed   = 4 << 10
	// slowPadding is added to each event, so that a stream is larger than the buffers of
	// its connections.
	slowPadding = 400 << 10
	// slowBuffer is the size in bytes of a slow caller's own buffer.
	slowBuffer = 16 << 10
	// daemonMemoryMB is the memory of the daemons' hosts.
	daemonMemoryMB = 128
	// settledAfter is how long after the first slow callers the others are looked at.
	settledAfter = 2 * time.Second
	// minBeside is the least number of requests of others by which they are judged.
	minBeside = 20
)

// readSlowly has some callers read their responses slowly, one after the other.
func (r *run) readSlowly(f Fault) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := range slowCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(r.o.Seed, uint64(i+2000))) //nolint:gosec // a load
			client := &http.Client{Transport: &http.Transport{DialContext: dialSmall, DisableKeepAlives: true}}
			for n := 0; r.sleep(callerPause) && r.lasting.Err() == nil; n++ {
				r.call(client, r.site.address(firstDaemon+random.IntN(r.o.Daemons), portCallers), standin.Call{
					ID: fmt.Sprintf("slow%d-%d-%d", i, f.At, n), Route: "draft", Key: standin.SampleKey,
					Query: standin.PaddingQuery(slowPadding), ReadSpeed: slowSpeed, Deadline: callDeadline,
				})
			}
		})
	}
}

// dialSmall opens a connection with a small buffer.
func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowBuffer)
	}
	return c, err
}

// slowReaders looks for engines that had to wait for slow callers until they cut off a
// response, and for others that were not served beside such callers, with nothing else in
// the way.
func slowReaders(rec *Record) (found []string) {
	calls := rec.callsByID()
	for _, r := range rec.Runs {
		if c := calls[r.ID]; r.Cut && c != nil && !rec.anyTrouble(c.Sent, c.Ended) {
			found = append(found, fmt.Sprintf("engine %d has cut off %s, which was not read", r.Engine, r.ID))
		}
	}
	for _, f := range rec.Faults {
		if f.Kind == KindSlowReaders {
			found = append(found, rec.besideSlowReaders(f)...)
		}
	}
	return found
}

func (rec *Record) besideSlowReaders(slow Struck) (found []string) {
	asked, served := 0, 0
	for i := range rec.Calls {
		c := &rec.Calls[i]
		during := c.Sent.After(slow.From.Add(settledAfter)) && c.Ended.Before(slow.To)
		isRevoked := slices.ContainsFunc(rec.Revoked, func(r Revoke) bool { return r.Key == c.Key })
		if !during || c.ReadSpeed > 0 || isRevoked || rec.othersThan(slow, c) {
			continue
		}
		asked++
		served += count(c.served())
	}
	if asked >= minBeside && float64(served) < minServed*float64(asked) {
		found = append(found, fmt.Sprintf("%d of %d requests were served beside slow callers", served, asked))
	}
	return found
}

// othersThan reports whether any fault but one, edits and reloads has struck anything during
// a call or shortly before.
func (rec *Record) othersThan(one Struck, c *Call) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		return f.Fault != one.Fault && !f.isEdit() && f.Kind != KindReload && f.overlaps(c.Sent.Add(-touchWindow), c.Ended)
	})
}
