package daemon

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/beechhead/beechhead/internal/control"
	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// pushTimeout is the maximum time that an edit waits for hosts to confirm
	// it; propagationTimeout is the part of it for the propagation along the
	// rings.
	pushTimeout        = 2 * time.Second
	propagationTimeout = 1200 * time.Millisecond
	// maxConcurrentNotifications is the maximum number of hosts that are
	// notified at the same time.
	maxConcurrentNotifications = 16
	fetchTimeout               = 2 * time.Second
)

// buildPeers sets up the clients for other daemons.
func (d *Daemon) buildPeers() {
	meter := func(t *http.Transport) { metered(d.meter, control.PeerWire, t) }
	d.peers = peer.NewPool(d.secrets.PeerTLS, meter, connect.WithInterceptors(d.meter.Interceptor()))
	d.heartbeats = &heartbeat.Exchanger{
		Clock: d.clock,
		View:  d.view,
		Call: func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
			return d.peers.Client(address).Heartbeat(ctx, req)
		},
		CloseConnections: d.peers.CloseConnections,
		OnResponse:       d.handleHeartbeat,
		StoreAge:         d.replica.StoreAge,
		Seeds:            d.seeds,
		Load:             func() uint32 { return uint32(d.callerHandler.InProgress()) },
		Count:            d.metrics.Inc,
		Quarantine:       d.suspects,
	}
}

// seeds returns the peer addresses from the platform and the settings.
func (d *Daemon) seeds() []string {
	return slices.Concat(d.hostList.peerAddresses(), d.settings.Peers)
}

// handleHeartbeat processes the state that a daemon reported in its response to
// a heartbeat.
func (d *Daemon) handleHeartbeat(n membership.Update, sent time.Time, storeAge time.Duration) {
	if n.Host.TableVersion == 0 || n.Status != membership.Alive {
		return
	}
	if table.Version(n.Host.TableVersion) <= d.replica.Version() {
		d.replica.RecordPeerContact(sent, storeAge)
		return
	}
	// A response from the peer counts against staleness only once its version
	// is active here.
	go d.fetchTable(n.Host.PeerAddress)
}

func (d *Daemon) fetchTable(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := d.propagator.FetchFrom(ctx, address); err != nil {
		d.logger.Warn("table not fetched", "from", address, "error", err)
		return
	}
	d.propagator.Propagate(ctx, d.replica.Version())
}

// fetchFromPartners activates a version if a partner has it, and reports
// whether it did.
func (d *Daemon) fetchFromPartners(ctx context.Context, v table.Version) bool {
	for _, h := range d.view.Partners() {
		if table.Version(h.TableVersion) < v {
			continue
		}
		if err := d.propagator.FetchFrom(ctx, h.PeerAddress); err == nil && d.replica.Version() >= v {
			return true
		}
	}
	return false
}

// buildPropagator sets up the propagation of tables among the daemons.
func (d *Daemon) buildPropagator() {
	self := d.view.Self()
	d.propagator = &tablesync.Propagator{
		Replica: d.replica,
		Host:    string(self.ID),
		Partners: func() []string {
			var addresses []string
			for _, h := range d.view.Partners() {
				addresses = append(addresses, h.PeerAddress)
			}
			return addresses
		},
		Notify: func(ctx context.Context, address string, v table.Version) ([]string, error) {
			resp, err := d.peers.Client(address).PushTable(ctx, &peerv1.PushTableRequest{Version: uint64(v), Address: self.PeerAddress})
			return resp.GetHosts(), err
		},
		Fetch: func(ctx context.Context, address string, newerThan table.Version, whole bool) (tablesync.Update, error) {
			resp, err := d.peers.Client(address).FetchTable(ctx, &peerv1.FetchTableRequest{NewerThan: uint64(newerThan), Whole: whole})
			return tablesync.Update{
				Version:  table.Version(resp.GetVersion()),
				Data:     resp.GetTable(),
				Patches:  resp.GetPatches(),
				Checksum: resp.GetChecksum(),
			}, err
		},
		Count: d.metrics.Inc,
	}
}

// pushTable propagates a version. It returns the hosts on which the version is
// active and those that have not confirmed it.
func (d *Daemon) pushTable(ctx context.Context, v table.Version) (inForce, pending []string) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	inForce = d.propagate(ctx, v)
	var missing []membership.Host
	for _, h := range d.view.Hosts().All() {
		if !slices.Contains(inForce, string(h.ID)) {
			missing = append(missing, h)
		}
	}
	confirmed := d.notifyDirectly(ctx, v, missing)
	inForce = append(inForce, confirmed...)
	for _, h := range missing {
		if !slices.Contains(confirmed, string(h.ID)) {
			pending = append(pending, string(h.ID))
		}
	}
	return inForce, pending
}

// propagate propagates a version along the rings and leaves time to notify the
// hosts that this does not reach.
func (d *Daemon) propagate(ctx context.Context, v table.Version) []string {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	return d.propagator.Propagate(ctx, v)
}

// notifyDirectly notifies the given hosts, which the rings did not reach in
// time, of a version and returns those on which it is active.
func (d *Daemon) notifyDirectly(ctx context.Context, v table.Version, hosts []membership.Host) []string {
	var mu sync.Mutex
	var confirmed []string
	var g errgroup.Group
	g.SetLimit(maxConcurrentNotifications)
	for _, h := range hosts {
		g.Go(func() error {
			reached, err := d.propagator.Notify(ctx, h.PeerAddress, v)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && slices.Contains(reached, string(h.ID)) {
				confirmed = append(confirmed, string(h.ID))
			}
			return nil
		})
	}
	_ = g.Wait()
	return confirmed
}
