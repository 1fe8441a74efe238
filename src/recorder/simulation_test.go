package recorder

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	simSlots   = 3
	simKeys    = 8
	simEntries = 5
	simLease   = 5 * time.Second
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "400")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

// simulation runs owners and proposers over a network that delays, duplicates, drops and
// reorders messages, and tracks which calls really ran.
type simulation struct {
	t        *rapid.T
	now      time.Time
	nodes    []*simNode
	view     *messages.EntryView
	inFlight []simMessage
	calls    []*simCall
	runs     map[string][]units.CallID
	stored   map[units.CallID]map[uint64]map[Identity]bool
	outcomes map[string]int
	// random makes the uniform random choices within a step, from a seed that rapid draws.
	random *rand.Rand
}

type simNode struct {
	id     Identity
	owner  *Owner
	frozen bool
}

type simCall struct {
	home      Identity
	proposer  *Proposer
	key       string
	stage     string
	callerKey bool
	leaseEnd  time.Time
	// ranBefore is how often the key had run when the call ended.
	ranBefore int
	ended     messages.CallState
}

// simMessage is one message in flight.
type simMessage struct {
	call     *simCall
	ask      AskOwner
	answer   *messages.RecordResponse
	fill     AskFill
	fillFrom Identity
	filled   *messages.FillResponse
	isFill   bool
	isReply  bool
}

func newSimulation(t *rapid.T, outcomes map[string]int) *simulation {
	s := &simulation{
		t:        t,
		now:      time.Unix(0, 0),
		view:     &messages.EntryView{},
		runs:     make(map[string][]units.CallID),
		stored:   make(map[units.CallID]map[uint64]map[Identity]bool),
		outcomes: outcomes,
		random:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	for i := range simEntries {
		s.nodes = append(s.nodes, &simNode{})
		s.restart(i)
	}
	s.commit(func(int) bool { return true })
	for _, node := range s.nodes {
		s.stepOwner(node, ViewCommitted{View: NewView(s.view, simSlots)})
	}
	return s
}

func (s *simulation) restart(index int) {
	node := s.nodes[index]
	node.id = Identity{
		Name:        units.Instance(fmt.Sprintf("e%d", index)),
		Incarnation: node.id.Incarnation + 1,
	}
	node.owner = &Owner{
		Self:  node.id,
		Slots: simSlots,
	}
	node.frozen = false
}

// commit creates the next view from the wanted entries.
func (s *simulation) commit(wanted func(int) bool) {
	next := &messages.EntryView{
		Number:          s.view.GetNumber() + 1,
		PreviousMembers: s.view.GetMembers(),
	}
	for i, node := range s.nodes {
		if wanted(i) {
			next.Members = append(next.Members, &messages.EntryMember{
				Entry:       string(node.id.Name),
				DataCentre:  "dc-" + strconv.Itoa(i%3),
				PeerAddress: string(node.id.Name),
				Incarnation: uint64(node.id.Incarnation),
			})
		}
	}
	if len(next.GetMembers()) > 0 {
		s.view = next
	}
}

func (s *simulation) node(name units.Instance) *simNode {
	index := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id.Name == name })
	return s.nodes[index]
}

func (s *simulation) stepOwner(node *simNode, event OwnerEvent) {
	for _, action := range node.owner.Step(s.now, event) {
		switch a := action.(type) {
		case Reply:
			m := a.Token.(simMessage)
			m.isReply = true
			m.answer = a.Response
			s.recordStored(node.id, m)
			s.inFlight = append(s.inFlight, m)
		case FillReply:
			m := a.Token.(simMessage)
			m.isReply = true
			m.filled = a.Response
			s.inFlight = append(s.inFlight, m)
		case AskFill:
			s.inFlight = append(s.inFlight, simMessage{
				isFill:   true,
				fill:     a,
				fillFrom: node.id,
			})
		}
	}
}

// recordStored records which owners have stored an intent in which view.
func (s *simulation) recordStored(id Identity, m simMessage) {
	record := m.ask.Request.GetRecord()
	if m.answer.GetStatus() != messages.RecordStatus_RECORD_STATUS_DONE || record.GetState() != messages.CallState_CALL_STATE_DISPATCHING {
		return
	}
	views := s.stored[m.call.proposer.Call]
	if views == nil {
		views = make(map[uint64]map[Identity]bool)
		s.stored[m.call.proposer.Call] = views
	}
	number := m.ask.Request.GetViewNumber()
	if views[number] == nil {
		views[number] = make(map[Identity]bool)
	}
	views[number][id] = true
}

func (s *simulation) stepCall(call *simCall, event ProposerEvent) {
	if s.node(call.home.Name).id != call.home {
		return
	}
	if view := s.node(call.home.Name).owner.view; view != nil && view != call.proposer.View {
		old := call.proposer.View
		call.proposer.View = view
		if old != nil {
			s.carryOut(call, call.proposer.Step(s.now, ViewChanged{View: view}))
		}
	}
	s.carryOut(call, call.proposer.Step(s.now, event))
}

func (s *simulation) carryOut(call *simCall, actions []ProposerAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case AskOwner:
			s.inFlight = append(s.inFlight, simMessage{
				call: call,
				ask:  a,
			})
		case Concluded:
			s.conclude(call, a)
		}
	}
}

func (s *simulation) conclude(call *simCall, concluded Concluded) {
	s.outcomes[fmt.Sprintf("%s %d", call.stage, concluded.Outcome)]++
	switch call.stage {
	case "beginning":
		s.concludeBegin(call, concluded)
	case "intending":
		s.concludeIntent(call, concluded)
	case "ending":
		call.stage = "done"
		reportedNotRun := call.ended == messages.CallState_CALL_STATE_NOT_RUN && concluded.Outcome == Stored
		if got, want := call.ranBefore, 0; reportedNotRun && got != want {
			s.t.Fatalf("runs of key %s before call %s was reported as not run: got %d, want %d", call.key, call.proposer.Call, got, want)
		}
	}
}

func (s *simulation) concludeBegin(call *simCall, concluded Concluded) {
	call.stage = "done"
	switch concluded.Outcome {
	case Granted:
		call.stage = "granted"
	case Found:
		got := string(concluded.Record.GetAnswer().GetBody())
		if want := string(s.runs[call.key][0]); got != want {
			s.t.Fatalf("answer to a resend of key %s: got that of call %q, want that of call %q", call.key, got, want)
		}
	}
}

func (s *simulation) concludeIntent(call *simCall, concluded Concluded) {
	if concluded.Outcome != Granted {
		s.end(call, messages.CallState_CALL_STATE_NOT_RUN)
		return
	}
	if got, want := s.now, call.leaseEnd; got.After(want) {
		s.t.Fatalf("dispatch time of call %s: got %s, want not after %s", call.proposer.Call, got, want)
	}
	view := call.proposer.View
	count := 0
	for _, owner := range view.Owners(slotOf(call.proposer.Key, simSlots)) {
		if s.stored[call.proposer.Call][view.Number][owner.Identity] {
			count++
		}
	}
	if got, want := count, call.proposer.quorum(); got < want {
		s.t.Fatalf("owners that stored the intent of call %s before its dispatch: got %d, want at least %d", call.proposer.Call, got, want)
	}
	call.stage = "running"
	if s.random.IntN(10) == 0 {
		s.end(call, messages.CallState_CALL_STATE_NOT_RUN)
		return
	}
	s.runs[call.key] = append(s.runs[call.key], call.proposer.Call)
	if got, want := len(s.runs[call.key]), 1; got > want {
		s.t.Fatalf("runs of key %s: got %d (%v), want at most %d", call.key, got, s.runs[call.key], want)
	}
}

func (s *simulation) end(call *simCall, state messages.CallState) {
	call.stage = "ending"
	call.ended = state
	call.ranBefore = len(s.runs[call.key])
	ended := CallEnded{State: state}
	if state == messages.CallState_CALL_STATE_ANSWERED {
		ended.Answer = &messages.StoredAnswer{Body: []byte(call.proposer.Call)}
	}
	s.stepCall(call, ended)
}

func (s *simulation) deliver(index int, keep bool) {
	m := s.inFlight[index]
	if !keep {
		s.inFlight = slices.Delete(s.inFlight, index, index+1)
	}
	switch {
	case m.isFill && m.isReply:
		if node := s.node(m.fillFrom.Name); node.id == m.fillFrom && !node.frozen {
			s.stepOwner(node, FillResponded{
				Ask:      m.fill,
				Response: m.filled,
			})
		}
	case m.isFill:
		if node := s.node(m.fill.To.Name); !node.frozen {
			s.stepOwner(node, FillRequested{
				Token:   m,
				Request: m.fill.Request,
			})
		}
	case m.isReply:
		if !s.node(m.call.home.Name).frozen {
			s.stepCall(m.call, OwnerResponded{
				Ask:      m.ask,
				Response: m.answer,
			})
		}
	default:
		if node := s.node(m.ask.To.Name); !node.frozen {
			s.stepOwner(node, RequestReceived{
				Token:   m,
				Request: m.ask.Request,
			})
		}
	}
}

func (s *simulation) begin(node *simNode) {
	if node.frozen || node.owner.view == nil {
		return
	}
	id := units.CallID(fmt.Sprintf("%04d", len(s.calls)))
	call := &simCall{
		home:      node.id,
		key:       "key-" + strconv.Itoa(s.random.IntN(simKeys)),
		stage:     "beginning",
		callerKey: s.random.IntN(6) > 0,
	}
	if !call.callerKey {
		call.key = "made-" + string(id)
		call.stage = "granted"
	}
	call.proposer = &Proposer{
		Self:        node.id,
		Key:         keyHash("account", call.key),
		ContentHash: []byte("body"),
		Call:        id,
		Fresh:       !call.callerKey,
		View:        node.owner.view,
		Random:      rand.New(rand.NewPCG(1, uint64(len(s.calls)))),
	}
	s.calls = append(s.calls, call)
	if call.callerKey {
		s.stepCall(call, ClaimRequested{Lease: simLease})
	}
}

// advance lets the entry of a granted or running call take its next step.
func (s *simulation) advance(call *simCall) {
	if s.node(call.home.Name).frozen {
		return
	}
	switch call.stage {
	case "granted":
		if s.random.IntN(10) == 0 {
			s.end(call, messages.CallState_CALL_STATE_NOT_RUN)
			return
		}
		call.stage = "intending"
		call.leaseEnd = s.now.Add(simLease)
		s.stepCall(call, DispatchRequested{
			Attempt: 1,
			Lease:   simLease,
		})
	case "running":
		if s.random.IntN(3) == 0 {
			s.end(call, messages.CallState_CALL_STATE_UNKNOWN)
			return
		}
		s.end(call, messages.CallState_CALL_STATE_ANSWERED)
	}
}

func (s *simulation) tick(by time.Duration) {
	s.now = s.now.Add(by)
	for _, node := range s.nodes {
		if !node.frozen {
			s.stepOwner(node, OwnerTicked{})
		}
	}
	for _, call := range s.calls {
		if call.stage != "done" && !s.node(call.home.Name).frozen {
			s.stepCall(call, ProposerTicked{})
		}
	}
}

// anyIndex returns an index below count, or -1 where there is none.
func (s *simulation) anyIndex(count int) int {
	if count == 0 {
		return -1
	}
	return s.random.IntN(count)
}
