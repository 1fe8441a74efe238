package enroller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against an entry that keeps the previous leader's state: whatever heartbeats the two
// tables have received, merging the differences must bring the entry's table to the new leader's
// state.
func TestDifferencesSynchronizeTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const upstreamCount = 300
		now := time.Unix(1000, 0)
		leader := &Table{ID: 1, Interval: time.Second}
		entry := &Table{ID: 2, Interval: time.Second}
		for n := range rapid.IntRange(1, 400).Draw(t, "heartbeats") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "passes")) * time.Millisecond)
			r := Registration{
				ID:          units.Upstream(fmt.Sprint(rapid.IntRange(0, upstreamCount-1).Draw(t, "upstream"))),
				State:       State(rapid.IntRange(int(Ready), int(Gone)).Draw(t, "state")),
				Incarnation: 1,
				Sequence:    uint64(n + 1),
			}
			r.Address = string(r.ID)
			leader.Record(now, r, 0)
			if rapid.IntRange(0, 3).Draw(t, "heard") > 0 {
				entry.Record(now, r, 0)
			}
			leader.Expire(now)
		}
		changes, complete := leader.Differences(now, entry.Digest(), upstreamCount)
		if !complete {
			t.Fatal("differences: got too many, want all of them")
		}
		for _, m := range changes {
			entry.Merge(now, m)
		}
		for _, e := range leader.Upstreams() {
			got := entry.upstreams[e.ID]
			if got == nil && e.State == Gone {
				continue
			}
			if got == nil || got.State != e.State || got.State != Gone && got.Silent != e.Silent {
				t.Errorf("upstream %s: got %+v, want %+v", e.ID, got, e)
			}
		}
	})
}

// Guards against a new leader that sends whole tables to hundreds of entries.
func TestEqualTablesDifferInNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := &Table{ID: 1, Interval: time.Second}
	entry := &Table{ID: 2, Interval: time.Second}
	for i := range 3000 {
		r := Registration{
			ID:          units.Upstream(fmt.Sprint(i)),
			Address:     fmt.Sprint(i),
			State:       Ready,
			Incarnation: 1,
			Sequence:    1,
		}
		leader.Record(now, r, 0)
		r.Sequence += uint64(i % 3)
		entry.Record(now, r, 0)
	}
	const maxChanges = 256
	changes, complete := leader.Differences(now, entry.Digest(), maxChanges)
	if !complete || len(changes) > 0 {
		t.Errorf("differences of equal tables: got %d (complete %t), want none", len(changes), complete)
	}
	entry.MarkGone(now, "7", 1)
	changes, complete = leader.Differences(now, entry.Digest(), maxChanges)
	if !complete || len(changes) == 0 || len(changes) > 3*3000/digestBuckets {
		t.Errorf("differences in one upstream: got %d (complete %t), want those of one bucket", len(changes), complete)
	}
	if _, complete := leader.Differences(now, (&Table{}).Digest(), maxChanges); complete {
		t.Error("differences from an empty table: got complete, want too many")
	}
}
