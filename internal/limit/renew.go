package limit

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

// askTimeout bounds one call to an owner.
const askTimeout = 500 * time.Millisecond

// owners returns the owner of each shard, as this daemon sees the hosts.
func (k *Keeper) owners() [shards]membership.Host {
	hosts := k.view.Ready()
	k.mu.Lock()
	defer k.mu.Unlock()
	if hosts == k.ready {
		return k.ranked
	}
	k.ready = hosts
	for s := range shard(shards) {
		k.ranked[s], _ = s.owner(hosts.All())
	}
	return k.ranked
}

// runOf returns the incarnation of a host.
func runOf(h membership.Host) hostRun {
	return hostRun{id: h.ID, incarnation: h.Incarnation}
}

// Run tells owners what changes until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := k.clock.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			k.Review(ctx)
		}
	}
}

// Review tells the owners once what has changed, and forgets idle limits.
func (k *Keeper) Review(ctx context.Context) {
	ranked := k.owners()
	owners := map[membership.HostID]membership.Host{}
	k.mu.Lock()
	now := k.clock.Now()
	for key, l := range k.local {
		l.demand += smoothing * (float64(l.arrived) - l.demand)
		l.arrived = 0
		l.peak = max(l.inUse, l.peak-1)
		if l.inUse == 0 {
			l.peak = 0
		}
		h := ranked[shardOf(key)]
		due := l.isDue(key, now, runOf(h))
		idle := now.Sub(l.used) > idleAfter
		if idle && l.isUnused() && !due {
			delete(k.local, key)
			continue
		}
		if due && h.ID != "" {
			owners[h.ID] = h
		}
	}
	k.mu.Unlock()
	for _, h := range owners {
		go k.askOwner(ctx, h)
	}
}

// renew asks the owner of one limit at once.
func (k *Keeper) renew(ctx context.Context, key Key) {
	h := k.owners()[shardOf(key)]
	if h.ID == "" {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.metrics.Inc("limit.noOwner")
		k.local[key].answerAll(key, k.clock.Now(), unanswered, true)
		return
	}
	// The call serves other requests too, so it does not end with this one.
	go k.askOwner(context.WithoutCancel(ctx), h)
}

// askOwner asks one owner for slices of all its limits. While a call is on
// its way no other is sent; whoever came too late for it is asked for next.
func (k *Keeper) askOwner(ctx context.Context, h membership.Host) {
	k.mu.Lock()
	if k.asking[h.ID] {
		k.mu.Unlock()
		return
	}
	k.asking[h.ID] = true
	k.mu.Unlock()
	for k.askOnce(ctx, h) {
	}
}

// askOnce sends one call. It returns whether requests came too late for it;
// if not, the owner may be asked by others again. They may have come to limits
// that the call was not about, so that all of the owner's are looked at.
func (k *Keeper) askOnce(ctx context.Context, h membership.Host) (again bool) {
	ranked := k.owners()
	k.mu.Lock()
	sent := k.clock.Now()
	wants := k.wantsOf(h, &ranked, sent)
	k.sequence++
	self := k.view.Self()
	holder := Holder{Host: self.ID, Incarnation: self.Incarnation, Sequence: k.sequence}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var granted []int
	answered := true
	if len(wants) > 0 {
		granted, answered = k.ask(ctx, h, holder, wants)
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
		k.accept(w.Key, sent, n, answered)
	}
	k.asking[h.ID] = k.anyUnasked(h.ID, &ranked)
	return k.asking[h.ID]
}

// anyUnasked tells whether requests wait that no call to their owner was about.
func (k *Keeper) anyUnasked(id membership.HostID, ranked *[shards]membership.Host) bool {
	for key, l := range k.local {
		if ranked[shardOf(key)].ID == id && l.hasUnasked() {
			return true
		}
	}
	return false
}

// wantsOf returns the wants of the limits with that owner that wait or are due,
// and marks those who wait as asked for.
func (k *Keeper) wantsOf(h membership.Host, ranked *[shards]membership.Host, now time.Time) []Want {
	var wants []Want
	for key, l := range k.local {
		if ranked[shardOf(key)].ID != h.ID {
			continue
		}
		if len(l.waiting) == 0 && !l.isDue(key, now, runOf(h)) {
			continue
		}
		for _, w := range l.waiting {
			w.asked = true
		}
		want := l.want(key, now)
		l.told = told{owner: runOf(h), want: want, at: now}
		wants = append(wants, want)
	}
	return wants
}

// accept takes in the owner's answer for one limit.
func (k *Keeper) accept(key Key, sent time.Time, granted int, answered bool) {
	l := k.local[key]
	if l == nil {
		return
	}
	now := k.clock.Now()
	if !answered {
		// The owner may not know: it is told again at the next review.
		l.told = told{}
		l.answerAll(key, now, unanswered, false)
		return
	}
	l.take(key, sent, granted)
	l.answerAll(key, now, refused, false)
}

// take puts a slice in force, counted from before it was asked for.
func (l *local) take(key Key, sent time.Time, granted int) {
	ends := sent.Add(SliceLifetime)
	if key.Kind == Concurrency {
		l.slice, l.ends = granted, ends
		return
	}
	if granted > 0 {
		l.lots = append(l.lots, lot{left: granted, ends: ends})
	}
}

// answerAll admits those who wait as far as the slice goes and gives the rest
// of those who were asked for the other verdict, at once. Those who came later
// go on waiting, unless all is set.
func (l *local) answerAll(key Key, now time.Time, other verdict, all bool) {
	var later []*waiter
	for _, w := range l.waiting {
		switch {
		case l.admit(key, now):
			w.answer <- admitted
		case w.asked || all:
			w.answer <- other
		default:
			later = append(later, w)
		}
	}
	l.waiting = later
}
