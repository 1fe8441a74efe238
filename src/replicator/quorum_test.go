package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// newLog starts instances of which as many as are wanted become voters, the others spares, and returns the leader.
func newLog(t *testing.T, instances, voters int) (*cluster, *member) {
	t.Helper()
	c := newCluster(t, instances, voters)
	c.runWithoutFaults(200)
	leader := c.leader()
	if leader == nil {
		t.Fatal("leader two seconds after the start: got none")
	}
	return c, leader
}

func (m *member) replaceDisk(voters int) {
	m.node = nil
	m.loseDisk()
	m.start(voters)
}

// isolate loses all messages from and to a member.
func (c *cluster) isolate(m *member) {
	for _, other := range c.members {
		c.cutLinks[[2]units.Instance{m.name, other.name}] = true
		c.cutLinks[[2]units.Instance{other.name, m.name}] = true
	}
}

// changeMembership proposes one step of a repair.
func (m *member) changeMembership(kind changeKind, id units.VoterID) {
	m.step(Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Membership{
				Membership: changeMembership(m.node.membership, membershipChange{id: id, kind: kind}),
			},
		},
	}, -1)
}

// Guards against an accepted change that can't be read any more after half of an even number of voters lost their disks.
func TestHalfOfTheVotersLost(t *testing.T) {
	cases := map[string]struct {
		voters, lost int
		wantLeader   bool
	}{
		"one of two":    {voters: 2, lost: 1, wantLeader: true},
		"two of four":   {voters: 4, lost: 2, wantLeader: true},
		"three of six":  {voters: 6, lost: 3, wantLeader: true},
		"two of three":  {voters: 3, lost: 2},
		"three of four": {voters: 4, lost: 3},
		"three of five": {voters: 5, lost: 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for first := range test.voters {
				c, leader := newLog(t, test.voters, test.voters)
				c.submit(leader, 1, "operator-1")
				c.runWithoutFaults(5)
				if got, want := c.acked, units.Version(1); got != want {
					t.Fatalf("accepted before the loss: got version %d, want %d", got, want)
				}
				for i := range test.lost {
					c.members[(first+i)%test.voters].replaceDisk(test.voters)
				}
				c.runWithoutFaults(400)
				leader = c.leader()
				if got := leader != nil; got != test.wantLeader {
					t.Fatalf("leader after the loss of %d from c%d on: got %t, want %t", test.lost, first+1, got, test.wantLeader)
				}
				if leader == nil {
					continue
				}
				if got := leader.state.Version(); got != 1 {
					t.Errorf("version after the loss: got %d, want 1", got)
				}
				c.submit(leader, 2, "operator-1")
				c.runWithoutFaults(20)
				if got, want := c.acked, units.Version(2); got != want {
					t.Errorf("accepted after the loss: got version %d, want %d", got, want)
				}
			}
		})
	}
}

// Guards against two leaders where half of the voters end and keep their disks: nothing proves that they don't vote.
func TestHalfOfTheVotersEnded(t *testing.T) {
	c, _ := newLog(t, 4, 4)
	c.members[0].node = nil
	c.members[1].node = nil
	elected := len(c.leaders)
	c.runWithoutFaults(400)
	if got := len(c.leaders) - elected; got > 0 {
		t.Errorf("elections with half of the voters: got %d, want none", got)
	}
}

// Guards against the answer of a lost voter's instance being counted for a voter that still has its disk.
func TestLostVoterIsNamed(t *testing.T) {
	cases := map[string]struct {
		from, voter units.VoterID
		want        bool
	}{
		"its instance":     {from: "c2#new", voter: "c2#life1", want: true},
		"another instance": {from: "c3#life1", voter: "c2#life1"},
		"itself":           {from: "c2#life1", voter: "c2#life1"},
		"the receiver":     {from: "c1#new", voter: "c1#life1"},
		"no voter":         {from: "c2#new", voter: "c2#life0"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c, _ := newLog(t, 3, 3)
			node := c.members[0].node
			node.Step(c.members[0].clock(), MessageReceived{
				Message: &messages.LogMessage{
					From: string(test.from),
					To:   string(node.VoterID()),
					Body: &messages.LogMessage_LostVoter{
						LostVoter: &messages.LostVoter{Voter: string(test.voter)},
					},
				},
			})
			if got := node.lost[test.voter]; got != test.want {
				t.Errorf("%s recorded as lost: got %t, want %t", test.voter, got, test.want)
			}
		})
	}
}

// Guards against an accepted change that is lost where a voter missed a change of the membership and goes on without the
// voter that lost its disk, beside those that took part in the change.
func TestVoterThatMissedAMembershipChange(t *testing.T) {
	cases := map[string]struct {
		voters int
		// change leaves a change of the membership at the leader, whose disk or the missing voter's is lost then.
		change       func(c *cluster, leader, missing, third *member)
		isLeaderLost bool
	}{
		"voter added": {
			voters: 2,
			change: func(c *cluster, leader, missing, third *member) {
				leader.changeMembership(addLearner, third.id)
				c.runWithoutFaults(20)
				c.isolate(missing)
				leader.changeMembership(promote, third.id)
			},
			isLeaderLost: true,
		},
		"voter removed": {
			voters: 3,
			change: func(c *cluster, leader, _, third *member) {
				c.isolate(leader)
				leader.changeMembership(remove, third.id)
			},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c, leader := newLog(t, 3, test.voters)
			others := slices.DeleteFunc(slices.Clone(c.members), func(m *member) bool { return m == leader })
			missing, third := others[0], others[1]
			if test.voters == 2 && !slices.Contains(leader.node.voters, missing.id) {
				missing, third = third, missing
			}
			test.change(c, leader, missing, third)
			for version := range uint64(40) {
				for _, m := range c.members {
					if m.isLeader {
						c.submit(m, version+1, string(m.name))
					}
				}
				c.runWithoutFaults(5)
			}
			lost, kept := missing, leader
			if test.isLeaderLost {
				lost, kept = leader, missing
			}
			lost.replaceDisk(test.voters)
			clear(c.cutLinks)
			c.isolate(third)
			c.runWithoutFaults(200)
			if kept.isLeader {
				c.submit(kept, 1000, string(kept.name))
			}
			c.runWithoutFaults(50)
			clear(c.cutLinks)
			c.runWithoutFaults(800)
			leader = c.leader()
			if leader == nil {
				t.Fatal("leader after all have returned: got none")
			}
			c.submit(leader, 2000, "operator-1")
			c.runWithoutFaults(20)
			if got, want := c.acked, units.Version(2000); got != want {
				t.Errorf("accepted after all have returned: got version %d, want %d", got, want)
			}
		})
	}
}

// Guards against a log without a leader after a restart of all voters, one of which does not return: the voters must know
// that their membership is committed, or they would need one of the membership before it that has ended.
func TestCommittedMembershipIsKnownAfterARestart(t *testing.T) {
	c, leader := newLog(t, 3, 2)
	spare := c.members[2]
	leader.changeMembership(addLearner, spare.id)
	c.runWithoutFaults(20)
	for _, m := range c.members {
		m.node.options.VoterCount = 3
	}
	leader.changeMembership(promote, spare.id)
	c.runWithoutFaults(20)
	for _, m := range c.members {
		m.node = nil
	}
	c.inFlight = nil
	for _, m := range c.members {
		if m != leader {
			m.start(3)
		}
	}
	c.runWithoutFaults(300)
	if c.leader() == nil {
		t.Error("leader of two of three voters: got none, want one")
	}
}

// Guards against a log without a leader where a voter is removed, and the leader loses its disk before another than the
// removed one has the record.
func TestLeaderLostWhileARunningVoterIsRemoved(t *testing.T) {
	c, leader := newLog(t, 3, 3)
	var removed, other *member
	for _, m := range c.members {
		switch {
		case m == leader:
		case removed == nil:
			removed = m
		default:
			other = m
		}
	}
	c.isolate(other)
	leader.changeMembership(remove, removed.id)
	batch := c.inFlight
	c.inFlight = nil
	for _, message := range batch {
		c.deliverMessage(message, -1)
	}
	c.inFlight = nil
	leader.replaceDisk(3)
	clear(c.cutLinks)
	c.runWithoutFaults(int(20 * time.Second / (10 * time.Millisecond)))
	if c.leader() == nil {
		t.Error("leader after the loss: got none, want one")
	}
	if got, want := len(other.node.voters), 3; got != want {
		t.Errorf("voters after the repair: got %d, want %d", got, want)
	}
}
