package daemon

import (
	"context"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// hostListInterval is the mean interval between reads of the platform's
	// list of hosts. It grows by hostListPerHost with each listed host, so that
	// the total bytes read per second stay constant: with 360 hosts, the
	// interval is 11 s and there are 33 reads per second.
	hostListInterval = 4 * time.Second
	hostListPerHost  = 30 * time.Millisecond
	// hostListRetry is the mean interval between reads until the first one
	// succeeds.
	hostListRetry = time.Second
	// listLag is the maximum time for which the list may still show the state
	// of an earlier incarnation of a host.
	listLag = 30 * time.Second
)

// hostList is the platform's list of hosts as last read. It stays unchanged
// during an outage of the platform. It is safe for concurrent use.
type hostList struct {
	mu    sync.Mutex
	hosts map[string]platform.Host
	// draining is the previous result of changedDraining.
	draining []table.EndpointName
}

// update replaces the list and returns the hosts that have changed from live to
// leaving.
func (l *hostList) update(hosts []platform.Host) (leaving []platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.hosts
	l.hosts = make(map[string]platform.Host, len(hosts))
	for _, h := range hosts {
		l.hosts[h.ID] = h
		if h.State == platform.HostLeaving && previous[h.ID].State == platform.HostLive {
			leaving = append(leaving, h)
		}
	}
	return leaving
}

// peerAddresses returns the peer addresses of the listed hosts.
func (l *hostList) peerAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, h := range l.hosts {
		if h.PeerAddress != "" {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	return addresses
}

// liveDaemons returns the number of daemons that are listed as live.
func (l *hostList) liveDaemons() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.hosts {
		if h.State == platform.HostLive && h.PeerAddress != "" {
			n++
		}
	}
	return n
}

// isLeaving reports whether the host is listed as leaving.
func (l *hostList) isLeaving(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[id].State == platform.HostLeaving
}

// drainingEndpoints returns the endpoints of a table whose hosts are listed as
// leaving. They get no new grants. Hosts that run a daemon are excluded,
// because there the daemon's own drain is decisive.
func (l *hostList) drainingEndpoints(t *table.Table) []table.EndpointName {
	ips := l.leavingIPs()
	var names []table.EndpointName
	for i := range t.Endpoints {
		u, err := url.Parse(t.Endpoints[i].URL)
		if err == nil && ips[u.Hostname()] {
			names = append(names, t.Endpoints[i].Name)
		}
	}
	return names
}

// changedDraining returns drainingEndpoints and whether the result differs from
// the previous call.
func (l *hostList) changedDraining(t *table.Table) (names []table.EndpointName, changed bool) {
	names = l.drainingEndpoints(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = !slices.Equal(names, l.draining)
	l.draining = names
	return names, changed
}

func (l *hostList) leavingIPs() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ips := map[string]bool{}
	for _, h := range l.hosts {
		if h.State == platform.HostLeaving && h.PeerAddress == "" {
			ips[h.IP] = true
		}
	}
	return ips
}

// watchHostList reads the platform's list until ctx is done. The jitter
// prevents daemons that start at the same time from reading at the same time.
func (d *Daemon) watchHostList(ctx context.Context) {
	started := d.clock.Now()
	interval := hostListRetry
	for {
		hosts, err := d.platform.For(platform.UseHosts).Hosts(ctx)
		if err != nil {
			d.metrics.Inc("hosts.listFailed")
		} else {
			interval = max(hostListInterval, time.Duration(len(hosts))*hostListPerHost)
			d.applyHostList(hosts, started)
		}
		jitter := time.Duration((0.5 + rand.Float64()) * float64(interval))
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(jitter):
		}
	}
}

// applyHostList acts on a newly read list. A daemon whose host is listed as
// leaving drains itself. Because the list lags, it may still show the departure
// of an earlier incarnation. Therefore only the change from live to leaving
// counts, or a list that has shown nothing else for longer than listLag.
func (d *Daemon) applyHostList(hosts []platform.Host, started time.Time) {
	for _, h := range d.hostList.update(hosts) {
		if h.ID == d.settings.Host {
			d.logger.Info("the platform lists this host as leaving")
			d.Drain()
			continue
		}
		d.view.MarkListedLeaving(membership.HostID(h.ID))
	}
	if v := d.replica.Current(); v != nil {
		d.updateDraining(v.Table)
	}
	if d.hostList.isLeaving(d.settings.Host) && d.clock.Since(started) > listLag {
		d.Drain()
	}
}

// updateDraining excludes the endpoints on leaving hosts from new grants.
func (d *Daemon) updateDraining(t *table.Table) {
	if names, changed := d.hostList.changedDraining(t); changed {
		d.coordinator.SetDraining(names)
	}
}
