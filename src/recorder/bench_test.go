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
	benchSlots   = 3
	benchKeys    = 8
	benchEntries = 5
	benchLease   = 5 * time.Second
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

// bench runs owners and proposers over a network that holds, repeats, drops and
// crosses messages, with a ledger of what ran.
type bench struct {
	t       *rapid.T
	now     time.Time
	nodes   []*benchNode
	view    *messages.EntryView
	wires   []wire
	calls   []*benchCall
	ledger  map[string][]units.CallID
	stored  map[units.CallID]map[uint64]map[Identity]bool
	reached map[string]int
	// random makes the choices within a step, evenly, from a seed that rapid draws.
	random *rand.Rand
}

type benchNode struct {
	id     Identity
	owner  *Owner
	frozen bool
}

type benchCall struct {
	home     Identity
	proposer *Proposer
	key      string
	stage    string
	given    bool
	until    time.Time
	// ranBefore is how often the key had run when the call was to end as not run.
	ranBefore int
	ended     messages.CallState
}

// wire is one message under way.
type wire struct {
	call     *benchCall
	ask      AskOwner
	answer   *messages.RecordResponse
	fill     AskFill
	fillFrom Identity
	filled   *messages.FillResponse
	isFill   bool
	isReply  bool
}

func newBench(t *rapid.T, reached map[string]int) *bench {
	b := &bench{
		t:       t,
		now:     time.Unix(0, 0),
		view:    &messages.EntryView{},
		ledger:  make(map[string][]units.CallID),
		stored:  make(map[units.CallID]map[uint64]map[Identity]bool),
		reached: reached,
		random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	for i := range benchEntries {
		b.nodes = append(b.nodes, &benchNode{})
		b.restart(i)
	}
	b.commit(func(int) bool { return true })
	for _, node := range b.nodes {
		b.stepOwner(node, Viewed{View: NewView(b.view, benchSlots)})
	}
	return b
}

func (b *bench) restart(index int) {
	node := b.nodes[index]
	node.id = Identity{
		Name:        units.Instance(fmt.Sprintf("e%d", index)),
		Incarnation: node.id.Incarnation + 1,
	}
	node.owner = &Owner{
		Self:  node.id,
		Slots: benchSlots,
	}
	node.frozen = false
}

// commit makes the next view of the entries that are wanted.
func (b *bench) commit(wanted func(int) bool) {
	next := &messages.EntryView{
		Number:          b.view.GetNumber() + 1,
		PreviousMembers: b.view.GetMembers(),
	}
	for i, node := range b.nodes {
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
		b.view = next
	}
}

func (b *bench) node(name units.Instance) *benchNode {
	index := slices.IndexFunc(b.nodes, func(n *benchNode) bool { return n.id.Name == name })
	return b.nodes[index]
}

func (b *bench) stepOwner(node *benchNode, event OwnerEvent) {
	for _, action := range node.owner.Step(b.now, event) {
		switch a := action.(type) {
		case Reply:
			w := a.Token.(wire)
			w.isReply = true
			w.answer = a.Response
			b.noteStored(node.id, w)
			b.wires = append(b.wires, w)
		case FillReply:
			w := a.Token.(wire)
			w.isReply = true
			w.filled = a.Response
			b.wires = append(b.wires, w)
		case AskFill:
			b.wires = append(b.wires, wire{
				isFill:   true,
				fill:     a,
				fillFrom: node.id,
			})
		}
	}
}

// noteStored remembers which owners have taken an intent in which view.
func (b *bench) noteStored(id Identity, w wire) {
	record := w.ask.Request.GetRecord()
	if w.answer.GetStatus() != messages.RecordStatus_RECORD_STATUS_DONE || record.GetState() != messages.CallState_CALL_STATE_DISPATCHING {
		return
	}
	views := b.stored[w.call.proposer.Call]
	if views == nil {
		views = make(map[uint64]map[Identity]bool)
		b.stored[w.call.proposer.Call] = views
	}
	number := w.ask.Request.GetViewNumber()
	if views[number] == nil {
		views[number] = make(map[Identity]bool)
	}
	views[number][id] = true
}

func (b *bench) stepCall(call *benchCall, event ProposerEvent) {
	if b.node(call.home.Name).id != call.home {
		return
	}
	if view := b.node(call.home.Name).owner.view; view != nil && view != call.proposer.View {
		old := call.proposer.View
		call.proposer.View = view
		if old != nil {
			b.carryOut(call, call.proposer.Step(b.now, ViewChanged{View: view}))
		}
	}
	b.carryOut(call, call.proposer.Step(b.now, event))
}

func (b *bench) carryOut(call *benchCall, actions []ProposerAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case AskOwner:
			b.wires = append(b.wires, wire{
				call: call,
				ask:  a,
			})
		case Concluded:
			b.conclude(call, a)
		}
	}
}

func (b *bench) conclude(call *benchCall, concluded Concluded) {
	b.reached[fmt.Sprintf("%s %d", call.stage, concluded.Outcome)]++
	switch call.stage {
	case "beginning":
		b.concludeBegin(call, concluded)
	case "intending":
		b.concludeIntent(call, concluded)
	case "ending":
		call.stage = "done"
		saysNo := call.ended == messages.CallState_CALL_STATE_NOT_RUN && concluded.Outcome == Stored
		if got, want := call.ranBefore, 0; saysNo && got != want {
			b.t.Fatalf("runs of %s, of which call %s was told \"not run\": got %d, want %d", call.key, call.proposer.Call, got, want)
		}
	}
}

func (b *bench) concludeBegin(call *benchCall, concluded Concluded) {
	call.stage = "done"
	switch concluded.Outcome {
	case Granted:
		call.stage = "granted"
	case Found:
		got := string(concluded.Record.GetAnswer().GetBody())
		if want := string(b.ledger[call.key][0]); got != want {
			b.t.Fatalf("answer to a resend of %s: got that of %q, want that of %q", call.key, got, want)
		}
	}
}

func (b *bench) concludeIntent(call *benchCall, concluded Concluded) {
	if concluded.Outcome != Granted {
		b.end(call, messages.CallState_CALL_STATE_NOT_RUN)
		return
	}
	if got, want := b.now, call.until; got.After(want) {
		b.t.Fatalf("dispatch of %s: got %s, want not after %s", call.proposer.Call, got, want)
	}
	view := call.proposer.View
	count := 0
	for _, owner := range view.Owners(slotOf(call.proposer.Key, benchSlots)) {
		if b.stored[call.proposer.Call][view.Number][owner.Identity] {
			count++
		}
	}
	if got, want := count, call.proposer.needed(); got < want {
		b.t.Fatalf("owners that held the intent of %s before its dispatch: got %d, want %d", call.proposer.Call, got, want)
	}
	call.stage = "running"
	if b.random.IntN(10) == 0 {
		b.end(call, messages.CallState_CALL_STATE_NOT_RUN)
		return
	}
	b.ledger[call.key] = append(b.ledger[call.key], call.proposer.Call)
	if got, want := len(b.ledger[call.key]), 1; got > want {
		b.t.Fatalf("runs of %s: got %d (%v), want at most %d", call.key, got, b.ledger[call.key], want)
	}
}

func (b *bench) end(call *benchCall, state messages.CallState) {
	call.stage = "ending"
	call.ended = state
	call.ranBefore = len(b.ledger[call.key])
	ended := Ended{State: state}
	if state == messages.CallState_CALL_STATE_ANSWERED {
		ended.Answer = &messages.StoredAnswer{Body: []byte(call.proposer.Call)}
	}
	b.stepCall(call, ended)
}

func (b *bench) deliver(index int, keep bool) {
	w := b.wires[index]
	if !keep {
		b.wires = slices.Delete(b.wires, index, index+1)
	}
	switch {
	case w.isFill && w.isReply:
		if node := b.node(w.fillFrom.Name); node.id == w.fillFrom && !node.frozen {
			b.stepOwner(node, FillAnswered{
				Asked:    w.fill,
				Response: w.filled,
			})
		}
	case w.isFill:
		if node := b.node(w.fill.To.Name); !node.frozen {
			b.stepOwner(node, FillAsked{
				Token:   w,
				Request: w.fill.Request,
			})
		}
	case w.isReply:
		if !b.node(w.call.home.Name).frozen {
			b.stepCall(w.call, OwnerAnswered{
				Asked:    w.ask,
				Response: w.answer,
			})
		}
	default:
		if node := b.node(w.ask.To.Name); !node.frozen {
			b.stepOwner(node, Asked{
				Token:   w,
				Request: w.ask.Request,
			})
		}
	}
}

func (b *bench) begin(node *benchNode) {
	if node.frozen || node.owner.view == nil {
		return
	}
	id := units.CallID(fmt.Sprintf("%04d", len(b.calls)))
	call := &benchCall{
		home:  node.id,
		key:   "key-" + strconv.Itoa(b.random.IntN(benchKeys)),
		stage: "beginning",
		given: b.random.IntN(6) > 0,
	}
	if !call.given {
		call.key = "made-" + string(id)
		call.stage = "granted"
	}
	call.proposer = &Proposer{
		Self:        node.id,
		Key:         keyHash("account", call.key),
		ContentHash: []byte("body"),
		Call:        id,
		Fresh:       !call.given,
		View:        node.owner.view,
		Random:      rand.New(rand.NewPCG(1, uint64(len(b.calls)))),
	}
	b.calls = append(b.calls, call)
	if call.given {
		b.stepCall(call, Begun{Lease: benchLease})
	}
}

// advance moves a call on that waits for its entry's next decision.
func (b *bench) advance(call *benchCall) {
	if b.node(call.home.Name).frozen {
		return
	}
	switch call.stage {
	case "granted":
		if b.random.IntN(10) == 0 {
			b.end(call, messages.CallState_CALL_STATE_NOT_RUN)
			return
		}
		call.stage = "intending"
		call.until = b.now.Add(benchLease)
		b.stepCall(call, Dispatched{
			Attempt: 1,
			Lease:   benchLease,
		})
	case "running":
		if b.random.IntN(3) == 0 {
			b.end(call, messages.CallState_CALL_STATE_UNKNOWN)
			return
		}
		b.end(call, messages.CallState_CALL_STATE_ANSWERED)
	}
}

func (b *bench) tick(by time.Duration) {
	b.now = b.now.Add(by)
	for _, node := range b.nodes {
		if !node.frozen {
			b.stepOwner(node, OwnerTicked{})
		}
	}
	for _, call := range b.calls {
		if call.stage != "done" && !b.node(call.home.Name).frozen {
			b.stepCall(call, ProposerTicked{})
		}
	}
}

// anyIndex returns an index below count, or -1 where there is none.
func (b *bench) anyIndex(count int) int {
	if count == 0 {
		return -1
	}
	return b.random.IntN(count)
}
