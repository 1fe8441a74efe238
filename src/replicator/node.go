package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Role is a voter's part in the current term.
type Role int

// The roles of a voter.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name as dumps and logs show it.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

const (
	// maxRecords bounds the records of one append request.
	maxRecords = 64
	// electionSpread is the random part of an election timeout, in election timeouts.
	electionSpread = 1.0
	// maxRounds bounds the unanswered heartbeat rounds that a leader remembers.
	maxRounds = 64
)

// Options sets up a voter; every field is needed.
type Options struct {
	ID        units.Instance
	Voters    []units.Instance
	Heartbeat time.Duration
	// Election is the least silence after which a voter tries to lead.
	Election time.Duration
	Random   *rand.Rand
}

// Node decides for one voter.
type Node struct {
	options Options

	term     units.Term
	votedFor units.Instance
	log      recordLog
	commit   units.Index
	applied  units.Index

	role     Role
	leader   units.Instance
	deadline time.Time
	heardAt  time.Time
	votes    map[units.Instance]bool
	peers    map[units.Instance]*progress
	round    uint64
	beatAt   time.Time
	reported RoleChanged

	actions []Action
}

// progress is what a leader knows of one follower.
type progress struct {
	next    units.Index
	match   units.Index
	ackedAt time.Time
	// sentAt holds when each unanswered heartbeat round began, since a lease
	// counts from the sending of a heartbeat and not from its answer.
	sentAt map[uint64]time.Time
}

// New returns a voter that resumes from what it had stored.
func New(now time.Time, options Options, state *messages.HardState, records []*messages.LogRecord) *Node {
	n := &Node{
		options:  options,
		term:     units.Term(state.GetTerm()),
		votedFor: units.Instance(state.GetVotedFor()),
		log: recordLog{
			records: records,
		},
		// A voter that restarts has forgotten when it last heard its leader. It
		// would help to elect another while the lease runs, and both would
		// answer; counting the start as a heartbeat keeps the lease true.
		heardAt: now,
	}
	n.resetDeadline(now)
	return n
}

// Step takes one event and returns the actions to carry out, in order.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.actions = nil
	switch e := event.(type) {
	case Ticked:
		n.tick(now)
	case Received:
		n.receive(now, e.Message)
	case Proposed:
		n.propose(now, e)
	}
	n.apply()
	n.reportRole()
	return n.actions
}

// Lead reports whether this voter leads and a majority confirmed it within an election timeout.
//
// A frozen leader wakes with its old role. Its followers may have elected
// another by then, so that it would answer from the past; the lease makes it
// step back before it answers, since no voter votes within that time.
func (n *Node) Lead(now time.Time) bool {
	return n.role == Leader && now.Before(n.leaseEnd())
}

// Term returns the current term.
func (n *Node) Term() units.Term { return n.term }

// LeaderID returns the leader this voter knows of, or "" for none.
func (n *Node) LeaderID() units.Instance { return n.leader }

// Commit returns the index of the last record known to be committed.
func (n *Node) Commit() units.Index { return n.commit }

// LastIndex returns the index of the last record in this voter's log.
func (n *Node) LastIndex() units.Index { return n.log.lastIndex() }

// CurrentRole returns this voter's role.
func (n *Node) CurrentRole() Role { return n.role }

func (n *Node) tick(now time.Time) {
	if n.role == Leader {
		n.lead(now)
		return
	}
	if now.Before(n.deadline) {
		return
	}
	n.campaign(now, true)
}

func (n *Node) lead(now time.Time) {
	// Check-quorum: a leader that a silent cut has isolated steps down, so that
	// operators get no answers from it and find the new leader.
	if !now.Before(n.leaseEnd()) {
		n.becomeFollower(now, n.term, "")
		return
	}
	if now.Before(n.beatAt) {
		return
	}
	n.broadcast(now)
}

// leaseEnd is an election timeout after the latest moment at which a majority,
// this voter included, is known to have heard this leader.
func (n *Node) leaseEnd() time.Time {
	if len(n.options.Voters) == 1 {
		return n.beatAt.Add(n.options.Election)
	}
	acked := make([]time.Time, 0, len(n.peers))
	for _, p := range n.peers {
		acked = append(acked, p.ackedAt)
	}
	slices.SortFunc(acked, func(a, b time.Time) int { return b.Compare(a) })
	return acked[n.quorum()-2].Add(n.options.Election)
}

func (n *Node) quorum() int { return len(n.options.Voters)/2 + 1 }

func (n *Node) campaign(now time.Time, pre bool) {
	if !slices.Contains(n.options.Voters, n.options.ID) {
		return
	}
	n.leader = ""
	n.role = Candidate
	term := n.term + 1
	if pre {
		n.role = PreCandidate
	} else {
		n.term = term
		n.votedFor = n.options.ID
		n.persistState()
	}
	n.resetDeadline(now)
	n.votes = map[units.Instance]bool{
		n.options.ID: true,
	}
	if n.wonVote(now, pre) {
		return
	}
	for _, peer := range n.others() {
		message := n.message(peer, term)
		message.Body = &messages.LogMessage_VoteRequest{
			VoteRequest: &messages.VoteRequest{
				PreVote:   pre,
				LastIndex: uint64(n.log.lastIndex()),
				LastTerm:  uint64(n.log.lastTerm()),
			},
		}
		n.act(Send{Message: message})
	}
}

func (n *Node) wonVote(now time.Time, pre bool) bool {
	if len(n.votes) < n.quorum() {
		return false
	}
	if pre {
		n.campaign(now, false)
		return true
	}
	n.becomeLeader(now)
	return true
}

func (n *Node) becomeFollower(now time.Time, term units.Term, leader units.Instance) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
		n.persistState()
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.resetDeadline(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.options.ID
	n.peers = make(map[units.Instance]*progress)
	for _, peer := range n.others() {
		n.peers[peer] = &progress{
			next:    n.log.lastIndex() + 1,
			ackedAt: now,
			sentAt:  make(map[uint64]time.Time),
		}
	}
	// A leader commits only records of its own term: an older one that a
	// majority holds can still be overwritten, so that a command would be
	// acknowledged and then lost. The empty record commits all before it.
	n.appendRecord(now, nil)
}

func (n *Node) propose(now time.Time, e Proposed) {
	if n.role != Leader {
		n.act(Rejected{
			Token:  e.Token,
			Leader: n.leader,
		})
		return
	}
	index := n.appendRecord(now, e.Command)
	n.act(Appended{
		Token: e.Token,
		Term:  n.term,
		Index: index,
	})
}

func (n *Node) appendRecord(now time.Time, command *messages.Command) units.Index {
	record := &messages.LogRecord{
		Term:    uint64(n.term),
		Index:   uint64(n.log.lastIndex() + 1),
		Command: command,
	}
	n.store([]*messages.LogRecord{record})
	n.advanceCommit()
	n.broadcast(now)
	return units.Index(record.GetIndex())
}

func (n *Node) store(records []*messages.LogRecord) {
	n.log.replaceFrom(records)
	n.act(Persist{
		State:   n.hardState(),
		Records: records,
	})
}

func (n *Node) persistState() {
	n.act(Persist{State: n.hardState()})
}

func (n *Node) hardState() *messages.HardState {
	return &messages.HardState{
		Term:     uint64(n.term),
		VotedFor: string(n.votedFor),
	}
}

func (n *Node) apply() {
	if n.applied >= n.commit {
		return
	}
	records := n.log.between(n.applied+1, n.commit)
	n.applied = n.commit
	n.act(Apply{Records: records})
}

func (n *Node) reportRole() {
	now := RoleChanged{
		Role:   n.role,
		Term:   n.term,
		Leader: n.leader,
	}
	if now == n.reported {
		return
	}
	n.reported = now
	n.act(now)
}

func (n *Node) resetDeadline(now time.Time) {
	spread := time.Duration(n.options.Random.Float64() * electionSpread * float64(n.options.Election))
	n.deadline = now.Add(n.options.Election + spread)
}

func (n *Node) others() []units.Instance {
	others := make([]units.Instance, 0, len(n.options.Voters))
	for _, voter := range n.options.Voters {
		if voter != n.options.ID {
			others = append(others, voter)
		}
	}
	return others
}

func (n *Node) message(to units.Instance, term units.Term) *messages.LogMessage {
	return &messages.LogMessage{
		From: string(n.options.ID),
		To:   string(to),
		Term: uint64(term),
	}
}

func (n *Node) act(action Action) {
	n.actions = append(n.actions, action)
}
