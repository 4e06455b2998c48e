package membership

import (
	"fmt"
	"runtime"
	"testing"
)

func queuedChanges(hosts int) changes {
	c := newChanges()
	for i := range hosts {
		c.put(HostID(fmt.Sprint("host-", i)), i%3 == 0)
	}
	return c
}

// Guards against updates that are sent too seldom, or twice in a message, and
// against urgent ones that wait for others.
func TestEveryChangeIsSentEquallyOften(t *testing.T) {
	const hosts, perMessage = 30, 8
	c := queuedChanges(hosts)
	c.put("host-1", true)
	c.put("host-1", true)
	sent := map[HostID]int{}
	urgentLeft := sendsPerChange * (hosts/3 + 1)
	for ids := c.take(perMessage); len(ids) > 0; ids = c.take(perMessage) {
		inMessage := map[HostID]bool{}
		for _, id := range ids {
			var i int
			_, _ = fmt.Sscanf(string(id), "host-%d", &i)
			if inMessage[id] {
				t.Fatalf("%s is in one message twice", id)
			}
			if i%3 == 0 || i == 1 {
				urgentLeft--
			} else if urgentLeft > perMessage {
				t.Fatalf("%s is sent before %d urgent ones", id, urgentLeft)
			}
			inMessage[id] = true
			sent[id]++
		}
	}
	for i := range hosts {
		if n := sent[HostID(fmt.Sprint("host-", i))]; n != sendsPerChange {
			t.Errorf("host-%d was sent %d times, want %d", i, n, sendsPerChange)
		}
	}
}

// Guards against messages whose cost grows with the number of updates that wait to
// be sent: while a fleet starts, every host has an update.
func TestTakingChangesDoesNotLookAtAll(t *testing.T) {
	allocated := func(hosts int) uint64 {
		const calls = 50
		c := queuedChanges(hosts)
		c.take(1)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range calls {
			c.take(8)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / calls
	}
	few, many := allocated(200), allocated(2000)
	if many > 2*few {
		t.Errorf("a message takes %d bytes with 2000 updates, %d with 200", many, few)
	}
}
