package placement

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

// Guards against a lost request and a slot granted twice when the coordinator fails
// while one request runs and another waits. The next coordinator must learn of the
// slot in use from the entry daemons.
func TestNewCoordinatorLearnsWhatIsHeld(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	entry, other := ranked[1], ranked[2]
	held := s.awaitGrant(s.reserve(entry))
	waiting := s.reserve(other)
	s.assertWaiting(waiting, "while the only slot is taken")
	s.kill(ranked[0])
	s.run(3 * time.Second)
	s.assertWaiting(waiting, "by a coordinator that does not know which slots are taken")
	held.Release(released)
	s.run(100 * time.Millisecond)
	s.awaitGrant(waiting)
}

// Guards against waiting requests that stay behind when another host becomes
// coordinator, here because the first one starts to leave.
func TestWaitingMovesWhenCoordinatorLeaves(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	held := s.awaitGrant(s.reserve(ranked[1]))
	waiting := s.reserve(ranked[2])
	leaving := ranked[0]
	leaving.info.State = membership.Leaving
	leaving.info.Sequence++
	leaving.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	s.run(time.Second)
	s.assertWaiting(waiting, "while the only slot is taken")
	if got := leaving.coordinator.Status().Cells; len(got) != 0 {
		t.Errorf("the leaving coordinator still has %+v", got)
	}
	held.Release(released)
	s.run(100 * time.Millisecond)
	s.awaitGrant(waiting)
}

// Guards against a host being skipped because a single connection went silent while
// new ones work. The waiting request must be answered over a new connection to the
// same coordinator.
func TestSilentLinkIsReplacedBeforePeerIsSuspected(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	entry := ranked[1]
	for _, w := range entry.links {
		w.silent = true
	}
	call := s.reserve(entry)
	s.run(2 * time.Second)
	s.awaitGrant(call)
	if n := entry.metrics.Count("links.suspected"); n != 0 {
		t.Errorf("the peer was suspected %d times, want 0", n)
	}
	if n := entry.metrics.Count("links.silent"); n != 1 {
		t.Errorf("%d links were replaced, want 1", n)
	}
}

// Guards against an answer lost on a connection that goes silent after it has
// acknowledged the reservation. The keep-alive must detect this, and the answer must
// be repeated.
func TestLinkThatGoesSilentLaterIsFound(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	entry := ranked[1]
	held := s.awaitGrant(s.reserve(ranked[2]))
	waiting := s.reserve(entry)
	s.run(500 * time.Millisecond)
	for _, w := range entry.links {
		w.silent = true
	}
	held.Release(released)
	s.run(3 * time.Second)
	s.awaitGrant(waiting)
}

// Guards against a slot that stays taken because its release was lost with its
// connection. The report on the next connection must free it.
func TestReleaseLostWithLinkIsReported(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	entry := ranked[1]
	held := s.awaitGrant(s.reserve(entry))
	for _, w := range entry.links {
		w.silent = true
	}
	held.Release(released)
	s.run(100 * time.Millisecond)
	for _, w := range entry.links {
		w.close()
	}
	s.run(2 * time.Second)
	s.awaitGrant(s.reserve(ranked[2]))
}

// Guards against a request that waits forever after its host missed heartbeats,
// although its connections work, and the coordinator has dropped the host's state.
func TestForgottenHostReportsAgain(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	held := s.awaitGrant(s.reserve(ranked[2]))
	waiting := s.reserve(ranked[1])
	ranked[0].coordinator.DropHost(string(ranked[1].info.ID), ranked[1].info.Incarnation)
	held.Release(released)
	s.run(2 * time.Second)
	s.awaitGrant(waiting)
}

// Guards against losing the slot of a host that failed without releasing it. The slot
// must become free once the host's heartbeats have stopped.
func TestPlacesOfDeadHostComeBack(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	s.awaitGrant(s.reserve(ranked[2]))
	waiting := s.reserve(ranked[1])
	s.kill(ranked[2])
	s.assertWaiting(waiting, "before the dead host's heartbeats were missed")
	s.run(3 * time.Second)
	s.awaitGrant(waiting)
}

// Guards against a cancellation that overtakes its reservation when a caller gives
// up at once and both are sent in one batch: the slot would be granted to a request
// that no longer exists and never be released.
func TestCancelInOneBatchWithItsReserve(t *testing.T) {
	s := newCluster(t, 2)
	entry := s.ranked()[1]
	for range 3 {
		c := s.reserve(entry)
		c.cancel()
		<-c.done
		if c.grant != nil {
			c.grant.Release(released)
		}
	}
	s.run(time.Second)
	s.awaitGrant(s.reserve(entry))
}

// Guards against an isolated host using all slots while other hosts may also decide
// alone. It must use its share only and count its requests as degraded.
func TestHostAloneTakesItsShare(t *testing.T) {
	s := newCluster(t, 4)
	entry := s.ranked()[3]
	entry.cutOff = true
	s.run(4 * time.Second)
	s.awaitGrant(s.reserve(entry))
	if n := entry.metrics.Count("degraded"); n != 1 {
		t.Errorf("degraded counts %d, want 1", n)
	}
	if entry.placer.share != 4 {
		t.Errorf("share is %d, want 4", entry.placer.share)
	}
	entry.cutOff = false
	s.run(time.Second)
	if entry.placer.share != 1 {
		t.Errorf("share is %d after the host was reconnected, want 1", entry.placer.share)
	}
}

// Two hosts with different views of the members coordinate the same cell, so that a
// slot is granted twice. Each request must still get exactly one answer, and the slot
// must be free only after both releases.
func TestTwoCoordinatorsAtOnce(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	ranked[0].cutOff = true
	s.run(3 * time.Second)
	first := s.awaitGrant(s.reserve(ranked[0]))
	second := s.awaitGrant(s.reserve(ranked[1]))
	ranked[0].cutOff = false
	s.run(2 * time.Second)
	waiting := s.reserve(ranked[2])
	s.assertWaiting(waiting, "though the slot is granted twice")
	first.Release(released)
	s.run(100 * time.Millisecond)
	s.assertWaiting(waiting, "though the slot is still taken once")
	second.Release(released)
	s.run(100 * time.Millisecond)
	s.awaitGrant(waiting)
}

// Guards against a request that is never answered after it moved away from a
// coordinator and back over a slow link, so that its cancellation and its second
// reservation are in one batch. The cancellation must not apply to the second.
func TestRequestMovesAwayAndBackInOneBatch(t *testing.T) {
	s := newCluster(t, 3)
	ranked := s.ranked()
	entry := ranked[1]
	held := s.awaitGrant(s.reserve(ranked[2]))
	waiting := s.reserve(entry)
	for _, w := range entry.links {
		w.slow = w.to == ranked[0]
	}
	p := entry.placer
	p.mu.Lock()
	p.suspect(ranked[0].info.ID)
	p.rankingChanged = true
	p.reassign()
	delete(p.suspects, ranked[0].info.ID)
	p.rankingChanged = true
	p.reassign()
	p.mu.Unlock()
	for _, w := range entry.links {
		w.slow = false
	}
	s.run(300 * time.Millisecond)
	held.Release(released)
	s.run(time.Second)
	s.awaitGrant(waiting)
}

// Guards against the last host limiting itself to a share after the others have
// left on their own: it is not cut off, and no other host decides.
func TestLastHostTakesAllPlaces(t *testing.T) {
	s := newCluster(t, 3)
	for _, n := range s.nodes[1:] {
		n.info.State = membership.Leaving
		n.info.Sequence++
		n.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	}
	s.run(time.Second)
	for _, n := range s.nodes[1:] {
		s.kill(n)
	}
	s.run(4 * time.Second)
	if share := s.nodes[0].placer.share; share != 1 {
		t.Errorf("share is %d, want 1", share)
	}
	s.awaitGrant(s.reserve(s.nodes[0]))
}
