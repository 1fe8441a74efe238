package replicator

import (
	"cmp"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// startPause is the pause after which a voter tells of its start again, in
	// election timeouts: the other may not have listened yet.
	startPause = 1.0 / 8
	// startEnd is how long after its start it does so, in election timeouts; by
	// then some voter campaigns without.
	startEnd = 2
)

// start is what a voter knows of its own start and of the others'.
//
// A voter that restarts refuses its vote for an election timeout, since a leader
// that it heard before may still hold its lease. Where all processes end at once
// no lease is left, and callers wait for nothing. So once every
// voter has said that it has started and heard no leader since, a vote is
// granted at once.
//
// All of them say so in one term, of which the candidate holds a record. Then
// it knows the membership of that term's leader, who is among those that
// spoke; it has restarted since it led, and nobody leads a term twice. Leaders
// of earlier terms lost their leases before this one was elected. A leader of a
// later term needs a majority of which at least one voter refuses the candidate,
// whose term is not later. So what they said holds for as long as the term does.
//
// A voter whose disk was lost with its process cannot say so any more, but the empty
// one in its place can: the old process is gone, and with its disk what it might lead
// by. Less than a majority may be gone so. Then each majority that could have elected
// a later leader holds a voter that has kept its term, and would have said that one.
// Without it, power lost together with two disks keeps callers waiting for an election.
type start struct {
	at time.Time
	// nonce tells answers to this start from those that an earlier one asked for.
	nonce uint64
	// replaced are the voters in whose place an empty one runs.
	replaced map[units.VoterID]bool
	// over says that this voter has heard a leader or led since its start.
	over  bool
	askAt time.Time
	// term is the one in which the voters in ends have said so, with their last
	// records.
	term units.Term
	ends map[units.VoterID]logEnd
	// proved says that this voter campaigns on what all have said.
	proved bool
}

// logEnd is where a voter's log ends.
type logEnd struct {
	term  units.Term
	index units.Index
}

func (e logEnd) compare(other logEnd) int {
	return cmp.Or(cmp.Compare(e.term, other.term), cmp.Compare(e.index, other.index))
}

// hear notes that a leader spoke.
func (n *Node) hear(now time.Time) {
	n.heardAt = now
	n.start.over = true
}

// tellStart tells the other voters of this one's start and asks for theirs.
func (n *Node) tellStart(now time.Time) {
	s := &n.start
	ended := now.Sub(s.at) > n.elections(startEnd)
	if s.over || ended || !n.isVoter() || now.Before(s.askAt) {
		return
	}
	s.askAt = now.Add(n.elections(startPause))
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

// replaces reports whether a question of a start is for a voter in whose place this
// instance runs, with an empty disk.
func (n *Node) replaces(m *messages.LogMessage) bool {
	to := units.VoterID(m.GetTo())
	asked := m.GetStart().GetAsks() && to.Instance() == n.options.ID.Instance() && to != n.options.ID
	return asked && !n.founded()
}

// tellReplaced answers for the voter whose place this instance has taken.
func (n *Node) tellReplaced(m *messages.LogMessage) {
	n.sendTo(units.VoterID(m.GetFrom()), n.term, &messages.LogMessage{
		Body: &messages.LogMessage_Start{
			Start: &messages.Start{
				Nonce:    m.GetStart().GetNonce(),
				Replaced: true,
			},
		},
	})
}

// countReplaced notes that a voter is gone with its disk. Only an answer to this start
// counts: one that was held up since an earlier life of the instance would speak of
// a voter that runs there now.
func (n *Node) countReplaced(now time.Time, m *messages.LogMessage) {
	s := &n.start
	from := units.VoterID(m.GetFrom())
	if s.over || m.GetStart().GetNonce() != s.nonce {
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
	n.campaignAsFirst(now)
}

// countStart campaigns once all voters have started and this one is the first of
// those with the longest log. With no such order, several that learn of the last
// start at once would take each other's votes, and all would wait for a timeout.
func (n *Node) countStart(now time.Time, m *messages.LogMessage, other *messages.Start) {
	s := &n.start
	if other.GetReplaced() {
		n.countReplaced(now, m)
		return
	}
	if s.over || !n.holds(n.options.ID) || units.Term(m.GetTerm()) != n.term {
		return
	}
	from := units.VoterID(m.GetFrom())
	if other.GetAsks() {
		n.sendStart(from, false)
	}
	if s.term != n.term || s.ends == nil {
		s.term = n.term
		s.ends = make(map[units.VoterID]logEnd)
	}
	s.ends[from] = logEnd{
		term:  units.Term(other.GetLastTerm()),
		index: units.Index(other.GetLastIndex()),
	}
	n.campaignAsFirst(now)
}

// campaignAsFirst campaigns where all voters have started and none goes before this one.
func (n *Node) campaignAsFirst(now time.Time) {
	s := &n.start
	if s.term != n.term || n.log.lastTerm() != n.term || !n.isVoter() || !n.firstOfStarted() {
		return
	}
	s.proved = true
	n.campaign(now, false)
	s.proved = false
}

// firstOfStarted reports whether all voters have started and none goes before this one.
func (n *Node) firstOfStarted() bool {
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
		end, started := n.start.ends[voter]
		if !started || cmp.Or(own.compare(end), cmp.Compare(voter, n.options.ID)) < 0 {
			return false
		}
	}
	return 2*replaced < len(n.voters)
}

// leaseless reports whether a vote request proves that no leader's lease is left
// which this voter has forgotten.
func (n *Node) leaseless(request *messages.VoteRequest) bool {
	return request.GetAllStarted() && !n.start.over
}

func (n *Node) elections(part float64) time.Duration {
	return time.Duration(part * float64(n.options.Election))
}
