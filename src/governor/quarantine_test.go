package governor

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// suspectRequest is the request used in the tests.
const suspectRequest units.Fingerprint = 1

// lossPoll returns an entry's poll that reports a loss, or a run, of the request.
func lossPoll(c *coordinator, entry string, id units.IncarnationID, ran bool) *messages.EntryPoll {
	return &messages.EntryPoll{
		Entry:       entry,
		Incarnation: 1,
		Serving:     true,
		WallNs:      time.Now().UnixNano(),
		Leadership:  c.quarantines.leadership,
		Losses: []*messages.UpstreamLoss{{
			Request: uint64(suspectRequest),
			Life:    uint64(id),
			Ran:     ran,
		}},
	}
}

// receiveLosses passes a poll's losses to a leader and has it evaluate them after the settle
// time.
func receiveLosses(t *testing.T, c *coordinator, now time.Time, poll *messages.EntryPoll) {
	t.Helper()
	if err := c.quarantines.record(now, poll); err != nil {
		t.Fatal(err)
	}
	for _, at := range []time.Duration{quarantiner.SettleDelay, 2 * quarantiner.SettleDelay} {
		if err := c.quarantines.tick(now.Add(at)); err != nil {
			t.Fatal(err)
		}
	}
}

// quarantinesSent returns the quarantines in the response to an entry that has none yet.
func quarantinesSent(c *coordinator) []units.Fingerprint {
	response := c.poll(&messages.EntryPoll{Entry: "new", Incarnation: 1, Serving: true})
	var sent []units.Fingerprint
	for _, m := range response.GetQuarantines().GetRequests() {
		sent = append(sent, units.Fingerprint(m.GetRequest()))
	}
	return sent
}

// Guards against a request that terminates upstreams at one entry after another, each of which has
// seen only one loss.
func TestLeaderCombinesLossesOfEntries(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.isLeader(now)
	receiveLosses(t, c, now, lossPoll(c, "e1", 11, false))
	if got := quarantinesSent(c); len(got) > 0 {
		t.Fatalf("after one loss: got %v quarantined, want none", got)
	}
	if got := c.poll(&messages.EntryPoll{Entry: "e2"}).GetSuspects().GetRequests(); !slices.Equal(got, []uint64{1}) {
		t.Errorf("suspects: got %v, want [1]", got)
	}
	receiveLosses(t, c, now.Add(time.Second), lossPoll(c, "e2", 12, false))
	if got := quarantinesSent(c); !slices.Equal(got, []units.Fingerprint{1}) {
		t.Fatalf("after two entries' losses: got %v quarantined, want [1]", got)
	}
	if got := c.state.quarantines[1].GetStrikes(); got != 1 {
		t.Errorf("strikes: got %d, want 1", got)
	}
	if got := c.poll(&messages.EntryPoll{Entry: "e2", QuarantineNumber: c.state.quarantineNumber}); got.GetQuarantines() != nil {
		t.Errorf("quarantines sent to an entry that has them: got %v, want nothing", got.GetQuarantines())
	}
	receiveLosses(t, c, now.Add(2*time.Second), lossPoll(c, "e3", 13, false))
	if got := c.state.quarantines[1].GetStrikes(); got != 2 {
		t.Errorf("strikes after one more loss: got %d, want 2", got)
	}
}

// Guards against a request that stays quarantined although it has run since.
func TestRequestThatRanIsReleased(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.isLeader(now)
	for id := range 2 {
		receiveLosses(t, c, now.Add(time.Duration(id)*time.Second), lossPoll(c, "e1", units.IncarnationID(id+1), false))
	}
	if got := quarantinesSent(c); !slices.Equal(got, []units.Fingerprint{1}) {
		t.Fatalf("after two losses: got %v quarantined, want [1]", got)
	}
	receiveLosses(t, c, now.Add(4*time.Second), lossPoll(c, "e2", 0, true))
	if got := quarantinesSent(c); len(got) > 0 {
		t.Errorf("after a run: got %v quarantined, want none", got)
	}
}

// Guards against a request that stays quarantined because its run was reported while the
// verdict was being committed.
func TestRunWhileQuarantineIsCommittedReleasesRequest(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.isLeader(now)
	for id := range 2 {
		if err := c.quarantines.record(now, lossPoll(c, "e1", units.IncarnationID(id+1), false)); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(quarantiner.SettleDelay)
	if err := c.quarantines.tick(now); err != nil {
		t.Fatal(err)
	}
	if err := c.quarantines.record(now.Add(time.Millisecond), lossPoll(c, "e2", 0, true)); err != nil {
		t.Fatal(err)
	}
	if err := c.quarantines.tick(now.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if got := quarantinesSent(c); len(got) > 0 {
		t.Errorf("after a run: got %v quarantined, want none", got)
	}
}

// Guards against a new leader that treats reports to its predecessor as reports to itself.
func TestLossesReportedToEarlierLeadershipAreIgnored(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.isLeader(now)
	earlier := lossPoll(c, "e1", 11, false)
	response := c.poll(&messages.EntryPoll{Entry: "e1"})
	if got, want := response.GetLeadership(), earlier.GetLeadership(); got != want || got == 0 {
		t.Fatalf("leadership: got %d, want %d", got, want)
	}
	c.quarantines.startLeadership()
	receiveLosses(t, c, now, earlier)
	if got, _ := c.quarantines.detector.Suspects(); len(got) > 0 {
		t.Errorf("suspects by losses reported to an earlier leadership: got %v, want none", got)
	}
	if got := c.poll(&messages.EntryPoll{Entry: "e1"}).GetLeadership(); got == earlier.GetLeadership() {
		t.Error("leadership: got that of the earlier leadership, want a new one")
	}
}

// Guards against a quarantine that is lost with a leader, a snapshot or a restart, and
// against a record of quarantines that grows without bound.
func TestQuarantinesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := newState(), newState()
		want := make(map[uint64]bool)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			m := &messages.Quarantine{
				Request:  rapid.Uint64Range(1, 8).Draw(t, "request"),
				Strikes:  1,
				UntilNs:  rapid.Int64Range(1, 100).Draw(t, "until"),
				Released: rapid.IntRange(0, 3).Draw(t, "released") == 0,
			}
			want[m.GetRequest()] = !m.GetReleased()
			command := &messages.Command{Change: &messages.Command_Quarantine{Quarantine: m}}
			direct.apply(command)
			restored.apply(command)
			if rapid.Bool().Draw(t, "snapshot") {
				content, err := restored.snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored = newState()
				if err := restored.restore(content); err != nil {
					t.Fatal(err)
				}
			}
		}
		for request, held := range want {
			for name, s := range map[string]*state{"direct": direct, "restored": restored} {
				if got := s.quarantines[units.Fingerprint(request)] != nil; got != held {
					t.Fatalf("%s: request %d quarantined: got %t, want %t", name, request, got, held)
				}
			}
		}
		if got, want := restored.quarantineNumber, direct.quarantineNumber; got != want {
			t.Fatalf("number after snapshots: got %d, want %d", got, want)
		}
	})
}

// Guards against a record of quarantines that grows without bound.
func TestQuarantinesAreBounded(t *testing.T) {
	s := newState()
	for n := range 2 * maxQuarantines {
		s.apply(&messages.Command{Change: &messages.Command_Quarantine{Quarantine: &messages.Quarantine{
			Request: uint64(n + 1),
			Strikes: 1,
			UntilNs: int64(n + 1),
		}}})
	}
	if got := len(s.quarantines); got != maxQuarantines {
		t.Errorf("quarantines: got %d, want %d", got, maxQuarantines)
	}
	if s.quarantines[2*maxQuarantines] == nil || s.quarantines[1] != nil {
		t.Error("kept quarantines: got the one that ends first, want the later ones")
	}
}

// Guards against a request that is retried at the same pace forever, and against one that is
// never retried.
func TestQuarantineDurationDoubles(t *testing.T) {
	cases := map[string]struct {
		strikes uint32
		want    time.Duration
	}{
		"the first":  {strikes: 1, want: 10 * time.Minute},
		"the second": {strikes: 2, want: 20 * time.Minute},
		"the fourth": {strikes: 4, want: 80 * time.Minute},
		"the last":   {strikes: 1 << 31, want: 24 * time.Hour},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := quarantineDuration(c.strikes); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
