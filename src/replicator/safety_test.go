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

// stepsPerRun times the 100 runs of rapid gives the steps of one check.
const (
	stepsPerRun = 400
	// mostMessages bounds how many messages are late at once.
	mostMessages = 60
)

// Operators submit while messages are lost, doubled, reordered and cut one way
// or both, instances crash before a write is synced, freeze and wake after their
// lease, lose disks and start again. No schedule may give two leaders in a term,
// change a committed record, take a version back, name two winners, or let a
// leader answer from before what another operator was told.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "instances")
		chaos := &chaos{
			draws:  t,
			world:  newWorld(t, instances, 3),
			voters: 3,
		}
		chaos.calm(60)
		for range stepsPerRun {
			chaos.act()
			chaos.checkClaims()
		}
		chaos.heal()
		chaos.calm(1200)
		chaos.checkAlive()
	})
}

// chaos draws faults; it leaves a majority of the committed voters their disks,
// since nothing can be promised beyond that.
type chaos struct {
	*world
	draws   *rapid.T
	voters  int
	version uint64
}

func (c *chaos) act() {
	m := c.pick()
	switch kind := rapid.IntRange(0, 99).Draw(c.draws, "kind"); {
	case kind < 35:
		c.tick(time.Duration(rapid.IntRange(1, 150).Draw(c.draws, "ms")) * time.Millisecond)
		c.burst()
	case kind < 43:
		c.tick(time.Duration(rapid.IntRange(400, 1200).Draw(c.draws, "ms")) * time.Millisecond)
	case kind < 52:
		c.pass()
	case kind < 58:
		c.steady(rapid.IntRange(1, 100).Draw(c.draws, "steady"))
	case kind < 68:
		c.propose(m)
	case kind < 74:
		m.node = nil
	case kind < 75:
		for _, other := range c.members {
			other.node = nil
		}
	case kind < 87:
		c.restart()
	case kind < 91:
		m.frozen = !m.frozen
	case kind < 94:
		other := rapid.SampledFrom(c.members).Draw(c.draws, "other")
		c.cut[[2]units.Instance{m.name, other.name}] = true
		if rapid.Bool().Draw(c.draws, "both") {
			c.cut[[2]units.Instance{other.name, m.name}] = true
		}
	case kind < 96:
		clear(c.cut)
	default:
		c.replaceDisk(m)
	}
}

// steady lets time pass without losses but for the cuts, while operators submit
// to everyone who takes itself for a leader.
func (c *chaos) steady(rounds int) {
	for round := range rounds {
		c.calm(1)
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

// pick draws a member, a leader as often as not: its faults matter most.
func (c *chaos) pick() *member {
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

func (c *chaos) restart() {
	for _, m := range c.members {
		if m.node == nil && rapid.IntRange(0, 2).Draw(c.draws, "start") > 0 {
			m.offset += time.Duration(rapid.IntRange(-5000, 5000).Draw(c.draws, "jump")) * time.Millisecond
			m.start(c.voters)
		}
	}
}

// burst delivers some of the messages in any order.
func (c *chaos) burst() {
	count := rapid.IntRange(0, len(c.bag)).Draw(c.draws, "burst")
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(c.draws, "order"), 0))
	lost := rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(c.draws, "lost")
	for range count {
		if len(c.bag) == 0 {
			return
		}
		at := random.IntN(len(c.bag))
		if random.IntN(100) < lost {
			c.bag = slices.Delete(c.bag, at, at+1)
			continue
		}
		c.deliver(at)
	}
	if len(c.bag) > mostMessages {
		c.bag = slices.Clone(c.bag[len(c.bag)-mostMessages:])
	}
}

// pass delivers, drops, doubles or crashes on one message.
func (c *chaos) pass() {
	if len(c.bag) == 0 {
		return
	}
	at := rapid.IntRange(0, len(c.bag)-1).Draw(c.draws, "message")
	switch kind := rapid.IntRange(0, 19).Draw(c.draws, "fate"); {
	case kind < 14:
		c.deliver(at)
	case kind < 16:
		c.hand(c.bag[at], -1)
	case kind < 19:
		c.bag = slices.Delete(c.bag, at, at+1)
	default:
		message := c.bag[at]
		c.bag = slices.Delete(c.bag, at, at+1)
		c.hand(message, rapid.IntRange(0, 3).Draw(c.draws, "crash"))
	}
}

// propose lets operators race under equal version numbers and resend.
func (c *chaos) propose(m *member) {
	if !m.running() || !m.node.founded() {
		return
	}
	if rapid.Bool().Draw(c.draws, "new") {
		c.version++
	}
	operator := fmt.Sprintf("operator-%d", rapid.IntRange(1, 3).Draw(c.draws, "operator"))
	c.submit(m, max(1, c.version), operator)
}

// replaceDisk takes a disk where a majority of every membership that may count
// keeps its own; a learner may become a voter at any moment.
func (c *chaos) replaceDisk(m *member) {
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
		for _, placed := range other.placed() {
			kept := 0
			members := placed.membership.GetMembers()
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

// placed returns the memberships that a member's disk holds and that may count.
func (m *member) placed() memberships {
	all := memberships{{
		index:      units.Index(m.disk.Snapshot.GetIndex()),
		membership: m.disk.Snapshot.GetMembership(),
	}}
	if len(m.disk.Records) > 0 {
		all = all.replaceFrom(m.disk.Records)
	}
	return all
}

func (c *chaos) heal() {
	clear(c.cut)
	for _, m := range c.members {
		m.frozen = false
		if m.node == nil {
			m.start(c.voters)
		}
	}
}

// checkAlive wants a leader that accepts a change once the faults have ended.
func (c *chaos) checkAlive() {
	leader := c.leader()
	if leader == nil {
		c.t.Fatalf("no leader after the faults ended: %s", c.describe())
	}
	c.version = max(c.version, uint64(leader.state.Version())) + 1
	c.submit(leader, c.version, "operator-1")
	c.calm(20)
	if got, want := c.acked, units.Version(c.version); got != want {
		c.t.Fatalf("accepted after the faults ended: got version %d, want %d", got, want)
	}
	if got, want := len(c.leader().node.voters), c.voters; got != want {
		c.t.Fatalf("voters after the repair: got %d, want %d: %s", got, want, c.describe())
	}
}

func (c *chaos) describe() string {
	text := ""
	for _, m := range c.members {
		text += fmt.Sprintf("\n%s term %d role %s log %s last %d commit %d membership %v",
			m.id, m.node.term, m.node.role, m.node.logID, m.node.log.lastIndex(), m.node.commit, m.node.membership)
	}
	return text
}
