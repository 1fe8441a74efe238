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

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var testOptions = Options{
	Suspicion: 4 * time.Second,
	Steady:    600 * time.Millisecond,
	Gap:       time.Second,
	Settle:    200 * time.Millisecond,
	Between:   time.Second,
	Hold:      30 * time.Second,
}

// The control leader is cut off from all entries for ten seconds; each of them
// serves on. If it removed them all, every call's record would lose its owners
// at once. The view must stay, and be the same once the cut has healed.
func TestCutRemovesNoMajority(t *testing.T) {
	f := newFleet(5)
	f.run(3*time.Second, nil)
	before := f.view
	f.run(10*time.Second, []int{0, 1, 2, 3, 4})
	f.run(3*time.Second, nil)
	if got, want := f.view.GetNumber(), before.GetNumber(); got != want {
		t.Errorf("view number after the cut: got %d, want %d", got, want)
	}
}

// One entry dies: after the suspicion period it must leave the view, and the
// others must stay. A minority is safe to remove, since a majority of each
// record's owners remains to be read.
func TestSilentEntryLeaves(t *testing.T) {
	f := newFleet(5)
	f.run(3*time.Second, nil)
	f.run(7*time.Second, []int{2})
	if got, want := len(f.view.GetMembers()), 4; got != want {
		t.Errorf("members: got %d, want %d", got, want)
	}
}

// An entry crashes and starts again faster than the suspicion period. Its
// records are gone, so the view must name its new incarnation; a heartbeat of
// the old life that arrives late must change nothing, also when the new life
// is not heard for a moment after it.
func TestRestartedEntryGetsNewIncarnation(t *testing.T) {
	f := newFleet(3)
	f.run(3*time.Second, nil)
	f.incarnations[1] = 2
	f.run(3*time.Second, nil)
	f.registrar.Step(f.now, Heard{Member: member(1, 1)})
	f.run(time.Second, []int{1})
	f.run(3*time.Second, nil)
	if got, want := f.view.GetMembers()[1].GetIncarnation(), uint64(2); got != want {
		t.Errorf("incarnation: got %d, want %d", got, want)
	}
	if got, want := f.view.GetNumber(), uint64(2); got != want {
		t.Errorf("view number: got %d, want %d", got, want)
	}
}

// Entries die, restart, stop and are cut off at random, and leaders change.
// Whatever happens, numbers rise by one, a view differs from the one before in
// less than half of its members by silence unless the hold has passed, an
// incarnation never falls, and views do not follow each other too fast.
func TestViewsKeepTheirRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7)
		f.check = func(before, after *messages.EntryView, changes []Change) { checkView(t, f, before, after, changes) }
		// Each ended life has at most one heartbeat that is still on its way.
		late := []*messages.EntryMember{member(3, 0)}
		for range 60 {
			silent := rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 7, rapid.ID).Draw(t, "silent")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				who := rapid.IntRange(0, 6).Draw(t, "who")
				late = append(late, member(who, f.incarnations[who]))
				f.incarnations[who]++
			}
			if rapid.IntRange(0, 19).Draw(t, "election") == 0 {
				f.registrar.Step(f.now, Lost{})
				f.registrar.Step(f.now, Led{View: f.view})
				f.viewAt = f.now
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				f.registrar.Step(f.now, Heard{Member: late[0]})
				late = late[1:]
			}
			f.drop = rapid.IntRange(0, 3).Draw(t, "drop") == 0
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "for"))*200*time.Millisecond, silent)
		}
	})
}

func checkView(t *rapid.T, f *fleet, before, after *messages.EntryView, changes []Change) {
	if got, want := after.GetNumber(), before.GetNumber()+1; got != want {
		t.Fatalf("view number: got %d, want %d", got, want)
	}
	if got, want := f.now.Sub(f.viewAt) >= testOptions.Between || before.GetNumber() == 0, true; got != want {
		t.Fatalf("time since the last view: got %s, want at least %s", f.now.Sub(f.viewAt), testOptions.Between)
	}
	silent := 0
	for _, c := range changes {
		if c.Reason == Silent {
			silent++
		}
	}
	most := max((len(before.GetMembers())-1)/2, 0)
	if got, want := silent <= most || (most == 0 && silent == 1), true; got != want {
		t.Fatalf("members removed as silent of %d: got %d, want at most %d", len(before.GetMembers()), silent, most)
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

// fleet drives one registrar with the heartbeats of entries.
type fleet struct {
	registrar    *Registrar
	now          time.Time
	incarnations []uint64
	view         *messages.EntryView
	viewAt       time.Time
	// drop loses proposals.
	drop  bool
	check func(before, after *messages.EntryView, changes []Change)
}

func newFleet(entries int) *fleet {
	f := &fleet{
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
	f.registrar.Step(f.now, Led{View: f.view})
	return f
}

// run lets time pass while the entries named are not heard.
func (f *fleet) run(span time.Duration, silent []int) {
	quiet := make(map[int]bool)
	for _, i := range silent {
		quiet[i] = true
	}
	for range span / (200 * time.Millisecond) {
		f.now = f.now.Add(200 * time.Millisecond)
		for i, incarnation := range f.incarnations {
			if !quiet[i] {
				f.registrar.Step(f.now, Heard{Member: member(i, incarnation)})
			}
		}
		for _, action := range f.registrar.Step(f.now, Ticked{}) {
			if propose, is := action.(Propose); is && !f.drop {
				f.commit(propose)
			}
		}
	}
}

func (f *fleet) commit(propose Propose) {
	if f.check != nil {
		f.check(f.view, propose.View, propose.Changes)
	}
	f.view = propose.View
	f.viewAt = f.now
	f.registrar.Step(f.now, Applied{View: f.view})
}

func member(i int, incarnation uint64) *messages.EntryMember {
	return &messages.EntryMember{
		Entry:       fmt.Sprintf("e%d", i),
		DataCentre:  fmt.Sprintf("dc-%d", i%4),
		Incarnation: incarnation,
	}
}
