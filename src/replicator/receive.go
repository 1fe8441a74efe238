package replicator

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

func (n *Node) receive(now time.Time, m *messages.LogMessage) {
	if n.replaces(m) {
		n.tellReplaced(m)
		return
	}
	if !n.isFor(m) {
		return
	}
	switch body := m.GetBody().(type) {
	case *messages.LogMessage_VoteRequest:
		n.answerVote(now, m, body.VoteRequest)
	case *messages.LogMessage_VoteResponse:
		n.countVote(now, m, body.VoteResponse)
	case *messages.LogMessage_AppendRequest:
		n.follow(now, m, body.AppendRequest)
	case *messages.LogMessage_AppendResponse:
		n.countAppend(now, m, body.AppendResponse)
	case *messages.LogMessage_Hello:
		n.answerHello(now, m, body.Hello)
	case *messages.LogMessage_HelloResponse:
		n.countHello(now, m, body.HelloResponse)
	case *messages.LogMessage_SnapshotPiece:
		n.receivePiece(now, m, body.SnapshotPiece)
	case *messages.LogMessage_SnapshotPieceResponse:
		n.countPiece(now, m, body.SnapshotPieceResponse)
	case *messages.LogMessage_Start:
		n.countStart(now, m, body.Start)
	}
}

// isFor refuses messages for an earlier identity of this instance, which made
// promises that this one does not know of, and messages of another log.
func (n *Node) isFor(m *messages.LogMessage) bool {
	to := units.VoterID(m.GetTo())
	switch m.GetBody().(type) {
	case *messages.LogMessage_Hello:
		return to.Instance() == n.options.ID.Instance()
	case *messages.LogMessage_HelloResponse:
		return to == n.options.ID
	}
	foreign := n.founded() && m.GetLogId() != "" && m.GetLogId() != n.logID
	return to == n.options.ID && !foreign
}

func (n *Node) answerVote(now time.Time, m *messages.LogMessage, request *messages.VoteRequest) {
	term := units.Term(m.GetTerm())
	candidate := units.VoterID(m.GetFrom())
	// Without a place in the membership this instance may have lost what an
	// earlier life of it promised; its vote could help to elect a leader that
	// lacks a committed change. A learner answers: the candidate counts it only
	// where its own log makes it a voter, which a leader appends once the learner
	// holds all that is committed. If it refused until it knew of that record
	// itself, a leader lost in between would leave no majority to elect the next.
	if !n.holds(n.options.ID) {
		return
	}
	// A voter that hears a live leader grants nothing: one that was cut off
	// would come back with a high term and depose a leader that serves well.
	// The leader's lease depends on this refusal too.
	if n.hearsLeader(now) && !n.leaseless(request) {
		return
	}
	if term > n.term && !request.GetPreVote() {
		n.becomeFollower(now, term, "")
	}
	granted := term >= n.term && n.log.olderOrEqual(request) && n.mayVote(term, candidate, request.GetPreVote())
	if granted && !request.GetPreVote() {
		n.votedFor = candidate
		n.persistState()
		n.resetDeadline(now)
	}
	// A refusal carries this voter's own term. A candidate that is behind takes
	// it over; otherwise one with the newest log could ask for ever in a term
	// that the others have passed, and nobody would lead.
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

func (n *Node) mayVote(term units.Term, candidate units.VoterID, pre bool) bool {
	if pre {
		return term > n.term
	}
	return n.votedFor == "" || n.votedFor == candidate
}

func (n *Node) hearsLeader(now time.Time) bool {
	if n.role == Leader {
		return n.Lead(now)
	}
	return now.Before(n.heardAt.Add(n.options.Election))
}

func (n *Node) countVote(now time.Time, m *messages.LogMessage, response *messages.VoteResponse) {
	term := units.Term(m.GetTerm())
	if !response.GetGranted() {
		if term > n.term {
			n.becomeFollower(now, term, "")
		}
		return
	}
	asked := n.role == Candidate && !response.GetPreVote() && term == n.term
	preAsked := n.role == PreCandidate && response.GetPreVote() && term == n.term+1
	if !asked && !preAsked {
		return
	}
	n.votes[units.VoterID(m.GetFrom())] = true
	n.wonVote(now, response.GetPreVote())
}

func (n *Node) follow(now time.Time, m *messages.LogMessage, request *messages.AppendRequest) {
	term := units.Term(m.GetTerm())
	leader := units.VoterID(m.GetFrom())
	response := &messages.AppendResponse{
		Round: request.GetRound(),
	}
	if term < n.term {
		n.respond(leader, response)
		return
	}
	n.becomeFollower(now, term, leader.Instance())
	n.hear(now)
	if !n.founded() {
		response.NeedsSnapshot = true
		n.respond(leader, response)
		return
	}
	previous := units.Index(request.GetPreviousIndex())
	if !n.log.matches(previous, units.Term(request.GetPreviousTerm())) {
		response.Index = uint64(n.log.conflict(previous))
		n.respond(leader, response)
		return
	}
	if fresh := n.log.unknown(request.GetRecords()); len(fresh) > 0 {
		// A leader that contradicts a committed record means that a promise was
		// broken somewhere; to follow it would lose an acknowledged change.
		if first := units.Index(fresh[0].GetIndex()); first <= n.commit {
			n.act(Halt{Err: &ContradictionError{Leader: leader, Index: first}})
			return
		}
		n.store(now, fresh)
	}
	last := previous + units.Index(len(request.GetRecords()))
	n.commit = max(n.commit, min(units.Index(request.GetCommit()), last))
	response.Matched = true
	response.Index = uint64(last)
	n.respond(leader, response)
}

func (n *Node) respond(leader units.VoterID, response *messages.AppendResponse) {
	n.sendTo(leader, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_AppendResponse{
			AppendResponse: response,
		},
	})
}

func (n *Node) countAppend(now time.Time, m *messages.LogMessage, response *messages.AppendResponse) {
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
	p.confirm(response.GetRound())
	index := units.Index(response.GetIndex())
	switch {
	case p.transfer != nil:
		// The empty heartbeats beside a transfer tell nothing of the log.
	case response.GetNeedsSnapshot():
		n.sendPiece(now, from)
	case !response.GetMatched():
		n.stepBack(now, from, index)
	default:
		n.countMatch(now, from, index)
	}
}

// stepBack sends again from where the follower's log may match.
func (n *Node) stepBack(now time.Time, from units.VoterID, index units.Index) {
	p := n.peers[from]
	p.next = max(p.match+1, min(index, p.next))
	n.sendAppend(now, from)
}

func (n *Node) countMatch(now time.Time, from units.VoterID, index units.Index) {
	p := n.peers[from]
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if n.advanceCommit() {
		n.broadcast(now)
		return
	}
	if p.next <= n.log.lastIndex() {
		n.sendAppend(now, from)
	}
}

func (p *progress) confirm(round uint64) {
	sent, known := p.sentAt[round]
	if !known {
		return
	}
	for old := range p.sentAt {
		if old <= round {
			delete(p.sentAt, old)
		}
	}
	if sent.After(p.ackedAt) {
		p.ackedAt = sent
	}
}

// advanceCommit commits what a majority of the voters holds; learners do not count.
func (n *Node) advanceCommit() bool {
	matches := make([]units.Index, 0, len(n.voters))
	for _, voter := range n.voters {
		if voter == n.options.ID {
			matches = append(matches, n.log.lastIndex())
			continue
		}
		matches = append(matches, n.peers[voter].match)
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-n.quorum()]
	if candidate <= n.commit || n.log.termAt(candidate) != n.term {
		return false
	}
	n.commit = candidate
	return true
}

func (n *Node) broadcast(now time.Time) {
	n.round++
	n.beatAt = now.Add(n.options.Heartbeat)
	for _, peer := range n.others() {
		n.sendAppend(now, peer)
	}
}

func (n *Node) sendAppend(now time.Time, peer units.VoterID) {
	p := n.peers[peer]
	if _, sent := p.sentAt[n.round]; !sent {
		p.sentAt[n.round] = now
		delete(p.sentAt, n.round-maxRounds)
	}
	request := &messages.AppendRequest{
		Round: n.round,
	}
	// The log no longer holds what this follower needs next: the snapshot goes
	// in pieces, with empty heartbeats beside it.
	if p.transfer != nil || p.next <= n.log.base {
		n.sendRequest(peer, request)
		n.sendPiece(now, peer)
		return
	}
	request.Records = n.log.from(p.next, maxRecords, maxRecordBytes)
	request.PreviousIndex = uint64(p.next - 1)
	request.PreviousTerm = uint64(n.log.termAt(p.next - 1))
	request.Commit = uint64(n.commit)
	// Sending goes on behind records that are under way; a lost one shows as a
	// mismatch at the follower and is sent again.
	p.next += units.Index(len(request.GetRecords()))
	n.sendRequest(peer, request)
}

func (n *Node) sendRequest(peer units.VoterID, request *messages.AppendRequest) {
	n.sendTo(peer, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_AppendRequest{
			AppendRequest: request,
		},
	})
}
