package tracker

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

const testExpiry = 3 * time.Second

// Guards against a late announcement that undoes the leaving state of an upstream that is being
// reclaimed, whose callers would get errors: the announcement is sent, overtaken by the one
// that marks the upstream as leaving, and arrives after it. Leaving ends the incarnation, so only
// a newer one counts.
func TestLateAnnouncementDoesNotReviveUpstream(t *testing.T) {
	cases := map[string]struct {
		late       *messages.Announcement
		wantUsable int
	}{
		"older announcement of the same incarnation": {
			late:       announcement(1, 1, false),
			wantUsable: 0,
		},
		"newer announcement of the same incarnation": {
			late:       announcement(1, 9, false),
			wantUsable: 0,
		},
		"restarted upstream": {
			late:       announcement(2, 1, false),
			wantUsable: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			table := &Tracker{
				Expiry: testExpiry,
			}
			table.Step(now, Announced{Announcement: announcement(1, 2, false)})
			table.Step(now, Announced{Announcement: announcement(1, 3, true)})
			table.Step(now, Announced{Announcement: c.late})
			if got, want := len(table.Usable()), c.wantUsable; got != want {
				t.Errorf("usable upstreams: got %d, want %d", got, want)
			}
		})
	}
}

// An upstream that has left and been removed must not come back by a message that was in
// transit until after its removal.
func TestForgottenUpstreamStaysGone(t *testing.T) {
	now := time.Unix(0, 0)
	table := &Tracker{
		Expiry: testExpiry,
	}
	table.Step(now, Announced{Announcement: announcement(1, 1, true)})
	now = now.Add(2 * testExpiry)
	table.Step(now, Ticked{})
	if got, want := len(table.All()), 0; got != want {
		t.Fatalf("known upstreams after expiry: got %d, want %d", got, want)
	}
	table.Step(now, Announced{Announcement: announcement(1, 2, false)})
	if got, want := len(table.Usable()), 0; got != want {
		t.Errorf("usable upstreams: got %d, want %d", got, want)
	}
}

// An upstream is removed for its silence; then one of its announcements arrives that was
// delayed in transit. It must not return by that one, or calls would go to a failed machine. It
// must return if it continues to announce itself, since the silence may have been a network
// partition.
func TestExpiredUpstreamReturnsAfterSteadyAnnouncements(t *testing.T) {
	now := time.Unix(0, 0)
	table := &Tracker{
		Expiry: testExpiry,
	}
	table.Step(now, Announced{Announcement: announcement(1, 1, false)})
	now = now.Add(2 * testExpiry)
	table.Step(now, Ticked{})
	table.Step(now, Announced{Announcement: announcement(1, 2, false)})
	if got, want := len(table.Usable()), 0; got != want {
		t.Errorf("usable upstreams after a late announcement: got %d, want %d", got, want)
	}
	for sequence := range uint64(8) {
		now = now.Add(200 * time.Millisecond)
		table.Step(now, Announced{Announcement: announcement(1, 3+sequence, false)})
	}
	if got, want := len(table.Usable()), 1; got != want {
		t.Errorf("usable upstreams after steady announcements: got %d, want %d", got, want)
	}
}

// More than half of a service's upstreams fall silent at once, which is more likely a fault on
// this side. Excluding all of them would refuse calls that they could serve; they stay in use
// until they expire. A single silent one is excluded.
func TestSuspectedMajorityStaysUsable(t *testing.T) {
	cases := map[string]struct {
		silent     int
		wantUsable int
	}{
		"one of four":   {silent: 1, wantUsable: 3},
		"three of four": {silent: 3, wantUsable: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			table := &Tracker{
				SuspicionTimeout: testExpiry / 2,
				Expiry:           testExpiry,
			}
			for round := range uint64(2) {
				for i := range 4 {
					a := announcement(1, round+1, false)
					a.Upstream = string(rune('a' + i))
					if round == 0 || i >= c.silent {
						table.Step(now, Announced{Announcement: a})
					}
				}
				now = now.Add(testExpiry/2 + 1)
				if round == 0 {
					now = now.Add(-2)
				}
			}
			table.Step(now.Add(-testExpiry/2), Ticked{})
			if got, want := len(table.Usable()), c.wantUsable; got != want {
				t.Errorf("usable upstreams: got %d, want %d", got, want)
			}
		})
	}
}

func announcement(incarnation, sequence uint64, leaving bool) *messages.Announcement {
	return &messages.Announcement{
		Upstream:        "ember-1",
		Service:         "ember-llm",
		Address:         "http://127.0.0.1:9000",
		Incarnation:     incarnation,
		Sequence:        sequence,
		Leaving:         leaving,
		LeavingWithinMs: 1000,
	}
}
