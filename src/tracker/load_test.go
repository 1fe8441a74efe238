package tracker

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// An engine reports a load that is 200 ms old and includes the calls that this entry had in
// flight then. If these were counted in addition to those in flight now, the entry would avoid an
// engine that only it uses. Only the calls of other entries may be added.
func TestReportCountsOwnCallsOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := &Tracker{
		Expiry: testExpiry,
	}
	first := announcement(1, 1, false)
	table.Step(now, Announced{Announcement: first})
	live := table.Find("ember-1").Local
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
	if got, want := table.Find("ember-1").Load.PeerCalls, 4; got != want {
		t.Errorf("calls of other entries: got %d, want %d", got, want)
	}
}
