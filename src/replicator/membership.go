package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// indexedMembership is a membership with its index in the log.
type indexedMembership struct {
	index      units.Index
	membership *messages.Membership
}

// memberships holds the snapshot's membership and those of later records. The
// last one is in effect as soon as it is in the log, committed or not: majorities
// of two memberships that differ in one voter overlap.
type memberships []indexedMembership

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

// at returns the membership in effect at index.
func (m memberships) at(index units.Index) *messages.Membership {
	for i := len(m) - 1; i > 0; i-- {
		if m[i].index <= index {
			return m[i].membership
		}
	}
	return m[0].membership
}

// replaceFrom drops the memberships of replaced records and adds those of the new ones.
func (m memberships) replaceFrom(records []*messages.LogRecord) memberships {
	first := units.Index(records[0].GetIndex())
	for len(m) > 1 && m[len(m)-1].index >= first {
		m = m[:len(m)-1]
	}
	for _, record := range records {
		if membership := record.GetCommand().GetMembership(); membership != nil {
			m = append(m, indexedMembership{
				index:      units.Index(record.GetIndex()),
				membership: membership,
			})
		}
	}
	return m
}

// compact drops the memberships before the one in effect at index.
func (m memberships) compact(index units.Index) memberships {
	kept := memberships{{
		index:      index,
		membership: m.at(index),
	}}
	for _, later := range m[1:] {
		if later.index > index {
			kept = append(kept, later)
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

// uncommittedFrom returns the membership before the current one until the current one is known to be committed, then nil.
func (n *Node) uncommittedFrom() *messages.Membership {
	last := len(n.memberships) - 1
	if last < 1 || n.memberships[last].index <= max(n.commit, n.committedMembership) {
		return nil
	}
	return n.memberships[last-1].membership
}

// recordCommittedMembership stores that the current membership is committed. A voter that didn't know it after a restart
// would need a quorum of the membership before too, whose voters may have ended for good.
func (n *Node) recordCommittedMembership(now time.Time) {
	index := n.memberships.lastIndex()
	if len(n.memberships) < 2 || n.committedMembership >= index || n.commit < index {
		return
	}
	n.committedMembership = index
	n.persistState()
	if n.role != Leader {
		return
	}
	if !n.isVoter() {
		n.becomeFollower(now, n.term, "")
		return
	}
	n.updatePeers(now)
}

// updateMembership adopts the membership that is now in effect.
func (n *Node) updateMembership(now time.Time) {
	membership := n.memberships.current()
	if proto.Equal(membership, n.membership) {
		return
	}
	n.membership = membership
	n.voters = votersOf(membership)
	n.emit(MembershipChanged{Membership: membership})
	if n.role == Leader {
		n.updatePeers(now)
	}
}

// updatePeers tracks the current members and keeps the progress of those that remain.
func (n *Node) updatePeers(now time.Time) {
	peers := make(map[units.VoterID]*progress)
	for _, peer := range n.replicaIDs() {
		peers[peer] = n.peers[peer]
		if peers[peer] == nil {
			peers[peer] = &progress{
				next:         n.log.lastIndex() + 1,
				trackedSince: now,
				roundSentAt:  make(map[uint64]time.Time),
			}
		}
	}
	n.peers = peers
}

func (n *Node) isVoter() bool { return slices.Contains(n.electorate(), n.options.ID) }

// electorate returns the voters, with those of the membership before until the current one is committed.
func (n *Node) electorate() []units.VoterID {
	voters := slices.Clone(n.voters)
	for _, voter := range votersOf(n.uncommittedFrom()) {
		if !slices.Contains(voters, voter) {
			voters = append(voters, voter)
		}
	}
	return voters
}

// replicaIDs returns the ids of the others that a leader sends records to: the members in the order of the membership, and
// the voters of the membership before until the current one is committed.
func (n *Node) replicaIDs() []units.VoterID {
	var ids []units.VoterID
	for _, member := range n.membership.GetMembers() {
		ids = append(ids, units.VoterID(member.GetId()))
	}
	for _, voter := range n.electorate() {
		if !slices.Contains(ids, voter) {
			ids = append(ids, voter)
		}
	}
	return slices.DeleteFunc(ids, func(id units.VoterID) bool { return id == n.options.ID })
}

// canChangeMembership reports whether a new membership may be proposed. A second
// change before the first is committed, or one before this leader has committed a
// record of its own term, could lead to two majorities without a common voter.
func (n *Node) canChangeMembership() bool {
	return n.memberships.lastIndex() <= n.commit && n.log.termAt(n.commit) == n.term
}

// canChangeTo reports whether next may follow the current membership now: at most
// one voter is added or removed, and this leader remains a voter.
func (n *Node) canChangeTo(next *messages.Membership) bool {
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
	return changes <= 1 && n.canChangeMembership()
}
