package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// stepsPerRun is the number of steps in each of rapid's 100 runs of a check.
	stepsPerRun = 400
	// maxInFlight bounds the delayed messages.
	maxInFlight = 60
)

// Operators submit while messages are lost, duplicated, reordered and cut in one
// direction or both, and instances crash before a write is synced, are suspended
// beyond their lease, lose disks and restart. No schedule may lead to two leaders in
// a term, a changed committed record, a decreasing version, two winners of a version,
// or a leader whose answer is older than what an operator has already received.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "instances")
		faultInjector := &faultInjector{
			draws:   t,
			cluster: newCluster(t, instances, 3),
			voters:  3,
		}
		faultInjector.runWithoutFaults(60)
		for range stepsPerRun {
			faultInjector.injectFault()
			faultInjector.checkLeaderVersions()
		}
		faultInjector.removeFaults()
		faultInjector.runWithoutFaults(1200)
		faultInjector.checkRecovered()
	})
}

// faultInjector draws faults. It lets a majority of the committed voters keep their
// disks, since the log guarantees nothing beyond that.
type faultInjector struct {
	*cluster
	draws   *rapid.T
	voters  int
	version uint64
}

func (c *faultInjector) injectFault() {
	m := c.drawMember()
	switch kind := rapid.IntRange(0, 99).Draw(c.draws, "kind"); {
	case kind < 35:
		c.tick(time.Duration(rapid.IntRange(1, 150).Draw(c.draws, "ms")) * time.Millisecond)
		c.deliverSome()
	case kind < 43:
		c.tick(time.Duration(rapid.IntRange(400, 1200).Draw(c.draws, "ms")) * time.Millisecond)
	case kind < 52:
		c.deliverOne()
	case kind < 58:
		c.runWithSubmissions(rapid.IntRange(1, 100).Draw(c.draws, "steady"))
	case kind < 68:
		c.submitAt(m)
	case kind < 74:
		m.node = nil
	case kind < 75:
		for _, other := range c.members {
			other.node = nil
		}
	case kind < 87:
		c.restartSome()
	case kind < 91:
		m.frozen = !m.frozen
	case kind < 94:
		other := rapid.SampledFrom(c.members).Draw(c.draws, "other")
		c.cutLinks[[2]units.Instance{m.name, other.name}] = true
		if rapid.Bool().Draw(c.draws, "both") {
			c.cutLinks[[2]units.Instance{other.name, m.name}] = true
		}
	case kind < 96:
		clear(c.cutLinks)
	default:
		c.replaceDisk(m)
	}
}

// runWithSubmissions lets time pass without faults other than cut links, while
// operators submit to every member that considers itself the leader.
func (c *faultInjector) runWithSubmissions(rounds int) {
	for round := range rounds {
		c.runWithoutFaults(1)
		if round%8 > 0 {
			continue
		}
		for _, m := range c.members {
			if m.running() && m.isLeader {
				c.version++
				c.submit(m, c.version, "operator-1")
			}
		}
	}
}

// drawMember draws a member, in half of the cases one that considers itself the
// leader, since a leader's faults matter most.
func (c *faultInjector) drawMember() *member {
	candidates := c.members
	if rapid.Bool().Draw(c.draws, "leading") {
		var leading []*member
		for _, m := range c.members {
			if m.node != nil && m.isLeader {
				leading = append(leading, m)
			}
		}
		if len(leading) > 0 {
			candidates = leading
		}
	}
	return rapid.SampledFrom(candidates).Draw(c.draws, "member")
}

func (c *faultInjector) restartSome() {
	for _, m := range c.members {
		if m.node == nil && rapid.IntRange(0, 2).Draw(c.draws, "start") > 0 {
			m.clockOffset += time.Duration(rapid.IntRange(-5000, 5000).Draw(c.draws, "jump")) * time.Millisecond
			m.start(c.voters)
		}
	}
}

// deliverSome delivers some of the messages in random order, and loses some.
func (c *faultInjector) deliverSome() {
	count := rapid.IntRange(0, len(c.inFlight)).Draw(c.draws, "burst")
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(c.draws, "order"), 0))
	lost := rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(c.draws, "lost")
	for range count {
		if len(c.inFlight) == 0 {
			return
		}
		at := random.IntN(len(c.inFlight))
		if random.IntN(100) < lost {
			c.inFlight = slices.Delete(c.inFlight, at, at+1)
			continue
		}
		c.deliverAt(at)
	}
	if len(c.inFlight) > maxInFlight {
		c.inFlight = slices.Clone(c.inFlight[len(c.inFlight)-maxInFlight:])
	}
}

// deliverOne delivers, duplicates or drops one message, or crashes its receiver
// while it handles the message.
func (c *faultInjector) deliverOne() {
	if len(c.inFlight) == 0 {
		return
	}
	at := rapid.IntRange(0, len(c.inFlight)-1).Draw(c.draws, "message")
	switch kind := rapid.IntRange(0, 19).Draw(c.draws, "fate"); {
	case kind < 14:
		c.deliverAt(at)
	case kind < 16:
		c.deliverMessage(c.inFlight[at], -1)
	case kind < 19:
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
	default:
		message := c.inFlight[at]
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
		c.deliverMessage(message, rapid.IntRange(0, 3).Draw(c.draws, "crash"))
	}
}

// submitAt submits at a member as one of several operators, who race with equal
// version numbers and resend.
func (c *faultInjector) submitAt(m *member) {
	if !m.running() || !m.node.hasLog() {
		return
	}
	if rapid.Bool().Draw(c.draws, "new") {
		c.version++
	}
	operator := fmt.Sprintf("operator-%d", rapid.IntRange(1, 3).Draw(c.draws, "operator"))
	c.submit(m, max(1, c.version), operator)
}

// replaceDisk replaces a member's disk by an empty one if a majority of every
// membership that may be in effect keeps its disks. Learners count as voters here,
// since one may be promoted at any time.
func (c *faultInjector) replaceDisk(m *member) {
	holders := make(map[units.VoterID]bool)
	for _, other := range c.members {
		if other != m {
			holders[other.id] = true
		}
	}
	for _, other := range c.members {
		if other.disk.Snapshot == nil {
			continue
		}
		for _, storedMemberships := range other.storedMemberships() {
			kept := 0
			members := storedMemberships.membership.GetMembers()
			for _, member := range members {
				if holders[units.VoterID(member.GetId())] {
					kept++
				}
			}
			if kept <= len(members)/2 {
				return
			}
		}
	}
	m.node = nil
	m.loseDisk()
	m.start(c.voters)
}

// storedMemberships returns the memberships on a member's disk that may be in effect.
func (m *member) storedMemberships() memberships {
	all := memberships{{
		index:      units.Index(m.disk.Snapshot.GetIndex()),
		membership: m.disk.Snapshot.GetMembership(),
	}}
	if len(m.disk.Records) > 0 {
		all = all.replaceFrom(m.disk.Records)
	}
	return all
}

func (c *faultInjector) removeFaults() {
	clear(c.cutLinks)
	for _, m := range c.members {
		m.frozen = false
		if m.node == nil {
			m.start(c.voters)
		}
	}
}

// checkRecovered checks that a leader accepts a change after the faults have ended,
// and that the repair has restored the number of voters.
func (c *faultInjector) checkRecovered() {
	leader := c.leader()
	if leader == nil {
		c.t.Fatalf("no leader after the faults ended: %s", c.describe())
	}
	c.version = max(c.version, uint64(leader.state.Version())) + 1
	c.submit(leader, c.version, "operator-1")
	c.runWithoutFaults(20)
	if got, want := c.acked, units.Version(c.version); got != want {
		c.t.Fatalf("accepted after the faults ended: got version %d, want %d", got, want)
	}
	if got, want := len(c.leader().node.voters), c.voters; got != want {
		c.t.Fatalf("voters after the repair: got %d, want %d: %s", got, want, c.describe())
	}
}

func (c *faultInjector) describe() string {
	text := ""
	for _, m := range c.members {
		text += fmt.Sprintf("\n%s term %d role %s log %s last %d commit %d membership %v",
			m.id, m.node.term, m.node.role, m.node.logID, m.node.log.lastIndex(), m.node.commit, m.node.membership)
	}
	return text
}
