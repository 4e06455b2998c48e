package factsync

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// send sends datagrams, of which some are lost as set for the site.
func (d *simDaemon) send(addresses []string, b *peerv1.Beacon) error {
	if !d.reachable() {
		return nil
	}
	b, _ = proto.Clone(b).(*peerv1.Beacon)
	d.sent.Add(int64(len(addresses)) * int64(proto.Size(b)+datagramOverhead))
	for _, address := range addresses {
		i, err := strconv.Atoi(address)
		if err != nil || d.site.chance(d.site.loss) {
			continue
		}
		time.AfterFunc(hostDelay, func() {
			if to := d.site.daemon(i); to.reachable() {
				one, _ := proto.Clone(b).(*peerv1.Beacon)
				to.sync.OnBeacon(to.received(one))
			}
		})
	}
	return nil
}

// received returns a beacon as the daemon processes it.
func (d *simDaemon) received(b *peerv1.Beacon) *peerv1.Beacon {
	if !d.site.unverified {
		return b
	}
	own := d.holder.Summary()
	return &peerv1.Beacon{
		Host: b.GetHost(), Address: b.GetAddress(),
		ConfigVersion: uint64(own.Config), ConfigAsOf: b.GetConfigAsOf(),
		Changed: uint64(own.Changed), Position: b.GetPosition(), EndpointsAsOf: b.GetEndpointsAsOf(),
	}
}

// reach delivers a call to the daemon at an address and returns that daemon.
func (d *simDaemon) reach(ctx context.Context, address string) (*simDaemon, error) {
	i, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	if err := d.deliver(ctx, hostDelay); err != nil {
		return nil, err
	}
	to := d.site.daemon(i)
	to.mu.Lock()
	slow := to.slow
	to.mu.Unlock()
	return to, to.deliver(ctx, hostDelay+slow)
}

func (d *simDaemon) ask(ctx context.Context, address string, req *peerv1.FactsRequest) (*peerv1.FactsResponse, error) {
	to, err := d.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	to.answered.Add(1)
	resp := to.sync.Answer(req)
	return resp, to.transmit(ctx, len(resp.GetConfig())+endpointBytes*len(resp.GetEndpoints()))
}

// endpointBytes is the size of an endpoint in a response.
const endpointBytes = 64

// transmit waits until n bytes of configurations and lists have left the daemon's
// host.
func (d *simDaemon) transmit(ctx context.Context, n int) error {
	if n == 0 {
		return nil
	}
	now := time.Now()
	d.mu.Lock()
	if d.linkFree.Before(now) {
		d.linkFree = now
	}
	d.longestWait = max(d.longestWait, d.linkFree.Sub(now))
	d.linkFree = d.linkFree.Add(time.Duration(float64(n) / d.site.link(d.id) * float64(time.Second)))
	left := d.linkFree.Sub(now)
	d.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-bubbleclock.After(left):
		return nil
	}
}

func (d *simDaemon) heartbeat(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	to, err := d.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	resp := to.heartbeats.HandleHeartbeat(req)
	d.calls.Add(1)
	d.callBytes.Add(int64(proto.Size(req) + proto.Size(resp)))
	d.hostUpdates.Add(int64(len(req.GetChanges()) + len(resp.GetChanges())))
	return resp, nil
}
