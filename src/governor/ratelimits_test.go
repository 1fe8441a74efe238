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

// newLeaderWithUpstream returns a leader that has one upstream in its table, and the
// upstream's incarnation.
func newLeaderWithUpstream(t *testing.T) (*coordinator, units.IncarnationID) {
	t.Helper()
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.isLeader(now)
	c.configuration = &matcher.Configuration{}
	c.table.Record(now, enroller.Registration{
		ID:          "u",
		Service:     "s",
		Address:     "x",
		State:       enroller.Ready,
		Incarnation: 1,
		Sequence:    1,
	}, 0)
	return c, units.NewIncarnationID("u", 1)
}

// limitsPoll returns an entry's poll that reports the given limits and requests permits.
func limitsPoll(c *coordinator, entry string, id units.IncarnationID, limits []*messages.UpstreamLimit) *messages.EntryPoll {
	return &messages.EntryPoll{
		Entry:         entry,
		Incarnation:   1,
		Serving:       true,
		WallNs:        time.Now().UnixNano(),
		Leadership:    c.quarantines.leadership,
		LimitsVersion: c.rateLimits.allocator.Version(),
		Limits:        limits,
		Wants: []*messages.UpstreamCalls{{
			Life:  uint64(id),
			Calls: 5,
		}},
	}
}

func permittedCalls(r *messages.EntryPollResponse) int {
	count := 0
	for _, permit := range r.GetPermits() {
		count += int(permit.GetCalls())
	}
	return count
}

// Guards against a limit that only the entry knows that received it, and against permits for
// more calls than the upstream accepts.
func TestLeaderDistributesLimit(t *testing.T) {
	c, id := newLeaderWithUpstream(t)
	stated := []*messages.UpstreamLimit{{Life: uint64(id), Stated: true, Rate: 1}}
	if got := c.poll(limitsPoll(c, "e1", id, stated)); len(got.GetLimits().GetLimits()) != 1 {
		t.Fatalf("limits sent to the entry that reported it: got %v, want one", got.GetLimits())
	}
	if got := c.poll(limitsPoll(c, "e2", id, nil)); got.GetLimits() != nil {
		t.Errorf("limits sent to an entry that has them: got %v, want nothing", got.GetLimits())
	}
	outdated := limitsPoll(c, "e3", id, nil)
	outdated.LimitsVersion = 0
	if got := c.poll(outdated); len(got.GetLimits().GetLimits()) != 1 {
		t.Errorf("limits sent to an entry that lacks them: got %v, want one", got.GetLimits())
	}
	granted := 0
	for range 50 {
		for _, entry := range []string{"e1", "e2", "e3"} {
			granted += permittedCalls(c.poll(limitsPoll(c, entry, id, nil)))
		}
	}
	if granted > 2 {
		t.Errorf("permits without a pause at a limit of 1 per second: got %d, want at most 2", granted)
	}
}

// Guards against a leader that records reports meant for its predecessor, and against limits
// of upstreams that are gone.
func TestLimitsEndWithLeadershipOrUpstream(t *testing.T) {
	c, id := newLeaderWithUpstream(t)
	stated := []*messages.UpstreamLimit{{Life: uint64(id), Stated: true, Rate: 1}}
	earlier := limitsPoll(c, "e1", id, stated)
	c.quarantines.startLeadership()
	c.rateLimits.startLeadership()
	c.poll(earlier)
	if limits, _ := c.rateLimits.allocator.Limits(); len(limits) > 0 {
		t.Errorf("limits by a report to an earlier leadership: got %v, want none", limits)
	}
	c.poll(limitsPoll(c, "e1", id, stated))
	if limits, _ := c.rateLimits.allocator.Limits(); len(limits) != 1 {
		t.Fatalf("limits: got %v, want one", limits)
	}
	now := timekeeper.Now()
	c.table.Record(now, enroller.Registration{
		ID:          "u",
		Service:     "s",
		Address:     "x",
		State:       enroller.Ready,
		Incarnation: 2,
		Sequence:    1,
	}, 0)
	c.rateLimits.tick(now)
	if limits, _ := c.rateLimits.allocator.Limits(); len(limits) > 0 {
		t.Errorf("limits after the upstream has restarted: got %v, want none", limits)
	}
}
