package replicator

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

func (n *Node) receive(now time.Time, m *messages.LogMessage) {
	from := units.Instance(m.GetFrom())
	if !slices.Contains(n.options.Voters, from) {
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
	}
}

func (n *Node) answerVote(now time.Time, m *messages.LogMessage, request *messages.VoteRequest) {
	term := units.Term(m.GetTerm())
	candidate := units.Instance(m.GetFrom())
	// A voter that hears a live leader grants nothing: one that was cut off
	// would come back with a high term and depose a leader that serves well.
	// The leader's lease depends on this refusal too.
	if n.hearsLeader(now) {
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
	answer := n.message(candidate, max(term, n.term))
	answer.Body = &messages.LogMessage_VoteResponse{
		VoteResponse: &messages.VoteResponse{
			PreVote: request.GetPreVote(),
			Granted: granted,
		},
	}
	n.act(Send{Message: answer})
}

func (n *Node) mayVote(term units.Term, candidate units.Instance, pre bool) bool {
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
		if term > n.term && !response.GetPreVote() {
			n.becomeFollower(now, term, "")
		}
		return
	}
	asked := n.role == Candidate && !response.GetPreVote() && term == n.term
	preAsked := n.role == PreCandidate && response.GetPreVote() && term == n.term+1
	if !asked && !preAsked {
		return
	}
	n.votes[units.Instance(m.GetFrom())] = true
	n.wonVote(now, response.GetPreVote())
}

func (n *Node) follow(now time.Time, m *messages.LogMessage, request *messages.AppendRequest) {
	term := units.Term(m.GetTerm())
	leader := units.Instance(m.GetFrom())
	if term < n.term {
		n.respond(leader, request, false, 0)
		return
	}
	n.becomeFollower(now, term, leader)
	n.heardAt = now
	previous := units.Index(request.GetPreviousIndex())
	if !n.log.matches(previous, units.Term(request.GetPreviousTerm())) {
		n.respond(leader, request, false, min(n.log.lastIndex()+1, previous))
		return
	}
	fresh := n.log.unknown(request.GetRecords())
	if len(fresh) > 0 {
		n.store(fresh)
	}
	last := previous + units.Index(len(request.GetRecords()))
	n.commit = max(n.commit, min(units.Index(request.GetCommit()), last))
	n.respond(leader, request, true, last)
}

func (n *Node) respond(leader units.Instance, request *messages.AppendRequest, matched bool, index units.Index) {
	answer := n.message(leader, n.term)
	answer.Body = &messages.LogMessage_AppendResponse{
		AppendResponse: &messages.AppendResponse{
			Matched: matched,
			Index:   uint64(index),
			Round:   request.GetRound(),
		},
	}
	n.act(Send{Message: answer})
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
	p := n.peers[units.Instance(m.GetFrom())]
	p.confirm(response.GetRound())
	index := units.Index(response.GetIndex())
	if !response.GetMatched() {
		p.next = max(p.match+1, min(index, p.next-1))
		n.sendAppend(now, units.Instance(m.GetFrom()))
		return
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if n.advanceCommit() {
		n.broadcast(now)
		return
	}
	if p.next <= n.log.lastIndex() {
		n.sendAppend(now, units.Instance(m.GetFrom()))
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

func (n *Node) advanceCommit() bool {
	matches := []units.Index{n.log.lastIndex()}
	for _, p := range n.peers {
		matches = append(matches, p.match)
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

func (n *Node) sendAppend(now time.Time, peer units.Instance) {
	p := n.peers[peer]
	if _, sent := p.sentAt[n.round]; !sent {
		p.sentAt[n.round] = now
		delete(p.sentAt, n.round-maxRounds)
	}
	records := n.log.from(p.next, maxRecords)
	request := n.message(peer, n.term)
	request.Body = &messages.LogMessage_AppendRequest{
		AppendRequest: &messages.AppendRequest{
			PreviousIndex: uint64(p.next - 1),
			PreviousTerm:  uint64(n.log.termAt(p.next - 1)),
			Commit:        uint64(n.commit),
			Records:       records,
			Round:         n.round,
		},
	}
	// Sending goes on behind records that are under way; a lost one shows as a
	// mismatch at the follower and is sent again.
	p.next += units.Index(len(records))
	n.act(Send{Message: request})
}
