package governor

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// limitedLeader returns a leader that knows one upstream, and its life.
func limitedLeader(t *testing.T) (*coordinator, units.Life) {
	t.Helper()
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.leads(now)
	c.declared = &matcher.Declaration{}
	c.table.Hear(now, enroller.Registration{
		ID:       "u",
		Service:  "s",
		Address:  "x",
		State:    enroller.Ready,
		Born:     1,
		Sequence: 1,
	}, 0)
	return c, units.LifeOf("u", 1)
}

// limitPoll returns an entry's poll that tells of a limit, or of none, and wants permits.
func limitPoll(c *coordinator, entry string, life units.Life, limits []*messages.UpstreamLimit) *messages.EntryPoll {
	return &messages.EntryPoll{
		Entry:         entry,
		Incarnation:   1,
		Serving:       true,
		WallNs:        time.Now().UnixNano(),
		Leadership:    c.quarantines.leadership,
		LimitsVersion: c.pacing.divider.Version(),
		Limits:        limits,
		Wants: []*messages.UpstreamCalls{{
			Life:  uint64(life),
			Calls: 5,
		}},
	}
}

func calls(r *messages.EntryPollResponse) int {
	count := 0
	for _, permit := range r.GetPermits() {
		count += int(permit.GetCalls())
	}
	return count
}

// Guards against a limit that stays with the entry that heard it, and permits for more than the
// upstream takes.
func TestLeaderHandsOutALimit(t *testing.T) {
	c, life := limitedLeader(t)
	stated := []*messages.UpstreamLimit{{Life: uint64(life), Stated: true, Rate: 1}}
	if got := c.poll(limitPoll(c, "e1", life, stated)); len(got.GetLimits().GetLimits()) != 1 {
		t.Fatalf("limits told to the entry that heard it: got %v, want one", got.GetLimits())
	}
	if got := c.poll(limitPoll(c, "e2", life, nil)); got.GetLimits() != nil {
		t.Errorf("limits told to an entry that knows them: got %v, want nothing", got.GetLimits())
	}
	unknowing := limitPoll(c, "e3", life, nil)
	unknowing.LimitsVersion = 0
	if got := c.poll(unknowing); len(got.GetLimits().GetLimits()) != 1 {
		t.Errorf("limits told to an entry that does not know them: got %v, want one", got.GetLimits())
	}
	granted := 0
	for range 50 {
		for _, entry := range []string{"e1", "e2", "e3"} {
			granted += calls(c.poll(limitPoll(c, entry, life, nil)))
		}
	}
	if granted > 2 {
		t.Errorf("permits at one moment at a limit of 1 a second: got %d, want at most 2", granted)
	}
}

// Guards against what an entry tells the leader before, which this one would take for its own,
// and against limits of upstreams that are gone.
func TestLimitsOfALeadership(t *testing.T) {
	c, life := limitedLeader(t)
	stated := []*messages.UpstreamLimit{{Life: uint64(life), Stated: true, Rate: 1}}
	before := limitPoll(c, "e1", life, stated)
	c.quarantines.begin()
	c.pacing.begin()
	c.poll(before)
	if limits, _ := c.pacing.divider.Limits(); len(limits) > 0 {
		t.Errorf("limits by news for another leadership: got %v, want none", limits)
	}
	c.poll(limitPoll(c, "e1", life, stated))
	if limits, _ := c.pacing.divider.Limits(); len(limits) != 1 {
		t.Fatalf("limits: got %v, want one", limits)
	}
	now := timekeeper.Now()
	c.table.Hear(now, enroller.Registration{
		ID:       "u",
		Service:  "s",
		Address:  "x",
		State:    enroller.Ready,
		Born:     2,
		Sequence: 1,
	}, 0)
	c.pacing.work(now)
	if limits, _ := c.pacing.divider.Limits(); len(limits) > 0 {
		t.Errorf("limits after the upstream has started anew: got %v, want none", limits)
	}
}
