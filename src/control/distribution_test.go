package control

import (
	"strings"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/configurator"
	"github.com/rosecroft/rosecroft/src/distributor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const testFence = 3 * time.Second

// newTestDistribution returns a leader's distribution with version 5 accepted and three
// entries in the view.
func newTestDistribution(now time.Time) *distribution {
	d := &distribution{
		state:   &configurationMachine{},
		proof:   distributor.Proof{LeaseDuration: testFence},
		entries: make(map[units.Instance]*entryState),
	}
	document := []byte("version: 5")
	d.state.Submit(&messages.Submission{
		Version:     5,
		Document:    document,
		ContentHash: configurator.Hash(document),
	})
	d.views = d.views.With(&messages.EntryView{
		Number: 1,
		Members: []*messages.EntryMember{
			{Entry: "e1", Incarnation: 1},
			{Entry: "e2", Incarnation: 1},
			{Entry: "e3", Incarnation: 1},
		},
	})
	d.Lead(now, 1)
	return d
}

func newHeartbeat(entry string, incarnation, version uint64) *messages.EntryHeartbeat {
	return &messages.EntryHeartbeat{
		Entry:          entry,
		Incarnation:    incarnation,
		VersionInForce: version,
		ViewNumber:     1,
	}
}

// Two entries have the accepted version, and the third may be behind, silent or ahead.
// The operator must see how many have the version, which do not and why. An entry
// without the version is counted as having it only once it must have stopped.
func TestStatusReportsWhoIsMissingAndWhy(t *testing.T) {
	cases := map[string]struct {
		third   *messages.EntryHeartbeat
		after   time.Duration
		inForce uint32
		reason  string
	}{
		"has it":                  {third: newHeartbeat("e3", 1, 5), after: time.Second, inForce: 3},
		"behind":                  {third: newHeartbeat("e3", 1, 4), after: 500 * time.Millisecond, inForce: 2, reason: "behind at version 4, heard"},
		"silent":                  {third: newHeartbeat("e3", 1, 4), after: 2 * time.Second, inForce: 2, reason: "behind at version 4, silent since 2s"},
		"silent beyond the fence": {third: newHeartbeat("e3", 1, 4), after: 4 * time.Second, inForce: 3, reason: "fenced since"},
		"never heard":             {after: time.Second, inForce: 2, reason: "not heard since this leader began"},
		"ahead of control":        {third: newHeartbeat("e3", 1, 6), after: 4 * time.Second, inForce: 2, reason: "ahead at version 6"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := newTestDistribution(now)
			d.recordHeartbeat(now, newHeartbeat("e1", 1, 5), true)
			d.recordHeartbeat(now, newHeartbeat("e2", 1, 5), true)
			if c.third != nil {
				d.recordHeartbeat(now, c.third, true)
			}
			d.Lead(now.Add(observeInterval), 1)
			now = now.Add(c.after)
			d.Lead(now, 1)
			status := &messages.Status{}
			d.addToStatus(now, status)
			if got, want := status.GetInForce(), c.inForce; got != want {
				t.Errorf("in force: got %d, want %d", got, want)
			}
			if got, want := status.GetEntries(), uint32(3); got != want {
				t.Errorf("entries: got %d, want %d", got, want)
			}
			reason := ""
			if len(status.GetMissing()) > 0 {
				reason = status.GetMissing()[0].GetReason()
			}
			if !strings.Contains(reason, c.reason) || c.reason == "" && reason != "" {
				t.Errorf("reason: got %q, want %q in it", reason, c.reason)
			}
		})
	}
}

// Only one of three entries has the accepted version and the others are silent. Those
// two are a majority that may continue to serve an older version, so they must never
// be counted as having the accepted one.
func TestSilentMajorityNeverCountsAsInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDistribution(now)
	d.recordHeartbeat(now, newHeartbeat("e1", 1, 5), true)
	d.recordHeartbeat(now, newHeartbeat("e2", 1, 4), true)
	d.recordHeartbeat(now, newHeartbeat("e3", 1, 4), true)
	for range 600 {
		now = now.Add(observeInterval)
		d.recordHeartbeat(now, newHeartbeat("e1", 1, 5), true)
		d.Lead(now, 1)
	}
	status := &messages.Status{}
	d.addToStatus(now, status)
	if got, want := status.GetInForce(), uint32(1); got != want {
		t.Errorf("in force: got %d, want %d", got, want)
	}
}

// An entry sends its heartbeat directly after its relay has failed, and then the relay
// delivers an older heartbeat of it. The older one must not replace the newer one.
func TestLateRelayedHeartbeatChangesNothing(t *testing.T) {
	cases := map[string]*messages.EntryHeartbeat{
		"older version":      newHeartbeat("e1", 2, 4),
		"earlier life":       newHeartbeat("e1", 1, 9),
		"earlier life, same": newHeartbeat("e1", 1, 5),
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := newTestDistribution(now)
			d.recordHeartbeat(now, newHeartbeat("e1", 2, 5), true)
			d.recordHeartbeat(now, late, false)
			held := d.entries["e1"].heartbeat
			if got, want := held.GetIncarnation(), uint64(2); got != want {
				t.Errorf("incarnation: got %d, want %d", got, want)
			}
			if got, want := held.GetVersionInForce(), uint64(5); got != want {
				t.Errorf("version: got %d, want %d", got, want)
			}
		})
	}
}

// An entry is counted as stopped, and then a view is committed of which it is the only
// member, so that it could serve again. The status must no longer report it as stopped.
func TestAnotherViewWithdrawsTheProof(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDistribution(now)
	d.recordHeartbeat(now, newHeartbeat("e1", 1, 5), true)
	d.recordHeartbeat(now, newHeartbeat("e2", 1, 5), true)
	d.recordHeartbeat(now, newHeartbeat("e3", 1, 4), true)
	for range 50 {
		now = now.Add(observeInterval)
		d.Lead(now, 1)
	}
	status := &messages.Status{}
	d.addToStatus(now, status)
	if got, want := status.GetInForce(), uint32(3); got != want {
		t.Fatalf("in force under the first view: got %d, want %d", got, want)
	}
	d.views = d.views.With(&messages.EntryView{
		Number: 2,
		Members: []*messages.EntryMember{
			{Entry: "e3", Incarnation: 1},
		},
	})
	for range 100 {
		now = now.Add(observeInterval)
		d.Lead(now, 1)
	}
	status = &messages.Status{}
	d.addToStatus(now, status)
	if got, want := status.GetInForce(), uint32(0); got != want {
		t.Errorf("in force under the second view: got %d, want %d", got, want)
	}
}
