package recorder

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

var (
	admitted    = messages.CallState_CALL_STATE_ADMITTED
	dispatching = messages.CallState_CALL_STATE_DISPATCHING
	answered    = messages.CallState_CALL_STATE_ANSWERED
	unknownEnd  = messages.CallState_CALL_STATE_UNKNOWN
)

// A repeated message of the admission arrives after the intent to dispatch. If
// it took the record back, a resend would find "not dispatched" and the booking
// would be made twice.
func TestLateCopyUndoesNoIntent(t *testing.T) {
	owner := singleOwner()
	storeIn(owner, proposed("a", 0, admitted))
	storeIn(owner, proposed("a", 0, dispatching))
	storeIn(owner, proposed("a", 0, admitted))
	if got, want := owner.store.get(testKey).record.GetState(), dispatching; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
}

// An owner sends its records to the owner of a newer view, then a proposer that
// has not heard of that view stores an intent. If the owner took it, the new
// owner would have read too early and would let the call run again.
func TestOwnerThatWasReadTakesNothingOfTheOlderView(t *testing.T) {
	owner := singleOwner()
	owner.Step(testTime, FillAsked{
		Request: &messages.FillRequest{
			View:        entryView(2),
			Slots:       []uint32{0},
			OfView:      1,
			Incarnation: 1,
		},
	})
	response := storeIn(owner, proposed("a", 0, dispatching))
	if got, want := response.GetStatus(), messages.RecordStatus_RECORD_STATUS_OTHER_VIEW; got != want {
		t.Errorf("status: got %s, want %s", got, want)
	}
}

// A new owner reads two earlier ones that differ. What either may have helped to
// decide must remain, or a later majority finds no trace of a run.
func TestMergeKeepsWhatMayHaveBeenDecided(t *testing.T) {
	cases := map[string]struct {
		mine, theirs *messages.CallRecord
		wantState    messages.CallState
		wantRound    uint64
	}{
		"an intent beside another's admission": {
			mine:      proposed("a", 0, admitted),
			theirs:    proposed("b", 0, dispatching),
			wantState: dispatching,
		},
		"two intents": {
			mine:      proposed("a", 0, dispatching),
			theirs:    proposed("b", 0, dispatching),
			wantState: unknownEnd,
		},
		"a higher proposal": {
			mine:      proposed("a", 2, admitted),
			theirs:    proposed("b", 1, dispatching),
			wantState: admitted,
			wantRound: 2,
		},
		"a promise without a record": {
			mine:      proposed("a", 0, dispatching),
			theirs:    &messages.CallRecord{Promised: ballot("b", 3)},
			wantState: dispatching,
			wantRound: 3,
		},
		"an answer beside a later proposal": {
			mine:      proposed("a", 0, answered),
			theirs:    proposed("b", 3, unknownEnd),
			wantState: answered,
			wantRound: 3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, merged := range []*messages.CallRecord{mergeRecords(c.mine, c.theirs), mergeRecords(c.theirs, c.mine)} {
				if got, want := merged.GetState(), c.wantState; got != want {
					t.Errorf("state: got %s, want %s", got, want)
				}
				if got, want := merged.GetPromised().GetRound(), c.wantRound; got != want {
					t.Errorf("promised round: got %d, want %d", got, want)
				}
			}
		})
	}
}

// A call's entry dies when two owners hold its intent and the third only its
// admission under the same ballot. A majority with the third must still show
// that the call may have run; the admission alone would let a resend run it.
func TestStateSetLastStands(t *testing.T) {
	first, last := proposed("a", 1, admitted), proposed("a", 1, dispatching)
	for name, got := range map[string]*messages.CallRecord{
		"intent second": later(first, last),
		"intent first":  later(last, first),
	} {
		if got, want := got.GetState(), dispatching; got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
}

// The owners keep fewer bytes than the answers need. The oldest answer goes, but
// its key must stay until the stated time is over: a resend within it is told
// "unknown" and runs nothing, and after it the key is free.
func TestForgottenAnswerKeepsItsKey(t *testing.T) {
	owner := singleOwner()
	owner.Step(testTime, Bounded{
		KeepFor:   time.Minute,
		KeepBytes: 4 * recordBytes,
	})
	ended := proposed("a", 0, answered)
	ended.Answer = &messages.StoredAnswer{Body: make([]byte, 8*recordBytes)}
	storeIn(owner, proposed("a", 0, dispatching))
	owner.Step(testTime, Asked{Request: request(ended, messages.RecordOperation_RECORD_OPERATION_FINISH)})
	owner.Step(testTime.Add(59*time.Second), OwnerTicked{})
	response := storeIn(owner, proposed("b", 0, admitted))
	if got, want := response.GetStatus(), messages.RecordStatus_RECORD_STATUS_HELD; got != want {
		t.Errorf("resend within the time: got %s, want %s", got, want)
	}
	if got, want := response.GetRecord().GetAnswer(), (*messages.StoredAnswer)(nil); got != want {
		t.Errorf("answer within the time: got %v, want none", got)
	}
	owner.Step(testTime.Add(61*time.Second), OwnerTicked{})
	response = storeIn(owner, proposed("b", 0, admitted))
	if got, want := response.GetStatus(), messages.RecordStatus_RECORD_STATUS_DONE; got != want {
		t.Errorf("the key after the time: got %s, want %s", got, want)
	}
}

// An entry is frozen just after its owners have stored the intent and wakes
// when the lease has passed. Its caller was told "unknown" long ago, so that the
// call must not run now.
func TestFrozenRunnerDoesNotDispatchAfterItsLease(t *testing.T) {
	for name, c := range map[string]struct {
		wake time.Duration
		want Outcome
	}{
		"in time": {
			wake: time.Second,
			want: Granted,
		},
		"within the margin": {
			wake: benchLease - leaseMargin/2,
			want: LeaseOver,
		},
		"after the lease": {
			wake: time.Hour,
			want: LeaseOver,
		},
	} {
		t.Run(name, func(t *testing.T) {
			proposer := &Proposer{
				Self:   testIdentity,
				Key:    testKey,
				Call:   "a",
				Fresh:  true,
				View:   NewView(entryView(1), 1),
				Random: rand.New(rand.NewPCG(1, 1)),
			}
			asked := proposer.Step(testTime, Dispatched{Lease: benchLease})[0].(AskOwner)
			actions := proposer.Step(testTime.Add(c.wake), OwnerAnswered{
				Asked:    asked,
				Response: &messages.RecordResponse{Status: messages.RecordStatus_RECORD_STATUS_DONE},
			})
			if got, want := actions[0].(Concluded).Outcome, c.want; got != want {
				t.Errorf("outcome: got %d, want %d", got, want)
			}
		})
	}
}

// Two entries hold a key at once; one asks for promises to break the tie, and
// before they are made the other has stored its intent and runs the booking. The
// first must wait for that answer: "unknown" would be said of a call that is
// about to be answered.
func TestTieBreakWaitsForTheOneThatRuns(t *testing.T) {
	proposer := &Proposer{
		Self:   testIdentity,
		Key:    testKey,
		Call:   "a",
		View:   NewView(entryView(1), 1),
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	asked := proposer.Step(testTime, Begun{Lease: benchLease})[0].(AskOwner)
	asked = proposer.Step(testTime, OwnerAnswered{
		Asked: asked,
		Response: &messages.RecordResponse{
			Status: messages.RecordStatus_RECORD_STATUS_HELD,
			Record: proposed("b", 0, admitted),
		},
	})[0].(AskOwner)
	running := proposed("b", 0, dispatching)
	running.Runner = string(testIdentity.Name)
	running.RunnerIncarnation = uint64(testIdentity.Incarnation)
	running.LeaseMs = benchLease.Milliseconds()
	proposer.Step(testTime, OwnerAnswered{
		Asked: asked,
		Response: &messages.RecordResponse{
			Status: messages.RecordStatus_RECORD_STATUS_DONE,
			Record: running,
		},
	})
	if got, want := proposer.phase, waiting; got != want {
		t.Errorf("phase: got %d, want %d", got, want)
	}
}

// A data centre is lost. Wherever three of them have entries, each slot must
// keep a majority of its owners, or calls under its keys would end as unknown.
func TestOwnersStandInThreeDataCentres(t *testing.T) {
	view := entryView(1)
	for i, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:      name,
			DataCentre: string(rune('a' + i%4)),
		})
	}
	built := NewView(view, SlotCount)
	for slot := range Slot(SlotCount) {
		seen := make(map[string]bool)
		for _, owner := range built.Owners(slot) {
			seen[string(owner.DataCentre)] = true
		}
		if got, want := len(seen), ownerCount; got != want {
			t.Fatalf("data centres of slot %d: got %d, want %d", slot, got, want)
		}
	}
}

var (
	testTime     = time.Unix(0, 0)
	testKey      = bytes.Repeat([]byte{1}, 32)
	testIdentity = Identity{
		Name:        "e0",
		Incarnation: 1,
	}
)

func entryView(number uint64) *messages.EntryView {
	return &messages.EntryView{
		Number: number,
		Members: []*messages.EntryMember{{
			Entry:       "e0",
			DataCentre:  "a",
			Incarnation: 1,
		}},
	}
}

// singleOwner returns the only owner of the only slot, in view 1.
func singleOwner() *Owner {
	owner := &Owner{
		Self:  testIdentity,
		Slots: 1,
	}
	owner.Step(testTime, Viewed{View: NewView(entryView(1), 1)})
	return owner
}

func ballot(call string, round uint64) *messages.Ballot {
	return &messages.Ballot{
		Round: round,
		Call:  call,
	}
}

func proposed(call string, round uint64, state messages.CallState) *messages.CallRecord {
	return &messages.CallRecord{
		Key:      testKey,
		Promised: ballot(call, round),
		Accepted: ballot(call, round),
		State:    state,
		Call:     call,
	}
}

func request(record *messages.CallRecord, operation messages.RecordOperation) *messages.RecordRequest {
	return &messages.RecordRequest{
		ViewNumber: 1,
		Operation:  operation,
		Record:     record,
	}
}

func storeIn(owner *Owner, record *messages.CallRecord) *messages.RecordResponse {
	actions := owner.Step(testTime, Asked{
		Request: request(record, messages.RecordOperation_RECORD_OPERATION_STORE),
	})
	return actions[0].(Reply).Response
}
