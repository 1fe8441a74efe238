package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// placedMembership is a membership with its place in the log.
type placedMembership struct {
	index      units.Index
	membership *messages.Membership
}

// memberships holds the snapshot's membership and those of later records. The
// last one counts as soon as it stands in the log, committed or not: majorities
// of two memberships that differ in one voter overlap.
type memberships []placedMembership

func (m memberships) current() *messages.Membership {
	if len(m) == 0 {
		return nil
	}
	return m[len(m)-1].membership
}

func (m memberships) lastIndex() units.Index {
	if len(m) == 0 {
		return 0
	}
	return m[len(m)-1].index
}

// at returns the membership that counts at index.
func (m memberships) at(index units.Index) *messages.Membership {
	for i := len(m) - 1; i > 0; i-- {
		if m[i].index <= index {
			return m[i].membership
		}
	}
	return m[0].membership
}

// replaceFrom forgets the memberships of records that are replaced and adds the new ones.
func (m memberships) replaceFrom(records []*messages.LogRecord) memberships {
	first := units.Index(records[0].GetIndex())
	for len(m) > 1 && m[len(m)-1].index >= first {
		m = m[:len(m)-1]
	}
	for _, record := range records {
		if membership := record.GetCommand().GetMembership(); membership != nil {
			m = append(m, placedMembership{
				index:      units.Index(record.GetIndex()),
				membership: membership,
			})
		}
	}
	return m
}

// compact makes the membership at index the first.
func (m memberships) compact(index units.Index) memberships {
	kept := memberships{{
		index:      index,
		membership: m.at(index),
	}}
	for _, placed := range m[1:] {
		if placed.index > index {
			kept = append(kept, placed)
		}
	}
	return kept
}

func votersOf(membership *messages.Membership) []units.VoterID {
	var voters []units.VoterID
	for _, member := range membership.GetMembers() {
		if !member.GetLearner() {
			voters = append(voters, units.VoterID(member.GetId()))
		}
	}
	return voters
}

// refreshMembership takes over the membership that counts now.
func (n *Node) refreshMembership(now time.Time) {
	membership := n.memberships.current()
	if proto.Equal(membership, n.membership) {
		return
	}
	n.membership = membership
	n.voters = votersOf(membership)
	n.act(MembershipChanged{Membership: membership})
	if n.role == Leader {
		n.refreshPeers(now)
	}
}

// refreshPeers keeps the progress of members that stay.
func (n *Node) refreshPeers(now time.Time) {
	peers := make(map[units.VoterID]*progress)
	for _, peer := range n.others() {
		peers[peer] = n.peers[peer]
		if peers[peer] == nil {
			peers[peer] = &progress{
				next:   n.log.lastIndex() + 1,
				since:  now,
				sentAt: make(map[uint64]time.Time),
			}
		}
	}
	n.peers = peers
}

func (n *Node) isVoter() bool { return slices.Contains(n.voters, n.options.ID) }

func (n *Node) quorum() int { return len(n.voters)/2 + 1 }

// others returns the other members in the order of the membership.
func (n *Node) others() []units.VoterID {
	var others []units.VoterID
	for _, member := range n.membership.GetMembers() {
		if id := units.VoterID(member.GetId()); id != n.options.ID {
			others = append(others, id)
		}
	}
	return others
}

// mayChange reports whether a membership may follow the current one. A second
// change before the first is committed, or one before this leader has committed
// a record of its own term, could leave two majorities without a common voter.
func (n *Node) mayChange() bool {
	return n.memberships.lastIndex() <= n.commit && n.log.termAt(n.commit) == n.term
}

// allowed reports whether next is one step from the current membership: at most
// one voter more or less, and this leader among them.
func (n *Node) allowed(next *messages.Membership) bool {
	voters := votersOf(next)
	if !slices.Contains(voters, n.options.ID) || next.GetNumber() != n.membership.GetNumber()+1 {
		return false
	}
	changes := 0
	for _, voter := range voters {
		if !slices.Contains(n.voters, voter) {
			changes++
		}
	}
	for _, voter := range n.voters {
		if !slices.Contains(voters, voter) {
			changes++
		}
	}
	return changes <= 1 && n.mayChange()
}
