package registrar

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
)

// TestMain fixes the seed of the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var testOptions = Options{
	SuspicionTimeout: 4 * time.Second,
	SteadyPeriod:     600 * time.Millisecond,
	MaxHeartbeatGap:  time.Second,
	SettlePeriod:     200 * time.Millisecond,
	MinViewInterval:  time.Second,
	HoldPeriod:       30 * time.Second,
}

// The control leader is partitioned from all entries for ten seconds while they
// continue to serve. If it removed them all, every call's record would lose its
// owners at once. The view must not change during or after the partition.
func TestPartitionRemovesNoMajority(t *testing.T) {
	f := newFleet(5)
	f.run(3*time.Second, nil)
	before := f.view
	f.run(10*time.Second, []int{0, 1, 2, 3, 4})
	f.run(3*time.Second, nil)
	if got, want := f.view.GetNumber(), before.GetNumber(); got != want {
		t.Errorf("view number after the partition: got %d, want %d", got, want)
	}
}

// One entry crashes. After the suspicion timeout it must leave the view, and the
// others must stay: a minority is safe to remove, since a majority of each record's
// owners can still be read.
func TestSilentEntryIsRemoved(t *testing.T) {
	f := newFleet(5)
	f.run(3*time.Second, nil)
	f.run(7*time.Second, []int{2})
	if got, want := len(f.view.GetMembers()), 4; got != want {
		t.Errorf("members: got %d, want %d", got, want)
	}
}

// An entry crashes and restarts within the suspicion timeout. Its records are lost,
// so the view must contain its new incarnation. A delayed heartbeat of the old
// incarnation must change nothing, even if heartbeats of the new one pause after it.
func TestRestartedEntryGetsNewIncarnation(t *testing.T) {
	f := newFleet(3)
	f.run(3*time.Second, nil)
	f.incarnations[1] = 2
	f.run(3*time.Second, nil)
	f.registrar.Step(f.now, HeartbeatReceived{Member: member(1, 1)})
	f.run(time.Second, []int{1})
	f.run(3*time.Second, nil)
	if got, want := f.view.GetMembers()[1].GetIncarnation(), uint64(2); got != want {
		t.Errorf("incarnation: got %d, want %d", got, want)
	}
	if got, want := f.view.GetNumber(), uint64(2); got != want {
		t.Errorf("view number: got %d, want %d", got, want)
	}
}

// Entries crash, restart and are partitioned at random, proposals are lost and leaders
// change. View numbers must rise by one, a view must remove less than half of the
// previous members as silent unless the hold period has passed, incarnations must not
// decrease, and views must be at least the minimum interval apart.
func TestViewInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7)
		f.checkTransition = func(before, after *messages.EntryView, changes []Change) { checkView(t, f, before, after, changes) }
		// Each ended incarnation has at most one heartbeat still in transit.
		late := []*messages.EntryMember{member(3, 0)}
		for range 60 {
			silent := rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 7, rapid.ID).Draw(t, "silent")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				who := rapid.IntRange(0, 6).Draw(t, "who")
				late = append(late, member(who, f.incarnations[who]))
				f.incarnations[who]++
			}
			if rapid.IntRange(0, 19).Draw(t, "election") == 0 {
				f.registrar.Step(f.now, LeadershipLost{})
				f.registrar.Step(f.now, LeadershipGained{View: f.view})
				f.viewCommittedAt = f.now
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				f.registrar.Step(f.now, HeartbeatReceived{Member: late[0]})
				late = late[1:]
			}
			f.dropProposals = rapid.IntRange(0, 3).Draw(t, "drop") == 0
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "for"))*200*time.Millisecond, silent)
		}
	})
}

func checkView(t *rapid.T, f *simulatedFleet, before, after *messages.EntryView, changes []Change) {
	if got, want := after.GetNumber(), before.GetNumber()+1; got != want {
		t.Fatalf("view number: got %d, want %d", got, want)
	}
	if got, want := f.now.Sub(f.viewCommittedAt) >= testOptions.MinViewInterval || before.GetNumber() == 0, true; got != want {
		t.Fatalf("time since the previous view: got %s, want at least %s", f.now.Sub(f.viewCommittedAt), testOptions.MinViewInterval)
	}
	silent := 0
	for _, c := range changes {
		if c.Reason == Silent {
			silent++
		}
	}
	maxRemoved := max((len(before.GetMembers())-1)/2, 0)
	if got, want := silent <= maxRemoved || (maxRemoved == 0 && silent == 1), true; got != want {
		t.Fatalf("members removed as silent of %d: got %d, want at most %d", len(before.GetMembers()), silent, maxRemoved)
	}
	known := make(map[string]uint64)
	for _, m := range before.GetMembers() {
		known[m.GetEntry()] = m.GetIncarnation()
	}
	for _, m := range after.GetMembers() {
		if got, want := m.GetIncarnation() >= known[m.GetEntry()] && m.GetIncarnation() > 0, true; got != want {
			t.Fatalf("incarnation of %s: got %d, want at least %d", m.GetEntry(), m.GetIncarnation(), known[m.GetEntry()])
		}
	}
}

// simulatedFleet drives one registrar with the heartbeats of simulated entries.
type simulatedFleet struct {
	registrar       *Registrar
	now             time.Time
	incarnations    []uint64
	view            *messages.EntryView
	viewCommittedAt time.Time
	dropProposals   bool
	checkTransition func(before, after *messages.EntryView, changes []Change)
}

func newFleet(entries int) *simulatedFleet {
	f := &simulatedFleet{
		registrar: &Registrar{
			Options: testOptions,
		},
		now:          time.Unix(1000, 0),
		incarnations: make([]uint64, entries),
		view:         &messages.EntryView{},
	}
	for i := range f.incarnations {
		f.incarnations[i] = 1
	}
	f.registrar.Step(f.now, LeadershipGained{View: f.view})
	return f
}

// run advances the time by span; the entries in silent send no heartbeats.
func (f *simulatedFleet) run(span time.Duration, silent []int) {
	isSilent := make(map[int]bool)
	for _, i := range silent {
		isSilent[i] = true
	}
	for range span / (200 * time.Millisecond) {
		f.now = f.now.Add(200 * time.Millisecond)
		for i, incarnation := range f.incarnations {
			if !isSilent[i] {
				f.registrar.Step(f.now, HeartbeatReceived{Member: member(i, incarnation)})
			}
		}
		for _, action := range f.registrar.Step(f.now, Ticked{}) {
			if propose, is := action.(Propose); is && !f.dropProposals {
				f.commit(propose)
			}
		}
	}
}

func (f *simulatedFleet) commit(propose Propose) {
	if f.checkTransition != nil {
		f.checkTransition(f.view, propose.View, propose.Changes)
	}
	f.view = propose.View
	f.viewCommittedAt = f.now
	f.registrar.Step(f.now, ViewCommitted{View: f.view})
}

func member(i int, incarnation uint64) *messages.EntryMember {
	return &messages.EntryMember{
		Entry:       fmt.Sprintf("e%d", i),
		DataCentre:  fmt.Sprintf("dc-%d", i%4),
		Incarnation: incarnation,
	}
}
