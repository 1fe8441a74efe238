package replicator

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// latestOfQuorum returns the latest value that a quorum of the voters has reached, where each has one. Before the current
// membership is committed, that includes a quorum of the membership before it.
//
// A quorum is a majority, or all voters but those whose disks are known to be lost, if these are less than a majority.
// Any two quorums have a voter in common, with its disk: one of the second kind is at least half of the voters, so that
// each majority has one of them; and of two of that kind without a common voter, each would consist of the other's lost
// ones, while both know the others as lost and act after that. Half of four voters, or one of two, can thus go on
// without the lost half. With more than half lost a record that a majority held may be on no disk.
//
// Half of two voters and two of three need no common voter. A voter that has missed the third could thus go on alone
// after the loss of the second, beside the first and the third, if the second had committed the membership of three
// without the first.
func latestOfQuorum[T any](n *Node, compare func(a, b T) int, of func(units.VoterID) T) T {
	latest := latestOf(n, n.voters, compare, of)
	if previous := n.uncommittedFrom(); previous != nil {
		if earlier := latestOf(n, votersOf(previous), compare, of); compare(earlier, latest) < 0 {
			return earlier
		}
	}
	return latest
}

func latestOf[T any](n *Node, voters []units.VoterID, compare func(a, b T) int, of func(units.VoterID) T) T {
	var all, kept []T
	for _, voter := range voters {
		all = append(all, of(voter))
		if !n.lost[voter] {
			kept = append(kept, of(voter))
		}
	}
	majority := len(all)/2 + 1
	slices.SortFunc(all, compare)
	latest := all[len(all)-majority]
	if lost := len(all) - len(kept); lost > 0 && lost < majority {
		if earliest := slices.MinFunc(kept, compare); compare(earliest, latest) > 0 {
			return earliest
		}
	}
	return latest
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// isForLostVoter reports whether a message asks a voter whose identity this instance does not have any more: its process
// has ended, and its disk was replaced.
func (n *Node) isForLostVoter(m *messages.LogMessage) bool {
	to := units.VoterID(m.GetTo())
	switch m.GetBody().(type) {
	case *messages.LogMessage_VoteRequest, *messages.LogMessage_AppendRequest:
		return to.Instance() == n.options.ID.Instance() && to != n.options.ID
	}
	return false
}

// sendLostVoter answers for a lost voter. The answer names it, so that it stays true however late it arrives.
func (n *Node) sendLostVoter(m *messages.LogMessage) {
	n.sendTo(units.VoterID(m.GetFrom()), n.term, &messages.LogMessage{
		Body: &messages.LogMessage_LostVoter{
			LostVoter: &messages.LostVoter{Voter: m.GetTo()},
		},
	})
}

// handleLostVoter records that a voter's disk is lost, after which fewer votes or copies may be enough.
func (n *Node) handleLostVoter(now time.Time, m *messages.LogMessage, answer *messages.LostVoter) {
	from, voter := units.VoterID(m.GetFrom()), units.VoterID(answer.GetVoter())
	if from.Instance() != voter.Instance() || from == voter || voter == n.options.ID || !slices.Contains(n.electorate(), voter) {
		return
	}
	n.lost[voter] = true
	switch n.role {
	case PreCandidate, Candidate:
		n.advanceIfElected(now, n.role == PreCandidate)
	case Leader:
		if n.advanceCommit() {
			n.broadcastAppend(now)
		}
	case Follower:
	}
}
