package duty

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/truetime"
	"github.com/beechhead/beechhead/internal/usage"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// reportInterval is the interval at which a daemon reports. In between it
	// reports once, finalDelay after the end of a window, and what has changed each
	// changeInterval: a daemon that is killed takes with it what it has not sent.
	reportInterval = time.Second
	changeInterval = 300 * time.Millisecond
	// maxChangeHosts is the number of hosts up to which changes are sent in between.
	// In a larger fleet they would take the candidates too much of a processor.
	maxChangeHosts = 400
	finalDelay     = 100 * time.Millisecond
	// announceInterval is the interval at which the holder makes itself known.
	announceInterval = 400 * time.Millisecond
	// exchangeInterval is the interval between two checks of what is due.
	exchangeInterval = 50 * time.Millisecond
	// maxDatagram bounds the counts in one datagram, in bytes.
	maxDatagram = 900
	// recentWindows is the number of windows in each report, allWindows that in
	// the first report to a new candidate.
	recentWindows = 2
	allWindows    = 4
)

// Exchange sends this daemon's counts and demand to the hosts that may hold the
// lease, and receives those of others. It is safe for concurrent use.
type Exchange struct {
	Clock   clockwork.Clock
	Boot    boottime.Clock
	Time    *truetime.Clock
	Self    func() membership.Host
	Hosts   func() *membership.Snapshot
	Counter *usage.Counter
	Ledger  *usage.Ledger
	Demand  *autoscale.Meter
	Totals  *autoscale.Totals
	Tenure  *Tenure
	Send    func(addresses []string, r *peerv1.DutyReport)
	// Length is the length of a window.
	Length time.Duration

	mu          sync.Mutex
	lastReport  time.Duration
	lastWindow  usage.Window
	lastSample  time.Duration
	lastHolding time.Duration
	// sentTo are the candidates that the last report was sent to.
	sentTo []membership.HostID
	// sent holds the counts of the last report and the changes since, lastChange is
	// when changes were last sent.
	sent       map[usage.Window]usage.Counts
	lastChange time.Duration
	relay      relay
	// parts holds the datagrams of incomplete reports.
	parts assembly
}

// Run reports until ctx is cancelled.
func (x *Exchange) Run(ctx context.Context) {
	ticker := x.Clock.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			x.step()
		}
	}
}

func (x *Exchange) step() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Boot.Now()
	if now-x.lastSample >= time.Second {
		x.lastSample = now
		x.Time.Sample()
	}
	window := usage.WindowOf(x.Time.Now()-finalDelay, x.Length)
	if now-x.lastReport >= reportInterval || window != x.lastWindow {
		x.lastReport, x.lastChange, x.lastWindow = now, now, window
		x.report()
	} else if now-x.lastChange >= changeInterval && x.Hosts().Len() <= maxChangeHosts {
		x.lastChange = now
		x.reportChanges()
	}
	if now-x.relay.last >= relayInterval {
		x.relay.last = now
		x.relayEnded()
	}
	if fence, ok := x.Tenure.Held(); ok && now-x.lastHolding >= announceInterval {
		x.lastHolding = now
		x.Send(x.others(), &peerv1.DutyReport{Host: string(x.Self().ID), Fence: fence})
	}
}

// Flush reports at once, before the daemon ends.
func (x *Exchange) Flush() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.report()
}

// report sends the counts to all candidates. The caller must hold the lock.
func (x *Exchange) report() {
	hosts := x.Hosts().Order(LeaseName).First(candidates)
	windows := recentWindows
	to := make([]membership.HostID, 0, len(hosts))
	for _, h := range hosts {
		to = append(to, h.ID)
		if !slices.Contains(x.sentTo, h.ID) {
			windows = allWindows
		}
	}
	x.sentTo = to
	self := x.Self()
	r := x.Counter.Report(windows)
	r.Source = usage.Source{Host: string(self.ID), Incarnation: self.Incarnation}
	demand := x.Demand.Snapshot()
	x.sent = r.Windows
	if slices.Contains(to, self.ID) {
		x.Ledger.Merge(r)
		x.Totals.Record(r.Host, r.Incarnation, x.Boot.Now(), demand)
	}
	for _, datagram := range encodeReport(r, demand) {
		x.Send(x.others(), datagram)
	}
}

// reportChanges sends the counts that have changed since they were last sent. The
// report does not state up to when it is complete, since the last one may be lost.
func (x *Exchange) reportChanges() {
	self := x.Self()
	r := x.Counter.Report(recentWindows)
	changes := usage.Report{
		Source: usage.Source{Host: string(self.ID), Incarnation: self.Incarnation},
		Since:  r.Since, Windows: map[usage.Window]usage.Counts{},
	}
	for number, counts := range r.Windows {
		if changed := counts.Changed(x.sent[number]); len(changed) > 0 {
			changes.Windows[number] = changed
		}
	}
	if len(changes.Windows) == 0 {
		return
	}
	x.sent = r.Windows
	if slices.Contains(x.sentTo, self.ID) {
		x.Ledger.Merge(changes)
	}
	for _, datagram := range encodeReport(changes, nil) {
		x.Send(x.others(), datagram)
	}
}

// others returns the peer addresses of the candidates, without this host.
func (x *Exchange) others() (addresses []string) {
	self := x.Self().ID
	for _, h := range x.Hosts().Order(LeaseName).First(candidates) {
		if h.ID != self {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	return addresses
}

// Receive handles a report of another daemon.
func (x *Exchange) Receive(m *peerv1.DutyReport) {
	if m.GetFence() > 0 {
		x.Tenure.Heard()
		return
	}
	r, demand := decodeReport(m)
	if !x.parts.complete(m) {
		r.Until = 0
	}
	x.Ledger.Merge(r)
	if len(demand) > 0 {
		x.Totals.Record(r.Host, r.Incarnation, x.Boot.Now(), demand)
	}
	x.Ledger.Forget(x.Time.Now() - ledgerTime)
}

// ledgerTime is how long the counts of a daemon that has ended are kept.
const ledgerTime = time.Minute

// encodeReport encodes a report in datagrams.
func encodeReport(r usage.Report, demand map[table.Pool]autoscale.Demand) (all []*peerv1.DutyReport) {
	head := func() *peerv1.DutyReport {
		return &peerv1.DutyReport{Host: r.Host, Incarnation: r.Incarnation, SinceMs: r.Since.Milliseconds()}
	}
	reserved := 0
	for pool := range demand {
		reserved += len(pool) + demandSize
	}
	m, size := head(), reserved
	for number, counts := range r.Windows {
		w := &peerv1.UsageWindow{Number: int64(number)}
		m.Windows = append(m.Windows, w)
		for account, n := range counts {
			if size > maxDatagram {
				all = append(all, m)
				w = &peerv1.UsageWindow{Number: int64(number)}
				m, size = head(), reserved
				m.Windows = append(m.Windows, w)
			}
			w.Counts = append(w.Counts, &peerv1.AccountCount{Account: string(account), Count: n})
			size += len(account) + countSize
		}
	}
	for pool, d := range demand {
		m.Demands = append(m.Demands, &peerv1.PoolDemand{
			Pool: string(pool), PrefillMs: d.PrefillMs, Placed: d.Placed, Running: d.Running, Waiting: d.Waiting,
		})
	}
	all = append(all, m)
	for i, m := range all {
		m.UntilMs, m.Part, m.Parts = r.Until.Milliseconds(), uint32(i), uint32(len(all))
	}
	return all
}

// countSize and demandSize are the sizes of a count and of a pool's demand in a
// datagram, without the names.
const (
	countSize  = 8
	demandSize = 32
)

func decodeReport(m *peerv1.DutyReport) (r usage.Report, demand map[table.Pool]autoscale.Demand) {
	r = usage.Report{
		Source:  usage.Source{Host: m.GetHost(), Incarnation: m.GetIncarnation()},
		Since:   time.Duration(m.GetSinceMs()) * time.Millisecond,
		Until:   time.Duration(m.GetUntilMs()) * time.Millisecond,
		Windows: map[usage.Window]usage.Counts{},
	}
	for _, w := range m.GetWindows() {
		counts := usage.Counts{}
		for _, c := range w.GetCounts() {
			counts[table.AccountName(c.GetAccount())] = c.GetCount()
		}
		r.Windows[usage.Window(w.GetNumber())] = counts
	}
	demand = map[table.Pool]autoscale.Demand{}
	for _, d := range m.GetDemands() {
		demand[table.Pool(d.GetPool())] = autoscale.Demand{PrefillMs: d.GetPrefillMs(), Placed: d.GetPlaced(), Running: d.GetRunning(), Waiting: d.GetWaiting()}
	}
	return r, demand
}
