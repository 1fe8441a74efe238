package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

func (n *Node) receive(now time.Time, m *messages.LogMessage) {
	if n.isReplacementFor(m) {
		n.sendReplaced(m)
		return
	}
	if n.isForLostVoter(m) {
		n.sendLostVoter(m)
		return
	}
	if !n.isAddressedTo(m) {
		return
	}
	switch body := m.GetBody().(type) {
	case *messages.LogMessage_VoteRequest:
		n.handleVoteRequest(now, m, body.VoteRequest)
	case *messages.LogMessage_VoteResponse:
		n.handleVoteResponse(now, m, body.VoteResponse)
	case *messages.LogMessage_AppendRequest:
		n.handleAppendRequest(now, m, body.AppendRequest)
	case *messages.LogMessage_AppendResponse:
		n.handleAppendResponse(now, m, body.AppendResponse)
	case *messages.LogMessage_Hello:
		n.handleHello(now, m, body.Hello)
	case *messages.LogMessage_HelloResponse:
		n.handleHelloResponse(now, m, body.HelloResponse)
	case *messages.LogMessage_SnapshotPiece:
		n.handleSnapshotPiece(now, m, body.SnapshotPiece)
	case *messages.LogMessage_SnapshotPieceResponse:
		n.handleSnapshotPieceResponse(now, m, body.SnapshotPieceResponse)
	case *messages.LogMessage_Start:
		n.handleStart(now, m, body.Start)
	case *messages.LogMessage_LostVoter:
		n.handleLostVoter(now, m, body.LostVoter)
	}
}

// isAddressedTo reports whether a message is for this voter. It is not if it is for an
// earlier identity of this instance, whose votes and acknowledgements this one does
// not know, or if it belongs to another log.
func (n *Node) isAddressedTo(m *messages.LogMessage) bool {
	to := units.VoterID(m.GetTo())
	switch m.GetBody().(type) {
	case *messages.LogMessage_Hello:
		return to.Instance() == n.options.ID.Instance()
	case *messages.LogMessage_HelloResponse:
		return to == n.options.ID
	}
	foreign := n.hasLog() && m.GetLogId() != "" && m.GetLogId() != n.logID
	return to == n.options.ID && !foreign
}

func (n *Node) handleVoteRequest(now time.Time, m *messages.LogMessage, request *messages.VoteRequest) {
	term := units.Term(m.GetTerm())
	candidate := units.VoterID(m.GetFrom())
	// An instance that is not a member may have lost what an earlier identity of it
	// acknowledged; its vote could help to elect a leader that lacks a committed
	// change. A learner answers: the candidate counts its vote only if the
	// candidate's log makes it a voter, and a leader appends that record only once
	// the learner holds all committed records. If the learner refused until it had
	// received that record itself, the loss of the leader in between would leave no
	// majority to elect the next.
	if !n.isMember(n.options.ID) && !slices.Contains(n.electorate(), n.options.ID) {
		return
	}
	// A voter in contact with a live leader grants no vote: otherwise an instance
	// returning from a partition with a high term would depose a working leader.
	// The leader's lease depends on this refusal too.
	if n.hasLiveLeader(now) && !n.provesNoLease(request) {
		return
	}
	if term > n.term && !request.GetPreVote() {
		n.becomeFollower(now, term, "")
	}
	granted := term >= n.term && n.log.isCandidateUpToDate(request) && n.canVote(term, candidate, request.GetPreVote())
	if granted && !request.GetPreVote() {
		n.votedFor = candidate
		n.persistState()
		n.resetElectionDeadline(now)
	}
	// A refusal carries this voter's own term, which a candidate that is behind
	// adopts. Otherwise the one with the most up-to-date log could request votes
	// forever in a term that the others have passed, and no leader would be elected.
	answerTerm := n.term
	if granted {
		answerTerm = term
	}
	n.sendTo(candidate, answerTerm, &messages.LogMessage{
		Body: &messages.LogMessage_VoteResponse{
			VoteResponse: &messages.VoteResponse{
				PreVote: request.GetPreVote(),
				Granted: granted,
			},
		},
	})
}

func (n *Node) canVote(term units.Term, candidate units.VoterID, preVote bool) bool {
	if preVote {
		return term > n.term
	}
	return n.votedFor == "" || n.votedFor == candidate
}

func (n *Node) hasLiveLeader(now time.Time) bool {
	if n.role == Leader {
		return n.IsConfirmedLeader(now)
	}
	return now.Before(n.leaderContactAt.Add(n.options.ElectionTimeout))
}

func (n *Node) handleVoteResponse(now time.Time, m *messages.LogMessage, response *messages.VoteResponse) {
	term := units.Term(m.GetTerm())
	if !response.GetGranted() {
		if term > n.term {
			n.becomeFollower(now, term, "")
		}
		return
	}
	voteRequested := n.role == Candidate && !response.GetPreVote() && term == n.term
	preVoteRequested := n.role == PreCandidate && response.GetPreVote() && term == n.term+1
	if !voteRequested && !preVoteRequested {
		return
	}
	n.votes[units.VoterID(m.GetFrom())] = true
	n.advanceIfElected(now, response.GetPreVote())
}

func (n *Node) handleAppendRequest(now time.Time, m *messages.LogMessage, request *messages.AppendRequest) {
	term := units.Term(m.GetTerm())
	leader := units.VoterID(m.GetFrom())
	response := &messages.AppendResponse{
		Round: request.GetRound(),
	}
	if term < n.term {
		n.sendAppendResponse(leader, response)
		return
	}
	n.becomeFollower(now, term, leader.Instance())
	n.recordLeaderContact(now)
	if !n.hasLog() {
		response.NeedsSnapshot = true
		n.sendAppendResponse(leader, response)
		return
	}
	previous := units.Index(request.GetPreviousIndex())
	if !n.log.matches(previous, units.Term(request.GetPreviousTerm())) {
		response.Index = uint64(n.log.conflictIndex(previous))
		n.sendAppendResponse(leader, response)
		return
	}
	if newRecords := n.log.withoutKnown(request.GetRecords()); len(newRecords) > 0 {
		// A leader that contradicts a committed record means that a guarantee of
		// the protocol was violated; following it would lose an acknowledged change.
		if first := units.Index(newRecords[0].GetIndex()); first <= n.commit {
			n.emit(Halt{Err: &ContradictionError{Leader: leader, Index: first}})
			return
		}
		n.storeRecords(now, newRecords)
	}
	last := previous + units.Index(len(request.GetRecords()))
	n.commit = max(n.commit, min(units.Index(request.GetCommit()), last))
	response.Matched = true
	response.Index = uint64(last)
	n.sendAppendResponse(leader, response)
}

func (n *Node) sendAppendResponse(leader units.VoterID, response *messages.AppendResponse) {
	n.sendTo(leader, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_AppendResponse{
			AppendResponse: response,
		},
	})
}

func (n *Node) handleAppendResponse(now time.Time, m *messages.LogMessage, response *messages.AppendResponse) {
	term := units.Term(m.GetTerm())
	if term > n.term {
		n.becomeFollower(now, term, "")
		return
	}
	if n.role != Leader || term < n.term {
		return
	}
	from := units.VoterID(m.GetFrom())
	p := n.peers[from]
	if p == nil {
		return
	}
	p.confirmRound(response.GetRound())
	index := units.Index(response.GetIndex())
	switch {
	case p.snapshotTransfer != nil:
		// Answers to the empty heartbeats during a transfer say nothing about the log.
	case response.GetNeedsSnapshot():
		n.sendPiece(now, from)
	case !response.GetMatched():
		n.retryAppend(now, from, index)
	default:
		n.updateMatch(now, from, index)
	}
}

// retryAppend resends from the index at which the follower's log may match.
func (n *Node) retryAppend(now time.Time, from units.VoterID, index units.Index) {
	p := n.peers[from]
	p.next = max(p.match+1, min(index, p.next))
	n.sendAppend(now, from)
}

func (n *Node) updateMatch(now time.Time, from units.VoterID, index units.Index) {
	p := n.peers[from]
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if n.advanceCommit() {
		n.broadcastAppend(now)
		return
	}
	if p.next <= n.log.lastIndex() {
		n.sendAppend(now, from)
	}
}

// confirmRound records that the member has answered a heartbeat round, and with it
// all earlier ones.
func (p *progress) confirmRound(round uint64) {
	sentAt, known := p.roundSentAt[round]
	if !known {
		return
	}
	for earlier := range p.roundSentAt {
		if earlier <= round {
			delete(p.roundSentAt, earlier)
		}
	}
	if sentAt.After(p.ackedAt) {
		p.ackedAt = sentAt
	}
}

// advanceCommit commits the records that a quorum of the voters holds, and reports
// whether there were new ones. Learners are not counted.
func (n *Node) advanceCommit() bool {
	candidate := latestOfQuorum(n, cmp.Compare[units.Index], func(voter units.VoterID) units.Index {
		if voter == n.options.ID {
			return n.log.lastIndex()
		}
		return n.peers[voter].match
	})
	if candidate <= n.commit || n.log.termAt(candidate) != n.term {
		return false
	}
	n.commit = candidate
	return true
}

func (n *Node) broadcastAppend(now time.Time) {
	n.round++
	n.nextHeartbeatAt = now.Add(n.options.HeartbeatInterval)
	for _, peer := range n.replicaIDs() {
		n.sendAppend(now, peer)
	}
}

func (n *Node) sendAppend(now time.Time, peer units.VoterID) {
	p := n.peers[peer]
	if _, sent := p.roundSentAt[n.round]; !sent {
		p.roundSentAt[n.round] = now
		delete(p.roundSentAt, n.round-maxPendingRounds)
	}
	request := &messages.AppendRequest{
		Round: n.round,
	}
	// The log no longer holds the next record for this follower: the snapshot is
	// sent in pieces, with empty heartbeats in between.
	if p.snapshotTransfer != nil || p.next <= n.log.base {
		n.sendAppendRequest(peer, request)
		n.sendPiece(now, peer)
		return
	}
	request.Records = n.log.recordsFrom(p.next, maxRecords, maxRecordBytes)
	request.PreviousIndex = uint64(p.next - 1)
	request.PreviousTerm = uint64(n.log.termAt(p.next - 1))
	request.Commit = uint64(n.commit)
	// Appends are pipelined: later records are sent before earlier ones are
	// acknowledged. A lost one causes a mismatch at the follower and is resent.
	p.next += units.Index(len(request.GetRecords()))
	n.sendAppendRequest(peer, request)
}

func (n *Node) sendAppendRequest(peer units.VoterID, request *messages.AppendRequest) {
	n.sendTo(peer, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_AppendRequest{
			AppendRequest: request,
		},
	})
}
