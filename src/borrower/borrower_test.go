package borrower

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/lender"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", runs)
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	testTick    = 50 * time.Millisecond
	testLease   = 2 * time.Second
	testHold    = 3 * time.Second
	testRemoval = testHold + time.Second
	testEntries = 5
	testLimit   = "account/a"
	// stepsPerRun times the runs is 40,000 steps; a run is long enough for an
	// entry to be cut off, left out and replaced.
	stepsPerRun = 1000
	runs        = "40"
)

// node is one entry with its own clock, which runs at its own speed.
type node struct {
	name        string
	incarnation uint64
	speed       float64
	lender      *lender.Lender
	borrower    *Borrower
	view        *messages.EntryView
	confirmed   time.Time
	cut         bool
	offered     float64
	heard       time.Time
	// mute is for how many steps the entry, too busy, asks for nothing.
	mute int
}

func (n *node) now(at time.Time) time.Time {
	base := time.Unix(0, 0)
	return base.Add(time.Duration(float64(at.Sub(base)) * n.speed))
}

// letter is a message under way.
type letter struct {
	at       time.Time
	to       int
	from     int
	sentAt   time.Time
	request  *messages.ShareRequest
	response *messages.ShareResponse
}

// world is a fleet of entries, its control and the messages between them.
type world struct {
	now     time.Time
	nodes   []*node
	view    *messages.EntryView
	letters []letter
	// side tells which nodes can talk to each other.
	side []int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		now:  time.Unix(1000, 0),
		view: &messages.EntryView{},
		side: make([]int, testEntries),
	}
	for i := range testEntries {
		w.nodes = append(w.nodes, &node{
			name: fmt.Sprintf("e%d", i),
			// More than anyone can have, so that each part is lent whole.
			offered: 2,
			speed:   rapid.Float64Range(0.96, 1.04).Draw(t, "clock speed"),
		})
		w.restart(i)
	}
	return w
}

// restart replaces a node's process; it has forgotten everything.
func (w *world) restart(i int) {
	n := w.nodes[i]
	n.incarnation++
	n.view = nil
	n.confirmed = time.Time{}
	n.lender = &lender.Lender{
		Self:        units.Instance(n.name),
		Incarnation: n.incarnation,
		Lease:       testLease,
		Hold:        testHold,
	}
	n.borrower = &Borrower{
		Self:        units.Instance(n.name),
		Incarnation: n.incarnation,
		Hold:        testHold,
	}
}

// control hears the entries that it can reach and commits what changed of them,
// except that it removes none while half of them are silent.
func (w *world) control(t *rapid.T) {
	var members []*messages.EntryMember
	silent := 0
	for _, n := range w.nodes {
		if !n.cut {
			n.heard = w.now
		}
		if w.now.Sub(n.heard) > testRemoval {
			silent++
		}
	}
	for _, n := range w.nodes {
		if n.heard.IsZero() || (w.now.Sub(n.heard) > testRemoval && silent*2 < len(w.nodes)) {
			continue
		}
		incarnation := n.incarnation
		// A restart is noticed some time after the new process has the old view.
		if n.cut || (known(w.view, n.name) > 0 && rapid.SampledFrom([]bool{true, true, true, true, false}).Draw(t, "overlooks")) {
			incarnation = known(w.view, n.name)
		}
		if incarnation > 0 {
			members = append(members, &messages.EntryMember{Entry: n.name, Incarnation: incarnation})
		}
	}
	same := slices.EqualFunc(members, w.view.GetMembers(), func(a, b *messages.EntryMember) bool { return proto.Equal(a, b) })
	if !same {
		w.view = &messages.EntryView{Number: w.view.GetNumber() + 1, Members: members}
	}
	for _, n := range w.nodes {
		if !n.cut {
			w.tell(n)
		}
	}
}

func known(view *messages.EntryView, name string) uint64 {
	for _, member := range view.GetMembers() {
		if member.GetEntry() == name {
			return member.GetIncarnation()
		}
	}
	return 0
}

func (w *world) tell(n *node) {
	now := n.now(w.now)
	n.view = w.view
	n.confirmed = now
	n.lender.Step(now, lender.Viewed{View: w.view})
	n.lender.Step(now, lender.Confirmed{At: now})
	n.borrower.Step(now, Viewed{View: w.view})
	n.borrower.Step(now, Confirmed{At: now})
}

// step lets time pass, entries ask and messages arrive, late, twice or never.
func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(testTick)
	w.control(t)
	for i, n := range w.nodes {
		n.mute--
		if n.mute > 0 || rapid.SampledFrom([]bool{false, true, true, true}).Draw(t, "rests") {
			continue
		}
		actions := n.borrower.Step(n.now(w.now), Wanted{Demands: map[string]Demand{testLimit: {Offered: n.offered}}})
		for _, action := range actions {
			ask := action.(Ask)
			w.post(t, letter{to: w.index(ask.Member.GetEntry()), from: i, sentAt: n.now(w.now), request: ask.Request})
		}
	}
	due := w.letters
	w.letters = nil
	for _, l := range due {
		if l.at.After(w.now) {
			w.letters = append(w.letters, l)
			continue
		}
		w.deliver(t, l)
	}
}

func (w *world) index(name string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
}

func (w *world) post(t *rapid.T, l letter) {
	for range rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "copies") {
		delay := rapid.SampledFrom([]time.Duration{0, testTick, 3 * testTick, 20 * testTick, 80 * testTick}).Draw(t, "delay")
		l.at = w.now.Add(delay)
		w.letters = append(w.letters, l)
	}
}

func (w *world) deliver(t *rapid.T, l letter) {
	if w.side[l.from] != w.side[l.to] {
		return
	}
	n := w.nodes[l.to]
	if l.response != nil {
		n.borrower.Step(n.now(w.now), Answered{
			From:     units.Instance(w.nodes[l.from].name),
			SentAt:   l.sentAt,
			Response: l.response,
		})
		return
	}
	for _, action := range n.lender.Step(n.now(w.now), lender.Asked{Request: l.request}) {
		w.post(t, letter{to: l.from, from: l.to, sentAt: l.sentAt, response: action.(lender.Answer).Response})
	}
}

// floors returns what all entries use without loans. An entry that has not been
// in contact for the hold has fenced itself.
func (w *world) floors() float64 {
	sum := 0.0
	for _, n := range w.nodes {
		now := n.now(w.now)
		if now.Sub(n.confirmed) < testHold {
			sum += n.borrower.Floor(now)
		}
	}
	return sum
}

// lent returns what all entries may use by loans of one part.
func (w *world) lent(part uint32) float64 {
	sum := 0.0
	for _, n := range w.nodes {
		now := n.now(w.now)
		for key, loan := range n.borrower.loans {
			if key.part == part && now.Before(loan.share.Until) {
				sum += loan.share.Fraction
			}
		}
	}
	return sum
}

// fault is something that happens to an entry.
type fault int

const (
	calm fault = iota
	restarts
	loses
	finds
	crosses
	falls
	changes
)

// faults returns what is drawn from evenly. In a calm run an entry is left alone
// long enough for loans to be made, and cut off long enough to be left out of the
// view; in another the views follow each other fast.
func faults(calmness int) []fault {
	return append(slices.Repeat([]fault{calm}, calmness),
		restarts, loses, loses, finds, finds, finds, crosses, crosses, falls, falls, falls, changes, changes, changes, changes)
}

func (w *world) disturb(t *rapid.T, faults []fault) {
	n := w.nodes[rapid.SampledFrom([]int{0, 1, 2, 3, 4}).Draw(t, "entry")]
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case restarts:
		w.restart(w.index(n.name))
	case loses:
		n.cut = true
	case finds:
		n.cut = false
	case crosses:
		w.side[w.index(n.name)] = 1 - w.side[w.index(n.name)]
	case falls:
		n.mute = rapid.IntRange(20, 100).Draw(t, "mute")
	case changes:
		n.offered = rapid.SampledFrom([]float64{0, 0.5, 2, 2}).Draw(t, "offered")
	case calm:
	}
}

// Entries die, restart, are cut from control or from each other, their clocks
// differ, and messages come late, twice, crossed or never, while demand moves
// between them. A limit is a promise to the account's brand and to everyone
// else's capacity: at no moment may the entries' shares exceed the whole of it.
func TestSharesNeverPassTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		drawn := faults(rapid.SampledFrom([]int{285, 60, 15}).Draw(t, "calmness"))
		for range stepsPerRun {
			w.disturb(t, drawn)
			w.step(t)
			// The bounds add up to the limit. Each is checked by itself, since the
			// slack of one would hide that another is passed.
			if got, want := w.floors(), lender.Floors; got > want+1e-6 {
				t.Fatalf("floors: got %f of the limit, want at most %f", got, want)
			}
			for part := range uint32(lender.Parts) {
				if got, want := w.lent(part), lender.Pool; got > want+1e-6 {
					t.Fatalf("part %d: got %f of the limit lent, want at most %f", part, got, want)
				}
			}
		}
	})
}

// Three entries run undisturbed and all calls come to one of them. Its share
// must grow to what the others' floors leave, or the account would be refused
// work that it has a right to.
func TestSharesFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.nodes = w.nodes[:3]
		w.nodes[1].offered = 0
		w.nodes[2].offered = 0
		got := 0.0
		for range 4 * int(testHold/testTick) {
			w.step(t)
			// Messages are lost here as well, so that a loan can end before the next.
			got = max(got, w.floors()+w.lent(0)+w.lent(1)+w.lent(2))
		}
		if want := 0.999; got < want {
			t.Errorf("shares: got %f of the limit at most, want at least %f", got, want)
		}
	})
}
