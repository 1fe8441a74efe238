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
	testLease   = 3 * time.Second
	stepsPerRun = 500
)

// simulation is a leader's proof and the leases of entries whose clocks drift.
type simulation struct {
	t        *rapid.T
	now      time.Time
	accepted units.Version
	views    Views
	proof    Proof
	entries  []*simulatedEntry
	// reportedFenced maps the entries that the leader has reported as fenced to the version.
	reportedFenced map[*simulatedEntry]units.Version
}

// simulatedEntry is one entry: its state, its lease and the last heartbeat that the leader
// received.
type simulatedEntry struct {
	lease         Lease
	state         EntryState
	clockRate     float64
	lastHeartbeat *messages.EntryHeartbeat
}

// Guards against an entry that still serves an old version after the operator has been told that
// the new one is in force, which means that every entry has it or must have stopped. Entries are
// cut off from control, from each other or from neither, in one direction and for any time,
// restart without memory, and have drifting clocks, and the view changes meanwhile.
func TestFencedEntriesDoNotServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range stepsPerRun {
			s.step()
			s.checkFencedEntries()
		}
	})
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:              t,
		now:            time.Unix(1000, 0),
		accepted:       1,
		proof:          Proof{LeaseDuration: testLease},
		reportedFenced: make(map[*simulatedEntry]units.Version),
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "entries") {
		s.entries = append(s.entries, &simulatedEntry{
			lease: Lease{Duration: testLease},
			state: EntryState{
				Entry:       units.Instance(fmt.Sprintf("e%d", i)),
				Incarnation: 1,
			},
			clockRate: 1 + float64(rapid.IntRange(-4, 4).Draw(t, "drift"))/100,
		})
	}
	s.changeView(s.entries)
	return s
}

func (s *simulation) clock(e *simulatedEntry) time.Time {
	elapsed := s.now.Sub(time.Unix(1000, 0))
	return time.Unix(1000, 0).Add(time.Duration(float64(elapsed) * e.clockRate))
}

func (s *simulation) step() {
	e := rapid.SampledFrom(s.entries).Draw(s.t, "entry")
	switch kind := rapid.IntRange(0, 99).Draw(s.t, "kind"); {
	case kind < 25:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(s.t, "ms")) * time.Millisecond)
	case kind < 48:
		s.contactControl(e)
	case kind < 82:
		s.contactPeers(e)
	case kind < 89:
		s.accepted++
	case kind < 94:
		e.state = EntryState{
			Entry:       e.state.Entry,
			Incarnation: e.state.Incarnation + 1,
		}
		e.lease = Lease{Duration: testLease}
	case kind < 97:
		s.changeView(s.sampleEntries())
		// A new view requires a new proof.
		clear(s.reportedFenced)
	default:
		s.proof.Reset()
		clear(s.reportedFenced)
		for _, other := range s.entries {
			other.lastHeartbeat = nil
		}
	}
}

func (s *simulation) sampleEntries() []*simulatedEntry {
	var chosen []*simulatedEntry
	for _, e := range s.entries {
		// An incarnation joins a view only once control has received a heartbeat from it with a
		// version.
		if e.state.Version > 0 && rapid.IntRange(0, 3).Draw(s.t, "in") > 0 {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

func (s *simulation) changeView(members []*simulatedEntry) {
	view := &messages.EntryView{
		Number: s.views.Newest().GetNumber() + 1,
	}
	for _, e := range members {
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:       string(e.state.Entry),
			Incarnation: e.state.Incarnation,
		})
	}
	s.views = s.views.With(view)
}

// contactControl is one heartbeat. The update in its response may be lost.
func (s *simulation) contactControl(e *simulatedEntry) {
	sentAt := s.clock(e)
	e.lastHeartbeat = &messages.EntryHeartbeat{
		Incarnation:    e.state.Incarnation,
		VersionInForce: uint64(e.state.Version),
		ViewNumber:     e.state.View.GetNumber(),
	}
	delete(s.reportedFenced, e)
	if rapid.IntRange(0, 9).Draw(s.t, "answer") == 0 {
		return
	}
	e.state.View = s.views.Newest()
	if rapid.IntRange(0, 3).Draw(s.t, "update") > 0 {
		e.state.Version = s.accepted
	}
	e.lease.Step(e.state, ControlConfirmed{
		SentAt:   sentAt,
		Accepted: s.accepted,
	})
}

// contactPeers is one round of contact requests. Any subset of the peers may be unreachable.
func (s *simulation) contactPeers(e *simulatedEntry) {
	sentAt := s.clock(e)
	var responses []*messages.PeerContactResponse
	for _, other := range s.entries {
		if other == e || rapid.IntRange(0, 2).Draw(s.t, "reached") == 0 {
			continue
		}
		responses = append(responses, &messages.PeerContactResponse{
			Entry:          string(other.state.Entry),
			Incarnation:    other.state.Incarnation,
			VersionInForce: uint64(other.state.Version),
			ViewNumber:     other.state.View.GetNumber(),
		})
		if rapid.Bool().Draw(s.t, "given") {
			continue
		}
		if other.state.View.GetNumber() > e.state.View.GetNumber() {
			e.state.View = other.state.View
		}
		if e.state.Version > 0 {
			e.state.Version = max(e.state.Version, other.state.Version)
		}
	}
	e.lease.Step(e.state, PeersResponded{
		SentAt:    sentAt,
		Responses: responses,
	})
}

// checkFencedEntries updates the leader's proof and compares the entries that it reported as
// fenced with their leases.
func (s *simulation) checkFencedEntries() {
	s.proof.Observe(s.now, s.accepted, s.views, func(member *messages.EntryMember) bool {
		for _, e := range s.entries {
			if string(e.state.Entry) == member.GetEntry() && e.lastHeartbeat != nil {
				return e.lastHeartbeat.GetIncarnation() > member.GetIncarnation() ||
					e.lastHeartbeat.GetIncarnation() == member.GetIncarnation() && units.Version(e.lastHeartbeat.GetVersionInForce()) >= s.accepted
			}
		}
		return false
	})
	for _, e := range s.entries {
		if e.lastHeartbeat == nil || units.Version(e.lastHeartbeat.GetVersionInForce()) >= s.accepted {
			continue
		}
		if _, fenced := s.proof.FencedSince(s.now, s.views, e.lastHeartbeat.GetViewNumber()); fenced && s.reportedFenced[e] == 0 {
			s.reportedFenced[e] = s.accepted
		}
	}
	for e, version := range s.reportedFenced {
		if e.state.Version < version && s.clock(e).Before(e.lease.ExpiresAt()) {
			s.t.Fatalf("%s serves version %d for another %s, but was reported as fenced for version %d",
				e.state.Entry, e.state.Version, e.lease.ExpiresAt().Sub(s.clock(e)), version)
		}
	}
}

// Guards against a leader that is cut off with a minority of the entries, accepts a change, and
// reports that the others have stopped. The others keep serving among themselves, so it must not
// do so, however long they are silent.
func TestMajorityOfEntriesIsNotFenced(t *testing.T) {
	view := &messages.EntryView{
		Number: 1,
	}
	for i := range 5 {
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:       fmt.Sprintf("e%d", i),
			Incarnation: 1,
		})
	}
	proof := &Proof{LeaseDuration: testLease}
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(time.Second)
		proof.Observe(now, 2, Views{view}, func(member *messages.EntryMember) bool {
			return member.GetEntry() < "e2"
		})
		if _, got := proof.FencedSince(now, Views{view}, 1); got {
			t.Fatal("three of five entries fenced: got yes, want no")
		}
	}
}

// All of control is lost and the entries reach each other: their leases must be renewed. An entry
// that reaches too few of the others must stop.
func TestPeersRenewTheLeaseWithoutControl(t *testing.T) {
	view := &messages.EntryView{
		Number: 3,
	}
	var responses []*messages.PeerContactResponse
	for i := range 4 {
		entry := fmt.Sprintf("e%d", i)
		view.Members = append(view.Members, &messages.EntryMember{Entry: entry, Incarnation: 7})
		responses = append(responses, &messages.PeerContactResponse{
			Entry:          entry,
			Incarnation:    7,
			VersionInForce: 5,
			ViewNumber:     3,
		})
	}
	altered := func(change func(*messages.PeerContactResponse)) []*messages.PeerContactResponse {
		changed := &messages.PeerContactResponse{Entry: "e1", Incarnation: 7, VersionInForce: 5, ViewNumber: 3}
		change(changed)
		return []*messages.PeerContactResponse{changed, responses[2]}
	}
	cases := map[string]struct {
		responses []*messages.PeerContactResponse
		want      bool
	}{
		"all respond":               {responses: responses[1:], want: true},
		"a majority responds":       {responses: responses[1:3], want: true},
		"half of the view responds": {responses: responses[1:2], want: false},
		"one has a newer version":   {responses: altered(func(r *messages.PeerContactResponse) { r.VersionInForce = 6 }), want: false},
		"one has a newer view":      {responses: altered(func(r *messages.PeerContactResponse) { r.ViewNumber = 4 }), want: false},
		"one has restarted":         {responses: altered(func(r *messages.PeerContactResponse) { r.Incarnation = 8 }), want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			lease := &Lease{Duration: testLease}
			until := lease.Step(EntryState{Entry: "e0", Incarnation: 7, Version: 5, View: view}, PeersResponded{
				SentAt:    time.Unix(1000, 0),
				Responses: c.responses,
			})
			if got := !until.IsZero(); got != c.want {
				t.Errorf("lease renewed: got %t, want %t", got, c.want)
			}
		})
	}
}
