package heartbeat

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// probeHosts sends heartbeats to up to n hosts that are not known to be running.
// This is how a daemon joins the fleet, and how the two sides of a network
// partition merge after it has healed.
func (x *Exchanger) probeHosts(ctx context.Context, n int) {
	addresses := x.probeCandidates()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(n, len(addresses))] {
		go x.Probe(ctx, address)
	}
}

// probeCandidates returns the peer addresses of the seeds and of the gone hosts
// that no known host has.
func (x *Exchanger) probeCandidates() []string {
	known := x.View.Hosts()
	candidates := x.Seeds()
	for _, h := range x.View.Gone().All() {
		candidates = append(candidates, h.PeerAddress)
	}
	seen := map[string]bool{"": true}
	var addresses []string
	for _, address := range candidates {
		if !seen[address] && !known.HasPeer(address) {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// probeRequest returns a heartbeat to a daemon of which nothing is known. It compares
// all hosts, unless this daemon knows none.
func (x *Exchanger) probeRequest() *peerv1.HeartbeatRequest {
	req := x.request()
	req.Suspects = x.suspects(true)
	if x.View.Hosts().Len() == 1 {
		req.Full = true
		return req
	}
	req.Versions = toUint64s(x.View.Versions())
	return req
}

// Probe sends a heartbeat to a daemon that may not be running.
func (x *Exchanger) Probe(ctx context.Context, address string) {
	if !x.startHeartbeat(address) {
		return
	}
	defer x.finishHeartbeat(address)
	alone := x.View.Hosts().Len() == 1
	sent, timeout := x.Clock.Now(), x.probeTimeoutOf(address)
	resp, err := x.exchange(ctx, address, timeout, x.probeRequest())
	if err != nil {
		x.CloseConnections(address)
	} else if len(resp.GetWanted()) > 0 {
		req := x.request()
		req.Changes = toInfos(x.View.Find(resp.GetWanted()))
		_, _ = x.exchange(ctx, address, timeout, req)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.incomplete = x.incomplete || alone && err == nil
	delete(x.probeTimeouts, address)
	if err != nil && x.Clock.Since(sent) >= timeout {
		x.probeTimeouts[address] = min(2*timeout, maxProbeTimeout)
	}
}

// probeTimeoutOf returns the timeout of the next probe of an address.
func (x *Exchanger) probeTimeoutOf(address string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.probeTimeouts == nil {
		x.probeTimeouts = map[string]time.Duration{}
	}
	return cmp.Or(x.probeTimeouts[address], probeTimeout)
}
