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

// TestMain fixes the seed, unless another is asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

// world holds several nodes, the messages between them and what was promised.
type world struct {
	t       rapid.TB
	now     time.Time
	members []*member
	bag     []*messages.LogMessage
	// cut holds the directions in which nothing arrives.
	cut map[[2]units.Instance]bool

	leaders   map[units.Term]units.VoterID
	records   map[[2]uint64]*messages.LogRecord
	committed map[units.Index]*messages.LogRecord
	last      units.Index
	admitted  map[units.VoterID]bool
	winners   map[uint64]string
	acked     units.Version
	tokens    uint64
}

// member is one instance with its disk.
type member struct {
	world    *world
	name     units.Instance
	centre   units.DataCentre
	lives    int
	id       units.VoterID
	disk     Stored
	node     *Node
	state    configurator.State
	frozen   bool
	offset   time.Duration
	rate     float64
	pending  map[units.Index]waiting
	tokens   map[uint64]*messages.Submission
	isLeader bool
}

type waiting struct {
	term       units.Term
	submission *messages.Submission
}

func newWorld(t rapid.TB, instances, voters int) *world {
	w := &world{
		t:         t,
		now:       time.Unix(1000, 0),
		cut:       make(map[[2]units.Instance]bool),
		leaders:   make(map[units.Term]units.VoterID),
		records:   make(map[[2]uint64]*messages.LogRecord),
		committed: make(map[units.Index]*messages.LogRecord),
		admitted:  make(map[units.VoterID]bool),
		winners:   make(map[uint64]string),
	}
	for i := range instances {
		w.members = append(w.members, &member{
			world:  w,
			name:   units.Instance(fmt.Sprintf("c%d", i+1)),
			centre: units.DataCentre(fmt.Sprintf("dc-%d", i%4)),
			rate:   1,
		})
	}
	for _, m := range w.members {
		m.loseDisk()
		m.start(voters)
	}
	return w
}

func (m *member) clock() time.Time {
	elapsed := m.world.now.Sub(time.Unix(0, 0))
	return time.Unix(0, 0).Add(time.Duration(float64(elapsed)*m.rate) + m.offset)
}

func (m *member) loseDisk() {
	m.lives++
	m.id = units.NewVoterID(m.name, fmt.Sprintf("life%d", m.lives))
	m.disk = Stored{
		State: &messages.HardState{},
		Base:  &messages.RecordsHeader{},
	}
}

func (m *member) start(voters int) {
	options := Options{
		ID:              m.id,
		DataCentre:      m.centre,
		Voters:          voters,
		Heartbeat:       testHeartbeat,
		Election:        testElection,
		Repair:          testRepair,
		SnapshotRecords: 8,
		SnapshotBytes:   1 << 20,
		Random:          rand.New(rand.NewPCG(uint64(m.name[1]), uint64(m.lives))),
	}
	for _, other := range m.world.members {
		options.Instances = append(options.Instances, Place{
			Instance:   other.name,
			DataCentre: other.centre,
		})
	}
	m.state = configurator.State{}
	m.restore(m.disk.Snapshot)
	m.pending = make(map[units.Index]waiting)
	m.tokens = make(map[uint64]*messages.Submission)
	m.isLeader = false
	m.frozen = false
	m.node = New(m.clock(), options, Stored{
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
		m.world.t.Fatal(err)
	}
}

// step carries out the actions of one event; a crash comes before the action numbered crashAt.
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
	w := m.world
	switch a := action.(type) {
	case Persist:
		m.disk.State = a.State
		m.keep(a.Records)
	case PersistSnapshot:
		m.disk = Stored{
			State:    a.State,
			Snapshot: a.Snapshot,
			Base:     a.Base,
			Records:  slices.Clone(a.Records),
		}
		w.noteMembers(a.Snapshot.GetMembership())
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
		w.bag = append(w.bag, a.Message)
	case Apply:
		m.apply(a.Records)
	case Appended:
		m.pending[a.Index] = waiting{term: a.Term, submission: m.tokens[a.Token]}
	case RoleChanged:
		m.changeRole(a)
	case Halt:
		w.t.Fatalf("%s halted: %v", m.id, a.Err)
	}
}

func (m *member) keep(records []*messages.LogRecord) {
	if len(records) == 0 {
		return
	}
	kept := records[0].GetIndex() - m.disk.Base.GetBaseIndex() - 1
	m.disk.Records = append(slices.Clone(m.disk.Records[:kept]), records...)
	for _, record := range records {
		m.world.noteRecord(record)
		m.world.noteMembers(record.GetCommand().GetMembership())
	}
}

func (m *member) apply(records []*messages.LogRecord) {
	for _, record := range records {
		m.world.noteCommitted(record)
		before := m.state.Version()
		submission := record.GetCommand().GetSubmission()
		if submission == nil {
			continue
		}
		result := m.state.Submit(submission)
		if m.state.Version() < before {
			m.world.t.Fatalf("%s: version went back from %d to %d", m.id, before, m.state.Version())
		}
		index := units.Index(record.GetIndex())
		if p, known := m.pending[index]; known && p.term == units.Term(record.GetTerm()) {
			m.world.answer(p.submission, result)
		}
		delete(m.pending, index)
	}
}

// answer checks what the submitter of a change is told.
func (w *world) answer(submission *messages.Submission, result *messages.SubmissionResult) {
	version := submission.GetVersion()
	if result.GetOutcome() == messages.Outcome_OUTCOME_ACCEPTED {
		if winner, known := w.winners[version]; known && winner != submission.GetOperator() {
			w.t.Fatalf("version %d: accepted for %s and for %s", version, winner, submission.GetOperator())
		}
		w.winners[version] = submission.GetOperator()
		w.acked = max(w.acked, units.Version(version))
		return
	}
	if winner, known := w.winners[version]; known && result.GetOutcome() == messages.Outcome_OUTCOME_CONFLICT && winner != result.GetWinner() {
		w.t.Fatalf("version %d: got winner %s, want %s", version, result.GetWinner(), winner)
	}
}

func (w *world) noteRecord(record *messages.LogRecord) {
	key := [2]uint64{record.GetTerm(), record.GetIndex()}
	if other, known := w.records[key]; known && !proto.Equal(other, record) {
		w.t.Fatalf("log matching: two records stand at index %d of term %d", key[1], key[0])
	}
	w.records[key] = record
}

func (w *world) noteCommitted(record *messages.LogRecord) {
	index := units.Index(record.GetIndex())
	if other, known := w.committed[index]; known && !proto.Equal(other, record) {
		w.t.Fatalf("committed record %d changed: got term %d, want term %d", index, record.GetTerm(), other.GetTerm())
	}
	w.committed[index] = record
	w.last = max(w.last, index)
}

func (w *world) noteMembers(membership *messages.Membership) {
	for _, member := range membership.GetMembers() {
		w.admitted[units.VoterID(member.GetId())] = true
	}
}

// checkVote refuses a vote of an identity that no membership ever let in.
func (w *world) checkVote(m *messages.LogMessage) {
	if m.GetVoteResponse().GetGranted() && !w.admitted[units.VoterID(m.GetFrom())] {
		w.t.Fatalf("vote from %s, which no membership let in", m.GetFrom())
	}
}

func (m *member) changeRole(a RoleChanged) {
	m.isLeader = a.Role == Leader
	if !m.isLeader {
		m.pending = make(map[units.Index]waiting)
		return
	}
	w := m.world
	if other, known := w.leaders[a.Term]; known && other != m.id {
		w.t.Fatalf("term %d has two leaders: %s and %s", a.Term, other, m.id)
	}
	w.leaders[a.Term] = m.id
	for index := m.node.log.base + 1; index <= w.last; index++ {
		if got, want := m.node.log.termAt(index), units.Term(w.committed[index].GetTerm()); got != want {
			w.t.Fatalf("leader %s of term %d lacks committed record %d: got term %d, want %d", m.id, a.Term, index, got, want)
		}
	}
}

// checkClaims compares what each leader would tell an operator with what others were told.
func (w *world) checkClaims() {
	for _, m := range w.members {
		if m.running() && m.node.Lead(m.clock()) && m.state.Version() < w.acked {
			w.t.Fatalf("%s claims version %d in term %d, after version %d was accepted",
				m.id, m.state.Version(), m.node.Term(), w.acked)
		}
	}
}

func (m *member) running() bool { return m.node != nil && !m.frozen }

func (w *world) deliver(at int) {
	message := w.bag[at]
	w.bag = slices.Delete(w.bag, at, at+1)
	w.hand(message, -1)
}

func (w *world) hand(message *messages.LogMessage, crashAt int) {
	from, to := units.VoterID(message.GetFrom()).Instance(), units.VoterID(message.GetTo()).Instance()
	for _, m := range w.members {
		if m.name == to && m.running() && !w.cut[[2]units.Instance{from, to}] {
			m.step(Received{Message: proto.CloneOf(message)}, crashAt)
		}
	}
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, m := range w.members {
		if m.running() {
			m.step(Ticked{}, -1)
		}
	}
}

// calm lets time pass with every message delivered in order.
func (w *world) calm(rounds int) {
	for range rounds {
		w.tick(10 * time.Millisecond)
		batch := w.bag
		w.bag = nil
		for _, message := range batch {
			w.hand(message, -1)
		}
		w.checkClaims()
	}
}

// submit proposes a change at a member.
func (w *world) submit(m *member, version uint64, operator string) {
	w.tokens++
	submission := &messages.Submission{
		Version:     version,
		Operator:    operator,
		Document:    []byte(operator),
		ContentHash: configurator.Hash([]byte(operator)),
	}
	m.tokens[w.tokens] = submission
	m.step(Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Submission{
				Submission: submission,
			},
		},
		Token: w.tokens,
	}, -1)
}

func (w *world) leader() *member {
	for _, m := range w.members {
		if m.running() && m.node.Lead(m.clock()) {
			return m
		}
	}
	return nil
}
