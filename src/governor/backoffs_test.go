package governor

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a leader that does not learn of back-offs, that goes on counting them after they
// are over, or that counts those of other services, unknown upstreams and earlier leaderships.
func TestLeaderCountsBackoffs(t *testing.T) {
	c, id := newLeaderWithUpstream(t)
	poll := func(entry string, lives ...uint64) {
		c.poll(&messages.EntryPoll{
			Entry:       entry,
			Incarnation: 1,
			Serving:     true,
			WallNs:      time.Now().UnixNano(),
			BackingOff:  lives,
		})
	}
	check := func(when string, service units.Service, want float64) {
		t.Helper()
		if got := c.backoffs.upstreams(timekeeper.Now(), service); got != want {
			t.Errorf("%s: got %v upstreams that back off, want %v", when, got, want)
		}
	}
	poll("e1", uint64(id), 12345)
	poll("e2")
	check("one of two entries", "s", 0.5)
	check("another service", "other", 0)
	poll("e2", uint64(id))
	check("both entries", "s", 1)
	poll("e1")
	poll("e2")
	check("after the back-off", "s", 0)
	poll("e1", uint64(id))
	c.leaderSince = time.Time{}
	c.isLeader(timekeeper.Now())
	check("new leadership", "s", 0)
}
