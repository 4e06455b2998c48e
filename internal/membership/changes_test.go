package membership

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
)

func hostNumber(i int) HostID { return HostID(fmt.Sprint("host-", i)) }

func listedChanges(hosts int) changes {
	c := newChanges(1)
	for i := range hosts {
		c.put(hostNumber(i), "")
	}
	return c
}

// Guards against updates that a partner is not sent, or sent twice.
func TestEveryPartnerIsSentEachChangeOnce(t *testing.T) {
	const hosts, perMessage = 30, 8
	c := listedChanges(hosts)
	c.put(hostNumber(3), "")
	c.put(hostNumber(3), "")
	for _, partner := range []HostID{"a", "b"} {
		sent := map[HostID]int{}
		position := c.first
		for position < c.last {
			var ids []HostID
			ids, position = c.after(position, partner, perMessage)
			if len(ids) > perMessage {
				t.Fatalf("%d updates in one message, want at most %d", len(ids), perMessage)
			}
			for _, id := range ids {
				sent[id]++
			}
		}
		for i := range hosts {
			if n := sent[hostNumber(i)]; n != 1 {
				t.Errorf("%s was sent %s %d times, want 1", partner, hostNumber(i), n)
			}
		}
	}
}

// Guards against updates that return to the daemons from which they came.
func TestChangeIsNotSentToDaemonsThatSentIt(t *testing.T) {
	c := newChanges(1)
	c.put("x", "a")
	c.markKnown("x", "b")
	for partner, want := range map[HostID]int{"a": 0, "b": 0, "c": 1} {
		if ids, _ := c.after(c.first, partner, 8); len(ids) != want {
			t.Errorf("%s is sent %v, want %d updates", partner, ids, want)
		}
	}
	c.put("x", "")
	if ids, _ := c.after(c.first, "a", 8); len(ids) != 1 {
		t.Errorf("after a newer change, a is sent %v", ids)
	}
}

// Guards against a whole list for each new partner: while a fleet starts, partners
// change often. A position of an earlier incarnation is as unknown as none.
func TestNewPartnerIsSentRecentChangesOnly(t *testing.T) {
	c := newChanges(1000)
	for i := range 100 {
		c.put(hostNumber(i), "")
	}
	for _, position := range []Position{0, 999, c.last + 1} {
		ids, upTo := c.after(position, "a", 50)
		if len(ids) != recentChanges || !slices.Contains(ids, hostNumber(99)) || upTo != c.last {
			t.Errorf("after position %d: %v up to %d", position, ids, upTo)
		}
	}
}

// Guards against a list that grows with each change, and against messages whose cost
// grows with the number of hosts: while a fleet starts, every host has an update.
func TestChangesCostWhatHasChanged(t *testing.T) {
	const hosts = 50
	c := listedChanges(hosts)
	for i := range 100 * hosts {
		c.put(hostNumber(i%hosts), "")
	}
	if most := 3*hosts + recentChanges; len(c.log) > most {
		t.Errorf("%d entries for %d hosts, want at most %d", len(c.log), hosts, most)
	}
	allocated := func(hosts int) uint64 {
		const calls = 50
		c := listedChanges(hosts)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range calls {
			c.after(c.last-8, "a", 8)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / calls
	}
	few, many := allocated(200), allocated(2000)
	if many > 2*few {
		t.Errorf("a message takes %d bytes with 2000 hosts, %d with 200", many, few)
	}
}
