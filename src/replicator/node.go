package replicator

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Role is a voter's role in the current term.
type Role int

// The roles of a voter.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name for dumps and logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

const (
	// maxRecords and maxRecordBytes bound the records of one append request.
	maxRecords     = 64
	maxRecordBytes = 1 << 20
	// pieceBytes bounds one piece of a snapshot.
	pieceBytes = 256 << 10
	// electionJitter is the largest random addition to an election timeout, in
	// election timeouts.
	electionJitter = 1.0
	// maxPendingRounds bounds the unanswered heartbeat rounds that a leader tracks.
	maxPendingRounds = 64
	// clockDriftDivisor bounds clock drift: during one election timeout, two clocks
	// drift apart by at most the timeout divided by it.
	clockDriftDivisor = 10
	// helloSilence is the time without a leader after which a voter sends hellos, in
	// election timeouts; answers to hellos expire after the same time.
	helloSilence = 2
	// spareExpiry is how long a spare is usable after its last hello, in election timeouts.
	spareExpiry = 4
	// retainedDivisor sets how much stays in the log before a snapshot's index: the
	// interval between snapshots divided by it.
	retainedDivisor = 4
)

// Options configures a voter; every field but JoinOnly is required.
type Options struct {
	ID         units.VoterID
	DataCentre units.DataCentre
	// Instances are all instances that may run a voter, including this one, in an
	// order that is the same in the settings of each.
	Instances []EligibleInstance
	// JoinOnly keeps this voter from starting a log; it waits until it is added to
	// one. An instance that returns with an empty disk would otherwise help to
	// start an empty log beside the one that it belonged to.
	JoinOnly bool
	// VoterCount is the wanted number of voters.
	VoterCount        int
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact to a leader after which a voter
	// starts an election.
	ElectionTimeout time.Duration
	// RepairTimeout is the time without an answer after which a voter is replaced by a spare.
	RepairTimeout time.Duration
	// SnapshotRecords and SnapshotBytes are how much is applied between snapshots;
	// the first to be reached triggers one.
	SnapshotRecords units.Index
	SnapshotBytes   int
	Random          *rand.Rand
}

// StoredState is the state that a voter read from disk; Snapshot is nil if it belongs to
// no log.
type StoredState struct {
	State    *messages.HardState
	Snapshot *messages.LogSnapshot
	Base     *messages.RecordsHeader
	Records  []*messages.LogRecord
}

// Node is the state machine of one voter.
type Node struct {
	options Options

	term     units.Term
	votedFor units.VoterID
	log      recordLog
	commit   units.Index
	applied  units.Index

	logID                string
	snapshot             *messages.LogSnapshot
	encodedSnapshotBytes []byte
	appliedBytes         int
	snapshotRequested    bool
	incomingSnapshot     *incomingSnapshot

	memberships memberships
	// committedMembership is the index of the last membership that is stored as committed.
	committedMembership units.Index
	membership          *messages.Membership
	voters              []units.VoterID
	helloAnswers        map[units.Instance]helloAnswer
	// knownInstances are instances that sent a message or were named in one, with
	// their data centre, "" until they report it.
	knownInstances map[units.Instance]units.DataCentre
	nextHelloAt    time.Time
	spares         map[units.VoterID]*spare

	// lost are voters whose disks are known to be lost.
	lost map[units.VoterID]bool

	role             Role
	leader           units.Instance
	leaderSince      time.Time
	electionDeadline time.Time
	leaderContactAt  time.Time
	start            start
	votes            map[units.VoterID]bool
	peers            map[units.VoterID]*progress
	round            uint64
	nextHeartbeatAt  time.Time
	reportedRole     RoleChanged

	actions []Action
}

// progress is a leader's replication state for one other member.
type progress struct {
	next  units.Index
	match units.Index
	// trackedSince is when this leader started to track the member.
	trackedSince time.Time
	ackedAt      time.Time
	// roundSentAt holds when each unanswered heartbeat round was sent, since a lease
	// starts when a heartbeat is sent and not when it is answered.
	roundSentAt      map[uint64]time.Time
	snapshotTransfer *snapshotTransfer
}

// New returns a voter that resumes from its stored state; the replicated state must
// already be that of the stored snapshot.
func New(now time.Time, options Options, stored StoredState) *Node {
	n := &Node{
		options:  options,
		term:     units.Term(stored.State.GetTerm()),
		votedFor: units.VoterID(stored.State.GetVotedFor()),
		log: recordLog{
			base:     units.Index(stored.Base.GetBaseIndex()),
			baseTerm: units.Term(stored.Base.GetBaseTerm()),
			records:  stored.Records,
		},
		snapshot:            stored.Snapshot,
		logID:               stored.Snapshot.GetLogId(),
		commit:              units.Index(stored.Snapshot.GetIndex()),
		applied:             units.Index(stored.Snapshot.GetIndex()),
		helloAnswers:        make(map[units.Instance]helloAnswer),
		knownInstances:      make(map[units.Instance]units.DataCentre),
		spares:              make(map[units.VoterID]*spare),
		lost:                make(map[units.VoterID]bool),
		committedMembership: units.Index(stored.State.GetCommittedMembership()),
		// A restarted voter does not know when its leader last contacted it. It
		// could help to elect another leader while the lease runs, and both would
		// answer. Counting the start as a heartbeat keeps the lease valid.
		leaderContactAt: now,
		start: start{
			startedAt: now,
			nonce:     options.Random.Uint64(),
		},
	}
	if n.hasLog() {
		n.memberships = memberships{{
			index:      n.commit,
			membership: n.snapshot.GetMembership(),
		}}
		if n.log.lastIndex() > n.commit {
			n.memberships = n.memberships.replaceFrom(n.log.between(n.commit+1, n.log.lastIndex()))
		}
		n.updateMembership(now)
	}
	n.resetElectionDeadline(now)
	return n
}

// Step takes one event and returns the actions to carry out, in order.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.actions = nil
	switch e := event.(type) {
	case Ticked:
		n.tick(now)
	case MessageReceived:
		n.receive(now, e.Message)
	case Proposed:
		n.propose(now, e)
	case SnapshotTaken:
		n.storeSnapshot(now, e)
	}
	n.recordCommittedMembership(now)
	n.apply()
	n.reportRole()
	return n.actions
}

// IsConfirmedLeader reports whether this voter is the leader and holds a valid lease, which a
// majority has confirmed within an election timeout.
//
// A suspended leader resumes with its old role, although its followers may have
// elected another by then, and it would answer with outdated state. The lease
// prevents this, since no voter grants a vote before it ends. The leader must also
// have committed a record of its own term: before that it may lack changes that an
// earlier leader has reported to an operator.
func (n *Node) IsConfirmedLeader(now time.Time) bool {
	return n.role == Leader && now.Before(n.leaseEnd(now)) && n.log.termAt(n.commit) == n.term
}

// Term returns the current term.
func (n *Node) Term() units.Term { return n.term }

// VoterID returns this voter's id.
func (n *Node) VoterID() units.VoterID { return n.options.ID }

// LogID returns the id of the log that this voter belongs to, "" for none.
func (n *Node) LogID() string { return n.logID }

// Membership returns the voters and learners in effect, nil without a log.
func (n *Node) Membership() *messages.Membership { return n.membership }

// CommittedVoters returns the number of voters of the last committed membership, 0 without a log.
func (n *Node) CommittedVoters() int {
	if len(n.memberships) == 0 {
		return 0
	}
	return len(votersOf(n.memberships.at(n.commit)))
}

// SnapshotIndex returns the index of the last record that the snapshot covers.
func (n *Node) SnapshotIndex() units.Index { return units.Index(n.snapshot.GetIndex()) }

// LeaderID returns the known leader, or "" for none.
func (n *Node) LeaderID() units.Instance { return n.leader }

// Commit returns the index of the last record known to be committed.
func (n *Node) Commit() units.Index { return n.commit }

// LastIndex returns the index of the last record in this voter's log.
func (n *Node) LastIndex() units.Index { return n.log.lastIndex() }

// CurrentRole returns this voter's role.
func (n *Node) CurrentRole() Role { return n.role }

func (n *Node) tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	n.sendHellos(now)
	n.announceStart(now)
	if n.isVoter() && !now.Before(n.electionDeadline) {
		n.campaign(now, true)
	}
}

func (n *Node) tickLeader(now time.Time) {
	// Check quorum: a leader that a silent network partition has isolated steps
	// down, so that operators get no answers from it and find the new leader.
	grace := n.leaderSince.Add(n.options.ElectionTimeout)
	if !now.Before(n.leaseEnd(now)) && !now.Before(grace) {
		n.becomeFollower(now, n.term, "")
		return
	}
	if !now.Before(n.nextHeartbeatAt) {
		n.broadcastAppend(now)
	}
	n.repair(now)
}

// leaseEnd returns the end of this leader's lease: an election timeout, less the
// possible clock drift in it, after the latest time at which a quorum, including
// this voter, is known to have received a heartbeat. Votes extend no lease: a voter
// may grant its next vote immediately.
func (n *Node) leaseEnd(now time.Time) time.Time {
	acked := latestOfQuorum(n, time.Time.Compare, func(voter units.VoterID) time.Time {
		if voter == n.options.ID {
			return now
		}
		return n.peers[voter].ackedAt
	})
	lease := n.options.ElectionTimeout - n.options.ElectionTimeout/clockDriftDivisor
	return acked.Add(lease)
}

func (n *Node) campaign(now time.Time, preVote bool) {
	n.leader = ""
	n.role = Candidate
	term := n.term + 1
	if preVote {
		n.role = PreCandidate
	} else {
		n.term = term
		n.votedFor = n.options.ID
		n.persistState()
	}
	n.resetElectionDeadline(now)
	n.votes = map[units.VoterID]bool{
		n.options.ID: true,
	}
	if n.advanceIfElected(now, preVote) {
		return
	}
	for _, peer := range n.electorate() {
		if peer == n.options.ID {
			continue
		}
		n.sendTo(peer, term, &messages.LogMessage{
			Body: &messages.LogMessage_VoteRequest{
				VoteRequest: &messages.VoteRequest{
					PreVote:    preVote,
					LastIndex:  uint64(n.log.lastIndex()),
					LastTerm:   uint64(n.log.lastTerm()),
					AllStarted: n.start.allStarted,
				},
			},
		})
	}
}

// advanceIfElected moves on to the election or to leadership if a quorum has
// granted the vote, and reports whether it did.
func (n *Node) advanceIfElected(now time.Time, preVote bool) bool {
	isGranted := latestOfQuorum(n, compareBools, func(voter units.VoterID) bool { return n.votes[voter] })
	if !isGranted {
		return false
	}
	if preVote {
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
	n.resetElectionDeadline(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.start.hadLeader = true
	n.leader = n.options.ID.Instance()
	n.leaderSince = now
	n.spares = make(map[units.VoterID]*spare)
	n.peers = nil
	n.updatePeers(now)
	// A leader commits only records of its own term: an older record that a
	// majority holds can still be overwritten, so that a command would be
	// acknowledged and then lost. The empty record commits all records before it.
	n.appendRecord(now, nil)
}

func (n *Node) propose(now time.Time, e Proposed) {
	membership := e.Command.GetMembership()
	if n.role != Leader || membership != nil && !n.canChangeTo(membership) {
		n.emit(Rejected{
			Token:  e.Token,
			Leader: n.leader,
		})
		return
	}
	index := n.appendRecord(now, e.Command)
	n.emit(Appended{
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
	n.storeRecords(now, []*messages.LogRecord{record})
	n.advanceCommit()
	n.broadcastAppend(now)
	return units.Index(record.GetIndex())
}

func (n *Node) storeRecords(now time.Time, records []*messages.LogRecord) {
	n.log.replaceFrom(records)
	n.emit(Persist{
		State:   n.hardState(),
		Records: records,
	})
	n.memberships = n.memberships.replaceFrom(records)
	n.updateMembership(now)
}

func (n *Node) persistState() {
	n.emit(Persist{State: n.hardState()})
}

func (n *Node) hardState() *messages.HardState {
	return &messages.HardState{
		Term:                uint64(n.term),
		VotedFor:            string(n.votedFor),
		Founded:             n.hasLog(),
		CommittedMembership: uint64(n.committedMembership),
	}
}

func (n *Node) apply() {
	if n.applied >= n.commit {
		return
	}
	records := n.log.between(n.applied+1, n.commit)
	n.applied = n.commit
	n.emit(Apply{Records: records})
	for _, record := range records {
		n.appliedBytes += proto.Size(record)
	}
	n.requestSnapshot()
}

func (n *Node) reportRole() {
	current := RoleChanged{
		Role:   n.role,
		Term:   n.term,
		Leader: n.leader,
	}
	if current == n.reportedRole {
		return
	}
	n.reportedRole = current
	n.emit(current)
}

func (n *Node) resetElectionDeadline(now time.Time) {
	jitter := time.Duration(n.options.Random.Float64() * electionJitter * float64(n.options.ElectionTimeout))
	n.electionDeadline = now.Add(n.options.ElectionTimeout + jitter)
}

// sendTo fills in a message's header and sends it.
func (n *Node) sendTo(to units.VoterID, term units.Term, message *messages.LogMessage) {
	message.From = string(n.options.ID)
	message.To = string(to)
	message.Term = uint64(term)
	message.LogId = n.logID
	n.emit(Send{Message: message})
}

func (n *Node) emit(action Action) {
	n.actions = append(n.actions, action)
}

// LeaseEnd returns when this voter's leadership ends unless its followers confirm it
// again, and the zero time if this voter is not the leader.
func (n *Node) LeaseEnd(now time.Time) time.Time {
	if !n.IsConfirmedLeader(now) {
		return time.Time{}
	}
	return n.leaseEnd(now)
}
