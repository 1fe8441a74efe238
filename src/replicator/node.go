package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

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
	// maxRecords and maxRecordBytes bound the records of one append request.
	maxRecords     = 64
	maxRecordBytes = 1 << 20
	// pieceBytes bounds one piece of a snapshot.
	pieceBytes = 256 << 10
	// electionSpread is the random part of an election timeout, in election timeouts.
	electionSpread = 1.0
	// maxRounds bounds the unanswered heartbeat rounds that a leader remembers.
	maxRounds = 64
	// driftShare is the part of an election timeout that clocks may drift apart in it.
	driftShare = 10
	// greetAfter is the silence after which a voter looks for its log, in election timeouts.
	greetAfter = 2
	// spareExpiry is how long a spare counts after its last hello, in election timeouts.
	spareExpiry = 4
	// retainedShare is the part of a snapshot's interval that stays in the log behind it.
	retainedShare = 4
)

// Options sets up a voter; every field is needed.
type Options struct {
	ID         units.VoterID
	DataCentre units.DataCentre
	// Instances are all that may carry control, this one included, in the order
	// that all of them are told.
	Instances []Place
	// Joining keeps this voter from founding a log; it waits until one takes it
	// in. An instance that comes back with an empty disk would otherwise help to
	// begin an empty log beside the one that it has forgotten.
	Joining bool
	// Voters is the wanted number of voters.
	Voters    int
	Heartbeat time.Duration
	// Election is the least silence after which a voter tries to lead.
	Election time.Duration
	// Repair is the silence after which a voter is replaced by a spare.
	Repair time.Duration
	// SnapshotRecords and SnapshotBytes are how much is applied between snapshots.
	SnapshotRecords units.Index
	SnapshotBytes   int
	Random          *rand.Rand
}

// Stored is what a voter had on disk; Snapshot is nil where it belongs to no log.
type Stored struct {
	State    *messages.HardState
	Snapshot *messages.LogSnapshot
	Base     *messages.RecordsHeader
	Records  []*messages.LogRecord
}

// Node decides for one voter.
type Node struct {
	options Options

	term     units.Term
	votedFor units.VoterID
	log      recordLog
	commit   units.Index
	applied  units.Index

	logID         string
	snapshot      *messages.LogSnapshot
	encoded       []byte
	appliedBytes  int
	snapshotAsked bool
	incoming      *incoming

	memberships memberships
	membership  *messages.Membership
	voters      []units.VoterID
	greetings   map[units.Instance]greeting
	// met are instances that spoke or were spoken of, with their data centre, ""
	// until they say it.
	met     map[units.Instance]units.DataCentre
	greetAt time.Time
	spares  map[units.VoterID]*spare

	role      Role
	leader    units.Instance
	leadSince time.Time
	deadline  time.Time
	heardAt   time.Time
	start     start
	votes     map[units.VoterID]bool
	peers     map[units.VoterID]*progress
	round     uint64
	beatAt    time.Time
	reported  RoleChanged

	actions []Action
}

// progress is what a leader knows of one other member.
type progress struct {
	next  units.Index
	match units.Index
	// since is when this leader began to count the member.
	since   time.Time
	ackedAt time.Time
	// sentAt holds when each unanswered heartbeat round began, since a lease
	// counts from the sending of a heartbeat and not from its answer.
	sentAt   map[uint64]time.Time
	transfer *transfer
}

// New returns a voter that resumes from what it had stored; the replicated state
// must stand as in the stored snapshot.
func New(now time.Time, options Options, stored Stored) *Node {
	n := &Node{
		options:  options,
		term:     units.Term(stored.State.GetTerm()),
		votedFor: units.VoterID(stored.State.GetVotedFor()),
		log: recordLog{
			base:     units.Index(stored.Base.GetBaseIndex()),
			baseTerm: units.Term(stored.Base.GetBaseTerm()),
			records:  stored.Records,
		},
		snapshot:  stored.Snapshot,
		logID:     stored.Snapshot.GetLogId(),
		commit:    units.Index(stored.Snapshot.GetIndex()),
		applied:   units.Index(stored.Snapshot.GetIndex()),
		greetings: make(map[units.Instance]greeting),
		met:       make(map[units.Instance]units.DataCentre),
		spares:    make(map[units.VoterID]*spare),
		// A voter that restarts has forgotten when it last heard its leader. It
		// would help to elect another while the lease runs, and both would
		// answer; counting the start as a heartbeat keeps the lease true.
		heardAt: now,
		start: start{
			at:    now,
			nonce: options.Random.Uint64(),
		},
	}
	if n.founded() {
		n.memberships = memberships{{
			index:      n.commit,
			membership: n.snapshot.GetMembership(),
		}}
		if n.log.lastIndex() > n.commit {
			n.memberships = n.memberships.replaceFrom(n.log.between(n.commit+1, n.log.lastIndex()))
		}
		n.refreshMembership(now)
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
	case SnapshotTaken:
		n.keepSnapshot(now, e)
	}
	n.apply()
	n.reportRole()
	return n.actions
}

// Lead reports whether this voter leads and a majority confirmed it within an election timeout.
//
// A frozen leader wakes with its old role. Its followers may have elected
// another by then, so that it would answer from the past; the lease makes it
// step back before it answers, since no voter votes within that time. It also
// has to have committed a record of its own term: before that it may lack what
// an earlier leader told an operator.
func (n *Node) Lead(now time.Time) bool {
	return n.role == Leader && now.Before(n.leaseEnd(now)) && n.log.termAt(n.commit) == n.term
}

// Term returns the current term.
func (n *Node) Term() units.Term { return n.term }

// Identity returns this voter's id.
func (n *Node) Identity() units.VoterID { return n.options.ID }

// LogID names the log that this voter belongs to, "" for none.
func (n *Node) LogID() string { return n.logID }

// Membership returns the voters and learners that count, nil before the founding.
func (n *Node) Membership() *messages.Membership { return n.membership }

// SnapshotIndex returns the index of the last record that the snapshot covers.
func (n *Node) SnapshotIndex() units.Index { return units.Index(n.snapshot.GetIndex()) }

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
	n.greet(now)
	n.tellStart(now)
	if n.isVoter() && !now.Before(n.deadline) {
		n.campaign(now, true)
	}
}

func (n *Node) lead(now time.Time) {
	// Check-quorum: a leader that a silent cut has isolated steps down, so that
	// operators get no answers from it and find the new leader.
	grace := n.leadSince.Add(n.options.Election)
	if !now.Before(n.leaseEnd(now)) && !now.Before(grace) {
		n.becomeFollower(now, n.term, "")
		return
	}
	if !now.Before(n.beatAt) {
		n.broadcast(now)
	}
	n.repair(now)
}

// leaseEnd is an election timeout, less what clocks may drift apart in it, after
// the latest moment at which a majority, this voter included, is known to have
// heard this leader. Votes give no lease: a voter may give its next one at once.
func (n *Node) leaseEnd(now time.Time) time.Time {
	acked := make([]time.Time, 0, len(n.voters))
	for _, voter := range n.voters {
		if voter == n.options.ID {
			acked = append(acked, now)
			continue
		}
		acked = append(acked, n.peers[voter].ackedAt)
	}
	slices.SortFunc(acked, func(a, b time.Time) int { return b.Compare(a) })
	lease := n.options.Election - n.options.Election/driftShare
	return acked[n.quorum()-1].Add(lease)
}

func (n *Node) campaign(now time.Time, pre bool) {
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
	n.votes = map[units.VoterID]bool{
		n.options.ID: true,
	}
	if n.wonVote(now, pre) {
		return
	}
	for _, peer := range n.voters {
		if peer == n.options.ID {
			continue
		}
		n.sendTo(peer, term, &messages.LogMessage{
			Body: &messages.LogMessage_VoteRequest{
				VoteRequest: &messages.VoteRequest{
					PreVote:    pre,
					LastIndex:  uint64(n.log.lastIndex()),
					LastTerm:   uint64(n.log.lastTerm()),
					AllStarted: n.start.proved,
				},
			},
		})
	}
}

func (n *Node) wonVote(now time.Time, pre bool) bool {
	granted := 0
	for _, voter := range n.voters {
		if n.votes[voter] {
			granted++
		}
	}
	if granted < n.quorum() {
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
	n.start.over = true
	n.leader = n.options.ID.Instance()
	n.leadSince = now
	n.spares = make(map[units.VoterID]*spare)
	n.peers = nil
	n.refreshPeers(now)
	// A leader commits only records of its own term: an older one that a
	// majority holds can still be overwritten, so that a command would be
	// acknowledged and then lost. The empty record commits all before it.
	n.appendRecord(now, nil)
}

func (n *Node) propose(now time.Time, e Proposed) {
	membership := e.Command.GetMembership()
	if n.role != Leader || membership != nil && !n.allowed(membership) {
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
	n.store(now, []*messages.LogRecord{record})
	n.advanceCommit()
	n.broadcast(now)
	return units.Index(record.GetIndex())
}

func (n *Node) store(now time.Time, records []*messages.LogRecord) {
	n.log.replaceFrom(records)
	n.act(Persist{
		State:   n.hardState(),
		Records: records,
	})
	n.memberships = n.memberships.replaceFrom(records)
	n.refreshMembership(now)
}

func (n *Node) persistState() {
	n.act(Persist{State: n.hardState()})
}

func (n *Node) hardState() *messages.HardState {
	return &messages.HardState{
		Term:     uint64(n.term),
		VotedFor: string(n.votedFor),
		Founded:  n.founded(),
	}
}

func (n *Node) apply() {
	if n.applied >= n.commit {
		return
	}
	records := n.log.between(n.applied+1, n.commit)
	n.applied = n.commit
	n.act(Apply{Records: records})
	for _, record := range records {
		n.appliedBytes += proto.Size(record)
	}
	n.askSnapshot()
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

// sendTo addresses a message and sends it.
func (n *Node) sendTo(to units.VoterID, term units.Term, message *messages.LogMessage) {
	message.From = string(n.options.ID)
	message.To = string(to)
	message.Term = uint64(term)
	message.LogId = n.logID
	n.act(Send{Message: message})
}

func (n *Node) act(action Action) {
	n.actions = append(n.actions, action)
}

// LeaseEnd returns until when this voter leads unless it hears from its followers
// again, and the zero time where it does not lead.
func (n *Node) LeaseEnd(now time.Time) time.Time {
	if !n.Lead(now) {
		return time.Time{}
	}
	return n.leaseEnd(now)
}
