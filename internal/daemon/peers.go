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
	// pushTimeout bounds how long an edit waits for hosts to confirm it;
	// spreadTimeout is the part of it for the spreading along the rings.
	pushTimeout   = 2 * time.Second
	spreadTimeout = 1200 * time.Millisecond
	// tellsAtOnce bounds the hosts told at the same time.
	tellsAtOnce  = 16
	fetchTimeout = 2 * time.Second
)

// buildPeers prepares the calls to other daemons.
func (d *Daemon) buildPeers() {
	meter := func(t *http.Transport) { metered(d.meter, control.PeerWire, t) }
	d.peers = peer.NewPool(d.secrets.PeerTLS, meter, connect.WithInterceptors(d.meter.Interceptor()))
	d.beats = &heartbeat.Exchanger{
		Clock: d.clock,
		View:  d.view,
		Call: func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
			return d.peers.Client(address).Heartbeat(ctx, req)
		},
		Replace:  d.peers.Replace,
		Heard:    d.heardPeer,
		StoreAge: d.keeper.StoreAge,
		Seeds:    d.seeds,
		Load:     func() uint32 { return uint32(d.front.InProgress()) },
		Count:    d.metrics.Inc,
		Suspects: d.suspects,
	}
}

// seeds returns the peer addresses that the platform and the settings name.
func (d *Daemon) seeds() []string {
	return slices.Concat(d.hostList.peerAddresses(), d.settings.Peers)
}

// heardPeer takes in what a daemon says that answered a heartbeat.
func (d *Daemon) heardPeer(n membership.News, sent time.Time, storeAge time.Duration) {
	if n.Host.TableVersion == 0 || n.Status != membership.Alive {
		return
	}
	if table.Version(n.Host.TableVersion) <= d.keeper.Version() {
		d.keeper.HeardPeer(sent, storeAge)
		return
	}
	// The peer keeps this daemon fresh only once its table is in force here.
	go d.fetchTable(n.Host.PeerAddress)
}

func (d *Daemon) fetchTable(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := d.spreader.FetchFrom(ctx, address); err != nil {
		d.logger.Warn("table not fetched", "from", address, "error", err)
		return
	}
	d.spreader.Spread(ctx, d.keeper.Version())
}

// fetchFromPartner puts a version in force if a partner has it.
func (d *Daemon) fetchFromPartner(ctx context.Context, v table.Version) bool {
	for _, h := range d.view.Partners() {
		if table.Version(h.TableVersion) < v {
			continue
		}
		if err := d.spreader.FetchFrom(ctx, h.PeerAddress); err == nil && d.keeper.Version() >= v {
			return true
		}
	}
	return false
}

// buildSpreader prepares the spreading of tables among the daemons.
func (d *Daemon) buildSpreader() {
	self := d.view.Self()
	d.spreader = &tablesync.Spreader{
		Keeper: d.keeper,
		Host:   string(self.ID),
		Partners: func() []string {
			var addresses []string
			for _, h := range d.view.Partners() {
				addresses = append(addresses, h.PeerAddress)
			}
			return addresses
		},
		Tell: func(ctx context.Context, address string, v table.Version) ([]string, error) {
			resp, err := d.peers.Client(address).PushTable(ctx, &peerv1.PushTableRequest{Version: uint64(v), Address: self.PeerAddress})
			return resp.GetHosts(), err
		},
		Fetch: func(ctx context.Context, address string, newerThan table.Version, whole bool) (tablesync.Fetched, error) {
			resp, err := d.peers.Client(address).FetchTable(ctx, &peerv1.FetchTableRequest{NewerThan: uint64(newerThan), Whole: whole})
			return tablesync.Fetched{
				Version: table.Version(resp.GetVersion()),
				Data:    resp.GetTable(),
				Patches: resp.GetPatches(),
				Sum:     resp.GetChecksum(),
			}, err
		},
		Count: d.metrics.Inc,
	}
}

// pushTable spreads a version and tells at which hosts it is in force.
func (d *Daemon) pushTable(ctx context.Context, v table.Version) (inForce, pending []string) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	inForce = d.spread(ctx, v)
	var missing []membership.Host
	for _, h := range d.view.Hosts().All() {
		if !slices.Contains(inForce, string(h.ID)) {
			missing = append(missing, h)
		}
	}
	confirmed := d.tellDirectly(ctx, v, missing)
	inForce = append(inForce, confirmed...)
	for _, h := range missing {
		if !slices.Contains(confirmed, string(h.ID)) {
			pending = append(pending, string(h.ID))
		}
	}
	return inForce, pending
}

// spread passes a version on along the rings, leaving time for those that it
// does not reach.
func (d *Daemon) spread(ctx context.Context, v table.Version) []string {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	return d.spreader.Spread(ctx, v)
}

// tellDirectly tells hosts of a version that the rings did not reach in time,
// and returns those that have it in force.
func (d *Daemon) tellDirectly(ctx context.Context, v table.Version, hosts []membership.Host) []string {
	var mu sync.Mutex
	var confirmed []string
	var g errgroup.Group
	g.SetLimit(tellsAtOnce)
	for _, h := range hosts {
		g.Go(func() error {
			reached, err := d.spreader.Tell(ctx, h.PeerAddress, v)
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
