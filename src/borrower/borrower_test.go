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

// TestMain fixes the seed of the property tests unless the command line sets one.
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
	// stepsPerRun times the number of runs is 40,000 steps; a run is long enough
	// for an entry to be disconnected, removed and replaced.
	stepsPerRun = 1000
	runs        = "40"
)

// node is one entry with its own clock, which runs at its own speed.
type node struct {
	name         string
	incarnation  uint64
	speed        float64
	lender       *lender.Lender
	borrower     *Borrower
	view         *messages.EntryView
	confirmed    time.Time
	disconnected bool
	offered      float64
	lastContact  time.Time
	// idleSteps is for how many more steps the entry is too busy to send requests.
	idleSteps int
}

func (n *node) now(at time.Time) time.Time {
	base := time.Unix(0, 0)
	return base.Add(time.Duration(float64(at.Sub(base)) * n.speed))
}

// message is a request or response in flight.
type message struct {
	deliverAt time.Time
	to        int
	from      int
	sentAt    time.Time
	request   *messages.ShareRequest
	response  *messages.ShareResponse
}

// cluster is a set of entries, their control and the messages between them.
type cluster struct {
	now      time.Time
	nodes    []*node
	view     *messages.EntryView
	inFlight []message
	// networkSide holds each node's side of a network partition; nodes on the same
	// side can communicate.
	networkSide []int
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		now:         time.Unix(1000, 0),
		view:        &messages.EntryView{},
		networkSide: make([]int, testEntries),
	}
	for i := range testEntries {
		c.nodes = append(c.nodes, &node{
			name: fmt.Sprintf("e%d", i),
			// More than any entry can have, so that each partition is lent
			// completely.
			offered: 2,
			speed:   rapid.Float64Range(0.96, 1.04).Draw(t, "clock speed"),
		})
		c.restart(i)
	}
	return c
}

// restart replaces a node's process, which loses all its state.
func (c *cluster) restart(i int) {
	n := c.nodes[i]
	n.incarnation++
	n.view = nil
	n.confirmed = time.Time{}
	n.lender = &lender.Lender{
		Self:        units.Instance(n.name),
		Incarnation: n.incarnation,
		Lease:       testLease,
		ViewTTL:     testHold,
	}
	n.borrower = &Borrower{
		Self:        units.Instance(n.name),
		Incarnation: n.incarnation,
		ViewTTL:     testHold,
	}
}

// stepControl contacts the entries that are connected and commits changes of the
// membership, but removes no entry while half of them are silent.
func (c *cluster) stepControl(t *rapid.T) {
	var members []*messages.EntryMember
	silent := 0
	for _, n := range c.nodes {
		if !n.disconnected {
			n.lastContact = c.now
		}
		if c.now.Sub(n.lastContact) > testRemoval {
			silent++
		}
	}
	for _, n := range c.nodes {
		if n.lastContact.IsZero() || (c.now.Sub(n.lastContact) > testRemoval && silent*2 < len(c.nodes)) {
			continue
		}
		incarnation := n.incarnation
		// A restart is noticed some time after the new process has the old view.
		if n.disconnected || (incarnationIn(c.view, n.name) > 0 && rapid.SampledFrom([]bool{true, true, true, true, false}).Draw(t, "overlooks")) {
			incarnation = incarnationIn(c.view, n.name)
		}
		if incarnation > 0 {
			members = append(members, &messages.EntryMember{Entry: n.name, Incarnation: incarnation})
		}
	}
	same := slices.EqualFunc(members, c.view.GetMembers(), func(a, b *messages.EntryMember) bool { return proto.Equal(a, b) })
	if !same {
		c.view = &messages.EntryView{Number: c.view.GetNumber() + 1, Members: members}
	}
	for _, n := range c.nodes {
		if !n.disconnected {
			c.notify(n)
		}
	}
}

func incarnationIn(view *messages.EntryView, name string) uint64 {
	for _, member := range view.GetMembers() {
		if member.GetEntry() == name {
			return member.GetIncarnation()
		}
	}
	return 0
}

func (c *cluster) notify(n *node) {
	now := n.now(c.now)
	n.view = c.view
	n.confirmed = now
	n.lender.Step(now, lender.ViewChanged{View: c.view})
	n.lender.Step(now, lender.ViewConfirmed{At: now})
	n.borrower.Step(now, ViewChanged{View: c.view})
	n.borrower.Step(now, ViewConfirmed{At: now})
}

// step advances time, lets entries send requests and delivers messages late, twice
// or never.
func (c *cluster) step(t *rapid.T) {
	c.now = c.now.Add(testTick)
	c.stepControl(t)
	for i, n := range c.nodes {
		n.idleSteps--
		if n.idleSteps > 0 || rapid.SampledFrom([]bool{false, true, true, true}).Draw(t, "rests") {
			continue
		}
		actions := n.borrower.Step(n.now(c.now), DemandChanged{Demands: map[string]Demand{testLimit: {Offered: n.offered}}})
		for _, action := range actions {
			ask := action.(SendRequest)
			c.send(t, message{to: c.index(ask.Member.GetEntry()), from: i, sentAt: n.now(c.now), request: ask.Request})
		}
	}
	due := c.inFlight
	c.inFlight = nil
	for _, m := range due {
		if m.deliverAt.After(c.now) {
			c.inFlight = append(c.inFlight, m)
			continue
		}
		c.deliver(t, m)
	}
}

func (c *cluster) index(name string) int {
	return slices.IndexFunc(c.nodes, func(n *node) bool { return n.name == name })
}

func (c *cluster) send(t *rapid.T, m message) {
	for range rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "copies") {
		delay := rapid.SampledFrom([]time.Duration{0, testTick, 3 * testTick, 20 * testTick, 80 * testTick}).Draw(t, "delay")
		m.deliverAt = c.now.Add(delay)
		c.inFlight = append(c.inFlight, m)
	}
}

func (c *cluster) deliver(t *rapid.T, m message) {
	if c.networkSide[m.from] != c.networkSide[m.to] {
		return
	}
	n := c.nodes[m.to]
	if m.response != nil {
		n.borrower.Step(n.now(c.now), ResponseReceived{
			From:     units.Instance(c.nodes[m.from].name),
			SentAt:   m.sentAt,
			Response: m.response,
		})
		return
	}
	for _, action := range n.lender.Step(n.now(c.now), lender.RequestReceived{Request: m.request}) {
		c.send(t, message{to: m.from, from: m.to, sentAt: m.sentAt, response: action.(lender.SendResponse).Response})
	}
}

// floors returns what all entries use without loans. An entry that has been out of
// contact for testHold has fenced itself.
func (c *cluster) floors() float64 {
	sum := 0.0
	for _, n := range c.nodes {
		now := n.now(c.now)
		if now.Sub(n.confirmed) < testHold {
			sum += n.borrower.GuaranteedShare(now)
		}
	}
	return sum
}

// lentFraction returns what all entries may use by loans of one partition.
func (c *cluster) lentFraction(partition uint32) float64 {
	sum := 0.0
	for _, n := range c.nodes {
		now := n.now(c.now)
		for loanKey, loan := range n.borrower.loans {
			if loanKey.partition == partition && now.Before(loan.share.Until) {
				sum += loan.share.Fraction
			}
		}
	}
	return sum
}

// fault is something that happens to an entry.
type fault int

const (
	faultNone fault = iota
	faultRestart
	faultDisconnect
	faultReconnect
	faultSwitchSide
	faultIdle
	faultChangeDemand
)

// faults returns the values that faults are drawn from with equal probability. With
// a large noneWeight an entry is undisturbed long enough for loans to be made, and
// disconnected long enough to be removed from the view; with a small one views
// change in quick succession.
func faults(noneWeight int) []fault {
	return append(slices.Repeat([]fault{faultNone}, noneWeight),
		faultRestart, faultDisconnect, faultDisconnect, faultReconnect, faultReconnect, faultReconnect, faultSwitchSide, faultSwitchSide, faultIdle, faultIdle, faultIdle, faultChangeDemand, faultChangeDemand, faultChangeDemand, faultChangeDemand)
}

func (c *cluster) injectFault(t *rapid.T, faults []fault) {
	n := c.nodes[rapid.SampledFrom([]int{0, 1, 2, 3, 4}).Draw(t, "entry")]
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case faultRestart:
		c.restart(c.index(n.name))
	case faultDisconnect:
		n.disconnected = true
	case faultReconnect:
		n.disconnected = false
	case faultSwitchSide:
		c.networkSide[c.index(n.name)] = 1 - c.networkSide[c.index(n.name)]
	case faultIdle:
		n.idleSteps = rapid.IntRange(20, 100).Draw(t, "mute")
	case faultChangeDemand:
		n.offered = rapid.SampledFrom([]float64{0, 0.5, 2, 2}).Draw(t, "offered")
	case faultNone:
	}
}

// Entries die, restart, and are disconnected from control or from each other; their
// clocks differ; messages arrive late, twice, out of order or never; and demand
// moves between the entries. The limit protects the account's brand and everyone
// else's capacity: at no moment may the entries' shares exceed the whole of it.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		choices := faults(rapid.SampledFrom([]int{285, 60, 15}).Draw(t, "calmness"))
		for range stepsPerRun {
			c.injectFault(t, choices)
			c.step(t)
			// The bounds add up to the limit. Each is checked by itself, since the
			// slack of one would hide a violation of another.
			if got, want := c.floors(), lender.GuaranteedFraction; got > want+1e-6 {
				t.Fatalf("floors: got %f of the limit, want at most %f", got, want)
			}
			for partition := range uint32(lender.Partitions) {
				if got, want := c.lentFraction(partition), lender.PartitionFraction; got > want+1e-6 {
					t.Fatalf("partition %d: got %f of the limit lent, want at most %f", partition, got, want)
				}
			}
		}
	})
}

// Three entries run without faults and all calls arrive at one of them. Its share
// must grow to what the others' floors leave; otherwise the account would be
// refused calls within its limit.
func TestSharesFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.nodes = c.nodes[:3]
		c.nodes[1].offered = 0
		c.nodes[2].offered = 0
		got := 0.0
		for range 4 * int(testHold/testTick) {
			c.step(t)
			// Messages are lost here as well, so that a loan can expire before the
			// next one.
			got = max(got, c.floors()+c.lentFraction(0)+c.lentFraction(1)+c.lentFraction(2))
		}
		if want := 0.999; got < want {
			t.Errorf("shares: got %f of the limit at most, want at least %f", got, want)
		}
	})
}
