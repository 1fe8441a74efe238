package governor

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// slowdownsPoll returns an entry's poll with statements of one upstream.
func slowdownsPoll(c *coordinator, entry string, life units.IncarnationID, slowdown float32, statements uint32) *messages.EntryPoll {
	poll := &messages.EntryPoll{
		Entry:       entry,
		Incarnation: 1,
		Serving:     true,
		WallNs:      time.Now().UnixNano(),
		Leadership:  c.quarantines.leadership,
	}
	if statements > 0 {
		poll.Slowdowns = &messages.UpstreamSlowdowns{
			Lives:      []uint64{uint64(life)},
			Slowdowns:  []float32{slowdown},
			Statements: []uint32{statements},
		}
	}
	return poll
}

// Guards against an upstream on a slow machine that each entry has to discover by itself, and
// against one that is reported again at every poll.
func TestLeaderPoolsSlowdowns(t *testing.T) {
	c, id := newLeaderWithUpstream(t)
	for _, entry := range []string{"e1", "e2", "e3", "e4"} {
		c.poll(slowdownsPoll(c, entry, id, 1.7, 1))
	}
	got := c.poll(slowdownsPoll(c, "e5", id, 0, 0)).GetSlowdowns()
	if len(got.GetLives()) != 1 || got.GetLives()[0] != uint64(id) || got.GetSlowdowns()[0] != 1.7 {
		t.Fatalf("reported to an entry that has no statement: got %v, want a slowdown of 1.7", got)
	}
	again := slowdownsPoll(c, "e5", id, 0, 0)
	again.SlowdownsVersion = got.GetVersion()
	if got := c.poll(again).GetSlowdowns(); got != nil {
		t.Errorf("reported to an entry that knows it: got %v, want nothing", got)
	}
	other := slowdownsPoll(c, "e6", id, 0, 0)
	other.SlowdownsVersion = got.GetVersion()
	other.Leadership = c.quarantines.leadership + 1
	if got := c.poll(other).GetSlowdowns(); len(got.GetLives()) != 1 {
		t.Errorf("reported to an entry that knows another leadership's: got %v, want all", got)
	}
}

// Guards against lists of different lengths that crash the leader, and against slowdowns of
// upstreams that are gone.
func TestSlowdownsOfUpstreamsThatAreGone(t *testing.T) {
	c, id := newLeaderWithUpstream(t)
	malformed := slowdownsPoll(c, "e1", id, 1.7, 8)
	malformed.Slowdowns.Statements = nil
	c.poll(malformed)
	if got := c.slowdowns.pool.Reported(id); got != 0 {
		t.Errorf("by a malformed report: got %v, want nothing", got)
	}
	c.poll(slowdownsPoll(c, "e1", id, 1.7, 8))
	now := timekeeper.Now()
	c.slowdowns.tick(now)
	if got := c.slowdowns.pool.Reported(id); got == 0 {
		t.Error("while the upstream is there: got nothing, want its slowdown")
	}
	c.table.Record(now, enroller.Registration{
		ID:          "u",
		Service:     "s",
		Address:     "x",
		State:       enroller.Ready,
		Incarnation: 2,
		Sequence:    1,
	}, 0)
	c.slowdowns.tick(now.Add(2 * pruneInterval))
	if got := c.slowdowns.pool.Reported(id); got != 0 {
		t.Errorf("after the upstream has restarted: got %v, want nothing", got)
	}
}

// Guards against a plan that adds up times where it should add up what gets done, or that takes
// upstreams which state nothing for infinitely fast ones.
func TestCombinedSlowdown(t *testing.T) {
	c, id := newLeaderWithUpstream(t)
	if got := c.slowdowns.combined("s"); got != 0 {
		t.Errorf("without statements: got %v, want 0", got)
	}
	c.table.Record(timekeeper.Now(), enroller.Registration{
		ID:          "u2",
		Service:     "s",
		Address:     "y",
		State:       enroller.Ready,
		Incarnation: 1,
		Sequence:    1,
	}, 0)
	c.poll(slowdownsPoll(c, "e1", id, 2, 8))
	if got, want := c.slowdowns.combined("s"), 2/1.5; got != want {
		t.Errorf("one at half the speed, one unknown: got %v, want %v", got, want)
	}
	if got := c.slowdowns.combined("other"); got != 0 {
		t.Errorf("another service: got %v, want 0", got)
	}
}
