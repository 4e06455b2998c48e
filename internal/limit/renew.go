package limit

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

// acquireTimeout is the timeout of one call to an owner.
const acquireTimeout = 500 * time.Millisecond

// owners returns the owner of each shard according to this daemon's view of the
// hosts.
func (k *Limiter) owners() [shardCount]membership.Host {
	hosts := k.view.Ready()
	k.mu.Lock()
	defer k.mu.Unlock()
	if hosts == k.readyHosts {
		return k.shardOwners
	}
	k.readyHosts = hosts
	for s := range shard(shardCount) {
		k.shardOwners[s], _ = s.owner(hosts.All())
	}
	return k.shardOwners
}

// incarnationOf returns the incarnation of a host.
func incarnationOf(h membership.Host) hostIncarnation {
	return hostIncarnation{id: h.ID, incarnation: h.Incarnation}
}

// Run refreshes slices at regular intervals until ctx ends.
func (k *Limiter) Run(ctx context.Context) {
	ticker := k.clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			k.Refresh(ctx)
		}
	}
}

// Refresh updates the demand estimates, requests the slices that are due, and
// deletes idle limits.
func (k *Limiter) Refresh(ctx context.Context) {
	shardOwners := k.owners()
	dueOwners := map[membership.HostID]membership.Host{}
	k.mu.Lock()
	now := k.clock.Now()
	for key, l := range k.limits {
		l.demand += smoothingFactor * (float64(l.arrivals) - l.demand)
		l.arrivals = 0
		l.peakInUse = max(l.inUse, l.peakInUse-1)
		if l.inUse == 0 {
			l.peakInUse = 0
		}
		h := shardOwners[shardOf(key)]
		due := l.isDue(key, now, incarnationOf(h))
		idle := now.Sub(l.lastUsed) > idleTimeout
		if idle && l.isUnused() && !due {
			delete(k.limits, key)
			continue
		}
		if due && h.ID != "" {
			dueOwners[h.ID] = h
		}
	}
	k.mu.Unlock()
	for _, h := range dueOwners {
		go k.callOwner(ctx, h)
	}
}

// requestNow requests slices from the owner of a limit immediately.
func (k *Limiter) requestNow(ctx context.Context, key Key) {
	h := k.owners()[shardOf(key)]
	if h.ID == "" {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.metrics.Inc("limit.noOwner")
		k.limits[key].resolveWaiters(key, k.clock.Now(), unanswered, true)
		return
	}
	// The call covers other requests as well, so it must not end with this one.
	go k.callOwner(context.WithoutCancel(ctx), h)
}

// callOwner requests slices of all limits that a host owns. Only one call to an
// owner is in flight at a time; requests that arrive during a call are included
// in the next one.
func (k *Limiter) callOwner(ctx context.Context, h membership.Host) {
	k.mu.Lock()
	if k.inFlight[h.ID] {
		k.mu.Unlock()
		return
	}
	k.inFlight[h.ID] = true
	k.mu.Unlock()
	for k.callOwnerOnce(ctx, h) {
	}
}

// callOwnerOnce makes one call and returns whether another must follow because
// requests arrived too late for this one. If not, it clears the owner's entry
// in inFlight. The late requests may need limits that the call did not include,
// so all limits of the owner are checked.
func (k *Limiter) callOwnerOnce(ctx context.Context, h membership.Host) (again bool) {
	shardOwners := k.owners()
	k.mu.Lock()
	sent := k.clock.Now()
	wants := k.sliceRequests(h, &shardOwners, sent)
	k.sequence++
	self := k.view.Self()
	holder := Holder{Host: self.ID, Incarnation: self.Incarnation, Sequence: k.sequence}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var granted []int
	answered := true
	if len(wants) > 0 {
		granted, answered = k.acquireSlices(ctx, h, holder, wants)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !answered {
		k.metrics.Inc("limit.ownerSilent")
	}
	for i, w := range wants {
		n := 0
		if answered && i < len(granted) {
			n = granted[i]
		}
		k.handleResponse(w.Key, sent, n, answered)
	}
	k.inFlight[h.ID] = k.hasUnrequested(h.ID, &shardOwners)
	return k.inFlight[h.ID]
}

// hasUnrequested reports whether requests wait for limits of an owner that no
// call has included.
func (k *Limiter) hasUnrequested(id membership.HostID, shardOwners *[shardCount]membership.Host) bool {
	for key, l := range k.limits {
		if shardOwners[shardOf(key)].ID == id && l.hasUnrequested() {
			return true
		}
	}
	return false
}

// sliceRequests returns the slice requests for the owner's limits that are due
// or have waiting requests, and marks those requests as requested.
func (k *Limiter) sliceRequests(h membership.Host, shardOwners *[shardCount]membership.Host, now time.Time) []SliceRequest {
	var wants []SliceRequest
	for key, l := range k.limits {
		if shardOwners[shardOf(key)].ID != h.ID {
			continue
		}
		if len(l.waiters) == 0 && !l.isDue(key, now, incarnationOf(h)) {
			continue
		}
		for _, w := range l.waiters {
			w.requested = true
		}
		want := l.sliceRequest(key, now)
		l.lastReport = report{owner: incarnationOf(h), request: want, sentAt: now}
		wants = append(wants, want)
	}
	return wants
}

// handleResponse applies the owner's response for one limit.
func (k *Limiter) handleResponse(key Key, sent time.Time, granted int, answered bool) {
	l := k.limits[key]
	if l == nil {
		return
	}
	now := k.clock.Now()
	if !answered {
		// The call may not have reached the owner, so the limit is reported
		// again at the next refresh.
		l.lastReport = report{}
		l.resolveWaiters(key, now, unanswered, false)
		return
	}
	l.applySlice(key, sent, granted)
	l.resolveWaiters(key, now, refused, false)
}

// applySlice sets the granted slice. It expires SliceLifetime after the call
// was sent, not after the response arrived.
func (l *localLimit) applySlice(key Key, sent time.Time, granted int) {
	ends := sent.Add(SliceLifetime)
	if key.Kind == Concurrency {
		l.slice, l.expiresAt = granted, ends
		return
	}
	if granted > 0 {
		l.rateSlices = append(l.rateSlices, rateSlice{remaining: granted, expiresAt: ends})
	}
}

// resolveWaiters admits waiting requests as far as the slice allows and gives
// the fallback decision to the others that were requested. Requests that
// arrived after the call was sent keep waiting, unless all is set.
func (l *localLimit) resolveWaiters(key Key, now time.Time, fallback decision, all bool) {
	var later []*waiter
	for _, w := range l.waiters {
		switch {
		case l.admit(key, now):
			w.result <- admitted
		case w.requested || all:
			w.result <- fallback
		default:
			later = append(later, w)
		}
	}
	l.waiters = later
}
