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

// suspected is the request of the tests.
const suspected units.Fingerprint = 1

// newsOf returns an entry's poll with news of the request.
func newsOf(c *coordinator, entry string, life units.Life, ran bool) *messages.EntryPoll {
	return &messages.EntryPoll{
		Entry:       entry,
		Incarnation: 1,
		Serving:     true,
		WallNs:      time.Now().UnixNano(),
		Leadership:  c.quarantines.leadership,
		Losses: []*messages.UpstreamLoss{{
			Request: uint64(suspected),
			Life:    uint64(life),
			Ran:     ran,
		}},
	}
}

// hearNews gives a leader a poll's news and lets it judge later.
func hearNews(t *testing.T, c *coordinator, now time.Time, poll *messages.EntryPoll) {
	t.Helper()
	if err := c.quarantines.hear(now, poll); err != nil {
		t.Fatal(err)
	}
	for _, at := range []time.Duration{quarantiner.Settle, 2 * quarantiner.Settle} {
		if err := c.quarantines.work(now.Add(at)); err != nil {
			t.Fatal(err)
		}
	}
}

// quarantinedBy returns what a poll of an entry that knows nothing is told.
func quarantinedBy(c *coordinator) []units.Fingerprint {
	response := c.poll(&messages.EntryPoll{Entry: "new", Incarnation: 1, Serving: true})
	var told []units.Fingerprint
	for _, m := range response.GetQuarantines().GetRequests() {
		told = append(told, units.Fingerprint(m.GetRequest()))
	}
	return told
}

// Guards against a request that ends upstreams behind one entry after the other, each of which
// has seen one end.
func TestLeaderAddsUpWhatEntriesLost(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.leads(now)
	hearNews(t, c, now, newsOf(c, "e1", 11, false))
	if got := quarantinedBy(c); len(got) > 0 {
		t.Fatalf("after one loss: got %v quarantined, want none", got)
	}
	if got := c.poll(&messages.EntryPoll{Entry: "e2"}).GetSuspects().GetRequests(); !slices.Equal(got, []uint64{1}) {
		t.Errorf("suspects: got %v, want [1]", got)
	}
	hearNews(t, c, now.Add(time.Second), newsOf(c, "e2", 12, false))
	if got := quarantinedBy(c); !slices.Equal(got, []units.Fingerprint{1}) {
		t.Fatalf("after two entries' losses: got %v quarantined, want [1]", got)
	}
	if got := c.state.quarantines[1].GetStrikes(); got != 1 {
		t.Errorf("strikes: got %d, want 1", got)
	}
	if got := c.poll(&messages.EntryPoll{Entry: "e2", QuarantineNumber: c.state.quarantineNumber}); got.GetQuarantines() != nil {
		t.Errorf("told to an entry that knows: got %v, want nothing", got.GetQuarantines())
	}
	hearNews(t, c, now.Add(2*time.Second), newsOf(c, "e3", 13, false))
	if got := c.state.quarantines[1].GetStrikes(); got != 2 {
		t.Errorf("strikes after it ended one more: got %d, want 2", got)
	}
}

// Guards against a request that stays quarantined though it has run since.
func TestRequestThatRanIsReleased(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.leads(now)
	for life := range 2 {
		hearNews(t, c, now.Add(time.Duration(life)*time.Second), newsOf(c, "e1", units.Life(life+1), false))
	}
	if got := quarantinedBy(c); !slices.Equal(got, []units.Fingerprint{1}) {
		t.Fatalf("after two losses: got %v quarantined, want [1]", got)
	}
	hearNews(t, c, now.Add(4*time.Second), newsOf(c, "e2", 0, true))
	if got := quarantinedBy(c); len(got) > 0 {
		t.Errorf("after it has run: got %v quarantined, want none", got)
	}
}

// Guards against a request that stays quarantined since the news that it has run came while the
// verdict was being committed.
func TestRunDuringTheVerdictReleasesARequest(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.leads(now)
	for life := range 2 {
		if err := c.quarantines.hear(now, newsOf(c, "e1", units.Life(life+1), false)); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(quarantiner.Settle)
	if err := c.quarantines.work(now); err != nil {
		t.Fatal(err)
	}
	if err := c.quarantines.hear(now.Add(time.Millisecond), newsOf(c, "e2", 0, true)); err != nil {
		t.Fatal(err)
	}
	if err := c.quarantines.work(now.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if got := quarantinedBy(c); len(got) > 0 {
		t.Errorf("after it has run: got %v quarantined, want none", got)
	}
}

// Guards against a new leader that takes entries to have told it what they told the one before.
func TestNewsIsToldToEachLeadership(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.leads(now)
	before := newsOf(c, "e1", 11, false)
	response := c.poll(&messages.EntryPoll{Entry: "e1"})
	if got, want := response.GetLeadership(), before.GetLeadership(); got != want || got == 0 {
		t.Fatalf("leadership: got %d, want %d", got, want)
	}
	c.quarantines.begin()
	hearNews(t, c, now, before)
	if got, _ := c.quarantines.weigher.Suspects(); len(got) > 0 {
		t.Errorf("suspects by news for another leadership: got %v, want none", got)
	}
	if got := c.poll(&messages.EntryPoll{Entry: "e1"}).GetLeadership(); got == before.GetLeadership() {
		t.Error("leadership: got the same one again, want another")
	}
}

// Guards against a quarantine that is lost with a leader, a snapshot or a restart, and against a
// record that grows for ever.
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

// Guards against a record of quarantines that grows for ever.
func TestQuarantinesAreBounded(t *testing.T) {
	s := newState()
	for n := range 2 * mostQuarantines {
		s.apply(&messages.Command{Change: &messages.Command_Quarantine{Quarantine: &messages.Quarantine{
			Request: uint64(n + 1),
			Strikes: 1,
			UntilNs: int64(n + 1),
		}}})
	}
	if got := len(s.quarantines); got != mostQuarantines {
		t.Errorf("quarantines: got %d, want %d", got, mostQuarantines)
	}
	if s.quarantines[2*mostQuarantines] == nil || s.quarantines[1] != nil {
		t.Error("kept: got the one that ends first, want those that last longer")
	}
}

// Guards against a request that is tried again and again at the same pace, and against one that
// is never tried again.
func TestQuarantinesLastLonger(t *testing.T) {
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
			if got := quarantineFor(c.strikes); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
