package replicator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/configurator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	testHeartbeat = 50 * time.Millisecond
	testElection  = 500 * time.Millisecond
	testRepair    = 3 * time.Second
)

// TestMain sets a fixed seed, unless the command line sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

// cluster simulates several nodes and the messages between them, and records what they
// must not contradict: leaders, records, commits, admissions, winners and accepted versions.
type cluster struct {
	t        rapid.TB
	now      time.Time
	members  []*member
	inFlight []*messages.LogMessage
	// cutLinks holds the pairs of sender and receiver between which messages are lost.
	cutLinks map[[2]units.Instance]bool

	leaders   map[units.Term]units.VoterID
	records   map[[2]uint64]*messages.LogRecord
	committed map[units.Index]*messages.LogRecord
	// committedIn is the term of the first member that knew of a commit.
	committedIn   map[units.Index]units.Term
	lastCommitted units.Index
	admitted      map[units.VoterID]bool
	winners       map[uint64]string
	acked         units.Version
	tokens        uint64
}

// member is one instance with its disk.
type member struct {
	cluster      *cluster
	name         units.Instance
	centre       units.DataCentre
	incarnations int
	id           units.VoterID
	disk         StoredState
	node         *Node
	state        configurator.State
	frozen       bool
	clockOffset  time.Duration
	clockRate    float64
	pending      map[units.Index]pendingSubmission
	tokens       map[uint64]*messages.Submission
	isLeader     bool
}

type pendingSubmission struct {
	term       units.Term
	submission *messages.Submission
}

func newCluster(t rapid.TB, instances, voters int) *cluster {
	w := &cluster{
		t:           t,
		now:         time.Unix(1000, 0),
		cutLinks:    make(map[[2]units.Instance]bool),
		leaders:     make(map[units.Term]units.VoterID),
		records:     make(map[[2]uint64]*messages.LogRecord),
		committedIn: make(map[units.Index]units.Term),
		committed:   make(map[units.Index]*messages.LogRecord),
		admitted:    make(map[units.VoterID]bool),
		winners:     make(map[uint64]string),
	}
	for i := range instances {
		w.members = append(w.members, &member{
			cluster:   w,
			name:      units.Instance(fmt.Sprintf("c%d", i+1)),
			centre:    units.DataCentre(fmt.Sprintf("dc-%d", i%4)),
			clockRate: 1,
		})
	}
	for _, m := range w.members {
		m.loseDisk()
		m.start(voters)
	}
	return w
}

func (m *member) clock() time.Time {
	elapsed := m.cluster.now.Sub(time.Unix(0, 0))
	return time.Unix(0, 0).Add(time.Duration(float64(elapsed)*m.clockRate) + m.clockOffset)
}

func (m *member) loseDisk() {
	m.incarnations++
	m.id = units.NewVoterID(m.name, fmt.Sprintf("life%d", m.incarnations))
	m.disk = StoredState{
		State: &messages.HardState{},
		Base:  &messages.RecordsHeader{},
	}
}

func (m *member) start(voters int) {
	options := Options{
		ID:                m.id,
		DataCentre:        m.centre,
		VoterCount:        voters,
		HeartbeatInterval: testHeartbeat,
		ElectionTimeout:   testElection,
		RepairTimeout:     testRepair,
		SnapshotRecords:   8,
		SnapshotBytes:     1 << 20,
		Random:            rand.New(rand.NewPCG(uint64(m.name[1]), uint64(m.incarnations))),
	}
	for _, other := range m.cluster.members {
		options.Instances = append(options.Instances, EligibleInstance{
			Instance:   other.name,
			DataCentre: other.centre,
		})
	}
	m.state = configurator.State{}
	m.restore(m.disk.Snapshot)
	m.pending = make(map[units.Index]pendingSubmission)
	m.tokens = make(map[uint64]*messages.Submission)
	m.isLeader = false
	m.frozen = false
	m.node = New(m.clock(), options, StoredState{
		State:    proto.CloneOf(m.disk.State),
		Snapshot: m.disk.Snapshot,
		Base:     m.disk.Base,
		Records:  slices.Clone(m.disk.Records),
	})
}

func (m *member) restore(snapshot *messages.LogSnapshot) {
	if len(snapshot.GetContent()) == 0 {
		return
	}
	if err := m.state.Restore(snapshot.GetContent()); err != nil {
		m.cluster.t.Fatal(err)
	}
}

// step carries out the actions of one event; the member crashes before the action
// numbered crashAt, or not at all for -1.
func (m *member) step(e Event, crashAt int) {
	for i, action := range m.node.Step(m.clock(), e) {
		if i == crashAt {
			m.node = nil
			return
		}
		m.carryOut(action)
		if m.node == nil {
			return
		}
	}
}

func (m *member) carryOut(action Action) {
	w := m.cluster
	switch a := action.(type) {
	case Persist:
		m.disk.State = a.State
		m.storeRecords(a.Records)
	case PersistSnapshot:
		m.disk = StoredState{
			State:    a.State,
			Snapshot: a.Snapshot,
			Base:     a.Base,
			Records:  slices.Clone(a.Records),
		}
		w.recordAdmitted(a.Snapshot.GetMembership())
	case Restore:
		m.restore(a.Snapshot)
	case TakeSnapshot:
		content, err := m.state.Snapshot()
		if err != nil {
			w.t.Fatal(err)
		}
		m.step(SnapshotTaken{Index: a.Index, Content: content}, -1)
	case Send:
		w.checkVote(a.Message)
		w.inFlight = append(w.inFlight, a.Message)
	case Apply:
		m.apply(a.Records)
	case Appended:
		m.pending[a.Index] = pendingSubmission{term: a.Term, submission: m.tokens[a.Token]}
	case RoleChanged:
		m.changeRole(a)
	case Halt:
		w.t.Fatalf("%s halted: %v", m.id, a.Err)
	}
}

func (m *member) storeRecords(records []*messages.LogRecord) {
	if len(records) == 0 {
		return
	}
	kept := records[0].GetIndex() - m.disk.Base.GetBaseIndex() - 1
	m.disk.Records = append(slices.Clone(m.disk.Records[:kept]), records...)
	for _, record := range records {
		m.cluster.recordStored(record)
		m.cluster.recordAdmitted(record.GetCommand().GetMembership())
	}
}

func (m *member) apply(records []*messages.LogRecord) {
	for _, record := range records {
		m.cluster.recordCommitted(record, m.node.Term())
		before := m.state.Version()
		submission := record.GetCommand().GetSubmission()
		if submission == nil {
			continue
		}
		result := m.state.Submit(submission)
		if m.state.Version() < before {
			m.cluster.t.Fatalf("%s: version went back from %d to %d", m.id, before, m.state.Version())
		}
		index := units.Index(record.GetIndex())
		if p, known := m.pending[index]; known && p.term == units.Term(record.GetTerm()) {
			m.cluster.checkOutcome(p.submission, result)
		}
		delete(m.pending, index)
	}
}

// checkOutcome checks the answer to the submitter of a change.
func (c *cluster) checkOutcome(submission *messages.Submission, result *messages.SubmissionResult) {
	version := submission.GetVersion()
	if result.GetOutcome() == messages.Outcome_OUTCOME_ACCEPTED {
		if winner, known := c.winners[version]; known && winner != submission.GetOperator() {
			c.t.Fatalf("version %d: accepted for %s and for %s", version, winner, submission.GetOperator())
		}
		c.winners[version] = submission.GetOperator()
		c.acked = max(c.acked, units.Version(version))
		return
	}
	if winner, known := c.winners[version]; known && result.GetOutcome() == messages.Outcome_OUTCOME_CONFLICT && winner != result.GetWinner() {
		c.t.Fatalf("version %d: got winner %s, want %s", version, result.GetWinner(), winner)
	}
}

func (c *cluster) recordStored(record *messages.LogRecord) {
	key := [2]uint64{record.GetTerm(), record.GetIndex()}
	if other, known := c.records[key]; known && !proto.Equal(other, record) {
		c.t.Fatalf("log matching: two different records have index %d and term %d", key[1], key[0])
	}
	c.records[key] = record
}

func (c *cluster) recordCommitted(record *messages.LogRecord, term units.Term) {
	index := units.Index(record.GetIndex())
	if other, known := c.committed[index]; known && !proto.Equal(other, record) {
		c.t.Fatalf("committed record %d changed: got term %d, want term %d", index, record.GetTerm(), other.GetTerm())
	}
	if _, known := c.committedIn[index]; !known {
		c.committedIn[index] = term
	}
	c.committed[index] = record
	c.lastCommitted = max(c.lastCommitted, index)
}

func (c *cluster) recordAdmitted(membership *messages.Membership) {
	for _, member := range membership.GetMembers() {
		c.admitted[units.VoterID(member.GetId())] = true
	}
}

// checkVote fails on a granted vote of an identity that no membership has admitted.
func (c *cluster) checkVote(m *messages.LogMessage) {
	if m.GetVoteResponse().GetGranted() && !c.admitted[units.VoterID(m.GetFrom())] {
		c.t.Fatalf("vote from %s, which no membership has admitted", m.GetFrom())
	}
}

func (m *member) changeRole(a RoleChanged) {
	m.isLeader = a.Role == Leader
	if !m.isLeader {
		m.pending = make(map[units.Index]pendingSubmission)
		return
	}
	w := m.cluster
	if other, known := w.leaders[a.Term]; known && other != m.id {
		w.t.Fatalf("term %d has two leaders: %s and %s", a.Term, other, m.id)
	}
	w.leaders[a.Term] = m.id
	for index := m.node.log.base + 1; index <= w.lastCommitted; index++ {
		// Delayed votes may elect a leader after that of a later term. It commits nothing, as a
		// majority has left its term.
		if w.committedIn[index] > a.Term {
			continue
		}
		if got, want := m.node.log.termAt(index), units.Term(w.committed[index].GetTerm()); got != want {
			w.t.Fatalf("leader %s of term %d lacks committed record %d: got term %d, want %d", m.id, a.Term, index, got, want)
		}
	}
}

// checkLeaderVersions checks that no leader would report an older version to an operator
// than one that has been accepted.
func (c *cluster) checkLeaderVersions() {
	for _, m := range c.members {
		if m.running() && m.node.IsConfirmedLeader(m.clock()) && m.state.Version() < c.acked {
			c.t.Fatalf("%s reports version %d in term %d, after version %d was accepted",
				m.id, m.state.Version(), m.node.Term(), c.acked)
		}
	}
}

func (m *member) running() bool { return m.node != nil && !m.frozen }

func (c *cluster) deliverAt(at int) {
	message := c.inFlight[at]
	c.inFlight = slices.Delete(c.inFlight, at, at+1)
	c.deliverMessage(message, -1)
}

func (c *cluster) deliverMessage(message *messages.LogMessage, crashAt int) {
	from, to := units.VoterID(message.GetFrom()).Instance(), units.VoterID(message.GetTo()).Instance()
	for _, m := range c.members {
		if m.name == to && m.running() && !c.cutLinks[[2]units.Instance{from, to}] {
			m.step(MessageReceived{Message: proto.CloneOf(message)}, crashAt)
		}
	}
}

func (c *cluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	for _, m := range c.members {
		if m.running() {
			m.step(Ticked{}, -1)
		}
	}
}

// runWithoutFaults lets time pass in rounds of 10 ms, with every message delivered in order.
func (c *cluster) runWithoutFaults(rounds int) {
	for range rounds {
		c.tick(10 * time.Millisecond)
		batch := c.inFlight
		c.inFlight = nil
		for _, message := range batch {
			c.deliverMessage(message, -1)
		}
		c.checkLeaderVersions()
	}
}

// submit proposes a change at a member.
func (c *cluster) submit(m *member, version uint64, operator string) {
	c.tokens++
	submission := &messages.Submission{
		Version:     version,
		Operator:    operator,
		Document:    []byte(operator),
		ContentHash: configurator.Hash([]byte(operator)),
	}
	m.tokens[c.tokens] = submission
	m.step(Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Submission{
				Submission: submission,
			},
		},
		Token: c.tokens,
	}, -1)
}

func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.running() && m.node.IsConfirmedLeader(m.clock()) {
			return m
		}
	}
	return nil
}
