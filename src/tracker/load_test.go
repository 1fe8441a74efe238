package tracker

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// An engine reports a load that is 200 ms old and holds this entry's own calls
// of then. If they counted again beside those in flight now, the entry would shun
// an engine that only it uses; only what others have there may be added.
func TestReportCountsOwnCallsOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := &Tracker{
		Expiry: testExpiry,
	}
	first := announcement(1, 1, false)
	table.Step(now, Announced{Announcement: first})
	live := table.Find("ember-1").Live
	live.InFlight.Store(6)
	table.Step(now, Ticked{})
	now = now.Add(200 * time.Millisecond)
	live.InFlight.Store(1)
	table.Step(now, Ticked{})
	report := announcement(1, 2, false)
	report.Load = &messages.Load{
		Running: 9,
		Queued:  1,
		AgeMs:   200,
	}
	table.Step(now, Announced{Announcement: report})
	if got, want := table.Find("ember-1").Load.Others, 4; got != want {
		t.Errorf("calls of others: got %d, want %d", got, want)
	}
}
