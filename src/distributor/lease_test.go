package distributor

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	testFence   = 3 * time.Second
	stepsPerRun = 500
)

// fleet is a leader's proof beside the leases of entries with clocks that drift.
type fleet struct {
	t        *rapid.T
	now      time.Time
	accepted units.Version
	views    Views
	proof    Proof
	entries  []*serving
	// claimed holds what the leader has told operators.
	claimed map[*serving]units.Version
}

// serving is one entry: what it has, its lease and what the leader last heard.
type serving struct {
	lease   Lease
	holding Holding
	rate    float64
	heard   *messages.EntryHeartbeat
}

// An operator is told that a version is in force, since every entry has it or
// must have stopped. Entries are cut off from control, from each other or from
// neither, one way and for any time, start again without memory, and the view
// changes meanwhile; clocks drift. None that was counted as stopped may serve.
func TestNoEntryServesOnceItIsCountedAsStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range stepsPerRun {
			f.act()
			f.check()
		}
	})
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t:        t,
		now:      time.Unix(1000, 0),
		accepted: 1,
		proof:    Proof{Fence: testFence},
		claimed:  make(map[*serving]units.Version),
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "entries") {
		f.entries = append(f.entries, &serving{
			lease: Lease{Fence: testFence},
			holding: Holding{
				Entry:       units.Instance(fmt.Sprintf("e%d", i)),
				Incarnation: 1,
			},
			rate: 1 + float64(rapid.IntRange(-4, 4).Draw(t, "drift"))/100,
		})
	}
	f.changeView(f.entries)
	return f
}

func (f *fleet) clock(e *serving) time.Time {
	elapsed := f.now.Sub(time.Unix(1000, 0))
	return time.Unix(1000, 0).Add(time.Duration(float64(elapsed) * e.rate))
}

func (f *fleet) act() {
	e := rapid.SampledFrom(f.entries).Draw(f.t, "entry")
	switch kind := rapid.IntRange(0, 99).Draw(f.t, "kind"); {
	case kind < 25:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(f.t, "ms")) * time.Millisecond)
	case kind < 48:
		f.reachControl(e)
	case kind < 82:
		f.reachPeers(e)
	case kind < 89:
		f.accepted++
	case kind < 94:
		e.holding = Holding{
			Entry:       e.holding.Entry,
			Incarnation: e.holding.Incarnation + 1,
		}
		e.lease = Lease{Fence: testFence}
	case kind < 97:
		f.changeView(f.sample())
		// The leader proves anew under another view.
		clear(f.claimed)
	default:
		f.proof.Reset()
		clear(f.claimed)
		for _, other := range f.entries {
			other.heard = nil
		}
	}
}

func (f *fleet) sample() []*serving {
	var chosen []*serving
	for _, e := range f.entries {
		// A life joins a view only once control has heard it with a version.
		if e.holding.Version > 0 && rapid.IntRange(0, 3).Draw(f.t, "in") > 0 {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

func (f *fleet) changeView(members []*serving) {
	view := &messages.EntryView{
		Number: f.views.Newest().GetNumber() + 1,
	}
	for _, e := range members {
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:       string(e.holding.Entry),
			Incarnation: e.holding.Incarnation,
		})
	}
	f.views = f.views.With(view)
}

// reachControl is one heartbeat; the update in its answer may be lost.
func (f *fleet) reachControl(e *serving) {
	asked := f.clock(e)
	e.heard = &messages.EntryHeartbeat{
		Incarnation:    e.holding.Incarnation,
		VersionInForce: uint64(e.holding.Version),
		ViewNumber:     e.holding.View.GetNumber(),
	}
	delete(f.claimed, e)
	if rapid.IntRange(0, 9).Draw(f.t, "answer") == 0 {
		return
	}
	e.holding.View = f.views.Newest()
	if rapid.IntRange(0, 3).Draw(f.t, "update") > 0 {
		e.holding.Version = f.accepted
	}
	e.lease.Step(e.holding, ControlHeard{
		Asked:    asked,
		Accepted: f.accepted,
	})
}

// reachPeers is one round of questions; any part of the peers may be out of reach.
func (f *fleet) reachPeers(e *serving) {
	asked := f.clock(e)
	var answers []*messages.PeerContactResponse
	for _, other := range f.entries {
		if other == e || rapid.IntRange(0, 2).Draw(f.t, "reached") == 0 {
			continue
		}
		answers = append(answers, &messages.PeerContactResponse{
			Entry:          string(other.holding.Entry),
			Incarnation:    other.holding.Incarnation,
			VersionInForce: uint64(other.holding.Version),
			ViewNumber:     other.holding.View.GetNumber(),
		})
		if rapid.Bool().Draw(f.t, "given") {
			continue
		}
		if other.holding.View.GetNumber() > e.holding.View.GetNumber() {
			e.holding.View = other.holding.View
		}
		if e.holding.Version > 0 {
			e.holding.Version = max(e.holding.Version, other.holding.Version)
		}
	}
	e.lease.Step(e.holding, PeersHeard{
		Asked:   asked,
		Answers: answers,
	})
}

// check lets the leader count, and compares what it has claimed with the leases.
func (f *fleet) check() {
	f.proof.Observe(f.now, f.accepted, f.views, func(member *messages.EntryMember) bool {
		for _, e := range f.entries {
			if string(e.holding.Entry) == member.GetEntry() && e.heard != nil {
				return e.heard.GetIncarnation() > member.GetIncarnation() ||
					e.heard.GetIncarnation() == member.GetIncarnation() && units.Version(e.heard.GetVersionInForce()) >= f.accepted
			}
		}
		return false
	})
	for _, e := range f.entries {
		if e.heard == nil || units.Version(e.heard.GetVersionInForce()) >= f.accepted {
			continue
		}
		if _, fenced := f.proof.Fenced(f.now, f.views, e.heard.GetViewNumber()); fenced && f.claimed[e] == 0 {
			f.claimed[e] = f.accepted
		}
	}
	for e, version := range f.claimed {
		if e.holding.Version < version && f.clock(e).Before(e.lease.Until()) {
			f.t.Fatalf("%s serves version %d for another %s, and was counted as stopped for version %d",
				e.holding.Entry, e.holding.Version, e.lease.Until().Sub(f.clock(e)), version)
		}
	}
}

// A leader is cut off with a minority of the entries and the rest serve on among
// themselves. The leader may accept a change and must not claim that the others
// have stopped, however long they are silent.
func TestMajorityOfEntriesIsNotCountedAsStopped(t *testing.T) {
	view := &messages.EntryView{
		Number: 1,
	}
	for i := range 5 {
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:       fmt.Sprintf("e%d", i),
			Incarnation: 1,
		})
	}
	proof := &Proof{Fence: testFence}
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(time.Second)
		proof.Observe(now, 2, Views{view}, func(member *messages.EntryMember) bool {
			return member.GetEntry() < "e2"
		})
		if _, got := proof.Fenced(now, Views{view}, 1); got {
			t.Fatal("three of five entries counted as stopped: got yes, want no")
		}
	}
}

// Control is gone as a whole and all entries see each other: their leases must go
// on. One that sees too few of them must stop.
func TestPeersRenewTheLeaseWithoutControl(t *testing.T) {
	view := &messages.EntryView{
		Number: 3,
	}
	var answers []*messages.PeerContactResponse
	for i := range 4 {
		entry := fmt.Sprintf("e%d", i)
		view.Members = append(view.Members, &messages.EntryMember{Entry: entry, Incarnation: 7})
		answers = append(answers, &messages.PeerContactResponse{
			Entry:          entry,
			Incarnation:    7,
			VersionInForce: 5,
			ViewNumber:     3,
		})
	}
	altered := func(change func(*messages.PeerContactResponse)) []*messages.PeerContactResponse {
		changed := &messages.PeerContactResponse{Entry: "e1", Incarnation: 7, VersionInForce: 5, ViewNumber: 3}
		change(changed)
		return []*messages.PeerContactResponse{changed, answers[2]}
	}
	cases := map[string]struct {
		answers []*messages.PeerContactResponse
		want    bool
	}{
		"all answer":              {answers: answers[1:], want: true},
		"a majority answers":      {answers: answers[1:3], want: true},
		"half of the view":        {answers: answers[1:2], want: false},
		"one has a newer version": {answers: altered(func(r *messages.PeerContactResponse) { r.VersionInForce = 6 }), want: false},
		"one has a newer view":    {answers: altered(func(r *messages.PeerContactResponse) { r.ViewNumber = 4 }), want: false},
		"one has started again":   {answers: altered(func(r *messages.PeerContactResponse) { r.Incarnation = 8 }), want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			lease := &Lease{Fence: testFence}
			until := lease.Step(Holding{Entry: "e0", Incarnation: 7, Version: 5, View: view}, PeersHeard{
				Asked:   time.Unix(1000, 0),
				Answers: c.answers,
			})
			if got := !until.IsZero(); got != c.want {
				t.Errorf("lease renewed: got %t, want %t", got, c.want)
			}
		})
	}
}
