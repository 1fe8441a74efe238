package governor

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Guards against an entry that stays counted as partitioned after it reaches the service again or
// has stopped.
func TestLeaderCountsPartitionedEntries(t *testing.T) {
	c, _ := newLeaderWithUpstream(t)
	poll := func(entry string, serving, partitioned bool) {
		m := &messages.EntryPoll{Entry: entry, Incarnation: 1, Serving: serving}
		if partitioned {
			m.Unreached = []*messages.ServiceReach{{Service: "s", Partitioned: true, Unreached: 3, Present: 4}}
		}
		c.poll(m)
	}
	expect := func(when string, want int) {
		t.Helper()
		if got := c.reaches.countPartitioned("s"); got != want {
			t.Errorf("partitioned entries %s: got %d, want %d", when, got, want)
		}
	}
	poll("e1", true, true)
	poll("e2", true, true)
	poll("e3", true, false)
	expect("after their reports", 2)
	poll("e1", true, false)
	expect("after one reaches the service again", 1)
	poll("e2", false, true)
	expect("after the other has stopped", 0)
}
