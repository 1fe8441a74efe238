package replicator

import (
	"cmp"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// startResendInterval is how long after an announcement of its start a voter
	// repeats it, in election timeouts: the receiver may not have been listening yet.
	startResendInterval = 1.0 / 8
	// startResendPeriod is how long after its start a voter repeats the announcement,
	// in election timeouts; by then some voter campaigns without it.
	startResendPeriod = 2
)

// start is a voter's state about its own start and those of the other voters. It
// shortens the first election after all voters have restarted.
//
// A restarted voter refuses its vote for an election timeout, since the leader that
// contacted it before may still hold its lease. If all processes end at the same
// time, no lease is left, and callers would wait for nothing. So once every voter has
// announced that it has started and has had no contact with a leader since, a vote is
// granted immediately.
//
// This is safe because all voters announce it in the same term, and the candidate
// holds a record of that term. So the candidate knows the membership of that term's
// leader, and the leader is among the voters that announced their start: it has
// restarted since it led, and no voter leads a term twice. Leaders of earlier terms
// lost their leases before that leader was elected. A leader of a later term needs a
// majority, of which at least one voter refuses the candidate because the candidate's
// term is not later. So the announcements remain valid for as long as the term does.
//
// A voter whose disk was lost with its process can no longer announce its start, but
// the instance that replaces it with an empty disk can answer for it: the old process
// has ended, and the state that it could lead with is lost with its disk. This is
// accepted only for less than a majority of the voters. Then every majority that could
// have elected a later leader includes a voter that has kept its term and would have
// announced that later one. Without these answers, a power failure that also destroys
// two disks would keep callers waiting for an election timeout.
type start struct {
	startedAt time.Time
	// nonce distinguishes answers to this start's announcements from answers to those
	// of an earlier one.
	nonce uint64
	// replaced are the voters whose instance now runs with an empty disk.
	replaced map[units.VoterID]bool
	// hadLeader reports that this voter has had contact with a leader or has led since
	// its start.
	hadLeader     bool
	nextRequestAt time.Time
	// term is the term in which the voters in logEnds have announced their start;
	// logEnds holds where the log of each ends.
	term    units.Term
	logEnds map[units.VoterID]logEnd
	// allStarted is set while this voter campaigns because all voters have announced
	// their start.
	allStarted bool
}

// logEnd is the term and index of the last record of a voter's log.
type logEnd struct {
	term  units.Term
	index units.Index
}

func (e logEnd) compare(other logEnd) int {
	return cmp.Or(cmp.Compare(e.term, other.term), cmp.Compare(e.index, other.index))
}

// recordLeaderContact records that a message from a leader has arrived.
func (n *Node) recordLeaderContact(now time.Time) {
	n.leaderContactAt = now
	n.start.hadLeader = true
}

// announceStart announces this voter's start to the others and requests their announcements.
func (n *Node) announceStart(now time.Time) {
	s := &n.start
	expired := now.Sub(s.startedAt) > n.electionTimeouts(startResendPeriod)
	if s.hadLeader || expired || !n.isVoter() || now.Before(s.nextRequestAt) {
		return
	}
	s.nextRequestAt = now.Add(n.electionTimeouts(startResendInterval))
	for _, voter := range n.voters {
		if voter != n.options.ID {
			n.sendStart(voter, true)
		}
	}
}

func (n *Node) sendStart(to units.VoterID, asks bool) {
	n.sendTo(to, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_Start{
			Start: &messages.Start{
				LastIndex: uint64(n.log.lastIndex()),
				LastTerm:  uint64(n.log.lastTerm()),
				Asks:      asks,
				Nonce:     n.start.nonce,
			},
		},
	})
}

// isReplacementFor reports whether a message asks about the start of an earlier
// identity of this instance, which this one replaces with an empty disk.
func (n *Node) isReplacementFor(m *messages.LogMessage) bool {
	to := units.VoterID(m.GetTo())
	requested := m.GetStart().GetAsks() && to.Instance() == n.options.ID.Instance() && to != n.options.ID
	return requested && !n.hasLog()
}

// sendReplaced answers for the voter that this one replaces.
func (n *Node) sendReplaced(m *messages.LogMessage) {
	n.sendTo(units.VoterID(m.GetFrom()), n.term, &messages.LogMessage{
		Body: &messages.LogMessage_Start{
			Start: &messages.Start{
				Nonce:    m.GetStart().GetNonce(),
				Replaced: true,
			},
		},
	})
}

// handleReplaced records that a voter has ended and its disk is lost. Only an answer
// to this start is accepted: one that was delayed since an earlier start could refer
// to the voter that runs on that instance now.
func (n *Node) handleReplaced(now time.Time, m *messages.LogMessage) {
	s := &n.start
	from := units.VoterID(m.GetFrom())
	if s.hadLeader || m.GetStart().GetNonce() != s.nonce {
		return
	}
	for _, voter := range n.voters {
		if voter.Instance() == from.Instance() && voter != from && voter != n.options.ID {
			if s.replaced == nil {
				s.replaced = make(map[units.VoterID]bool)
			}
			s.replaced[voter] = true
		}
	}
	n.campaignIfFirst(now)
}

// handleStart campaigns once all voters have started and this one is the first of
// those with the most up-to-date log. Without such an order, several voters that
// receive the last announcement at the same time would split the vote, and all would
// wait for an election timeout.
func (n *Node) handleStart(now time.Time, m *messages.LogMessage, other *messages.Start) {
	s := &n.start
	if other.GetReplaced() {
		n.handleReplaced(now, m)
		return
	}
	if s.hadLeader || !n.isMember(n.options.ID) || units.Term(m.GetTerm()) != n.term {
		return
	}
	from := units.VoterID(m.GetFrom())
	if other.GetAsks() {
		n.sendStart(from, false)
	}
	if s.term != n.term || s.logEnds == nil {
		s.term = n.term
		s.logEnds = make(map[units.VoterID]logEnd)
	}
	s.logEnds[from] = logEnd{
		term:  units.Term(other.GetLastTerm()),
		index: units.Index(other.GetLastIndex()),
	}
	n.campaignIfFirst(now)
}

// campaignIfFirst starts an election if all voters have started and this one is the
// first among them.
func (n *Node) campaignIfFirst(now time.Time) {
	s := &n.start
	if s.term != n.term || n.log.lastTerm() != n.term || !n.isVoter() || !n.isFirstOfStarted() {
		return
	}
	s.allStarted = true
	n.campaign(now, false)
	s.allStarted = false
}

// isFirstOfStarted reports whether all voters have started and none has a more
// up-to-date log, or an equal one and a lower id. Fewer than half of them may have
// been replaced.
func (n *Node) isFirstOfStarted() bool {
	own := logEnd{
		term:  n.log.lastTerm(),
		index: n.log.lastIndex(),
	}
	replaced := 0
	for _, voter := range n.voters {
		if voter == n.options.ID {
			continue
		}
		if n.start.replaced[voter] {
			replaced++
			continue
		}
		end, started := n.start.logEnds[voter]
		if !started || cmp.Or(own.compare(end), cmp.Compare(voter, n.options.ID)) < 0 {
			return false
		}
	}
	return 2*replaced < len(n.voters)
}

// provesNoLease reports whether a vote request proves that no leader holds a lease
// that this voter no longer knows of after its restart.
func (n *Node) provesNoLease(request *messages.VoteRequest) bool {
	return request.GetAllStarted() && !n.start.hadLeader
}

// electionTimeouts returns the duration of that many election timeouts.
func (n *Node) electionTimeouts(count float64) time.Duration {
	return time.Duration(count * float64(n.options.ElectionTimeout))
}
