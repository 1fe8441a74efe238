package recorder

import (
	"bytes"
	"strconv"
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

// A duplicate of the admission message arrives after the intent to dispatch. If it
// reverted the record, a resend would find a call that was not dispatched and make the
// booking a second time.
func TestRepeatedAdmissionKeepsStoredIntent(t *testing.T) {
	owner := singleOwner()
	storeIn(owner, proposed("a", 0, admitted))
	storeIn(owner, proposed("a", 0, dispatching))
	storeIn(owner, proposed("a", 0, admitted))
	if got, want := owner.store.get(testKey).record.GetState(), dispatching; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
}

// An owner sends its records to an owner in a newer view; then a proposer that does not have
// that view yet stores an intent. If the old owner accepted it, the new owner would have read
// the records too early and the call would run again.
func TestOwnerRefusesOlderViewAfterFill(t *testing.T) {
	owner := singleOwner()
	owner.Step(testTime, FillRequested{
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

// A new owner reads differing records from two earlier owners. The merged record must keep
// every state to whose majority either may have contributed, or a later majority would not
// show that the call ran.
func TestMergeKeepsWhatMayHaveBeenDecided(t *testing.T) {
	cases := map[string]struct {
		mine, theirs *messages.CallRecord
		wantState    messages.CallState
		wantRound    uint64
	}{
		"an intent and another call's admission": {
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
		"an answer and a later proposal": {
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

// The answers need more bytes than the owners may keep. The oldest answer is evicted, but its
// key must stay until keepFor has passed: until then a resend is refused as "unknown" and runs
// nothing, and afterwards the key is free.
func TestEvictedAnswerKeepsItsKey(t *testing.T) {
	owner := singleOwner()
	owner.Step(testTime, RetentionChanged{
		KeepFor:   time.Minute,
		KeepBytes: 4 * recordBytes,
	})
	ended := proposed("a", 0, answered)
	ended.Answer = &messages.StoredAnswer{Body: make([]byte, 8*recordBytes)}
	storeIn(owner, proposed("a", 0, dispatching))
	owner.Step(testTime, RequestReceived{Request: request(ended, messages.RecordOperation_RECORD_OPERATION_FINISH)})
	owner.Step(testTime.Add(59*time.Second), OwnerTicked{})
	response := storeIn(owner, proposed("b", 0, admitted))
	if got, want := response.GetStatus(), messages.RecordStatus_RECORD_STATUS_HELD; got != want {
		t.Errorf("resend before expiry: got %s, want %s", got, want)
	}
	if got, want := response.GetRecord().GetAnswer(), (*messages.StoredAnswer)(nil); got != want {
		t.Errorf("answer before expiry: got %v, want none", got)
	}
	owner.Step(testTime.Add(61*time.Second), OwnerTicked{})
	response = storeIn(owner, proposed("b", 0, admitted))
	if got, want := response.GetStatus(), messages.RecordStatus_RECORD_STATUS_DONE; got != want {
		t.Errorf("key after expiry: got %s, want %s", got, want)
	}
}

// The owners of a slot change, and one that remains responds without reading the others'
// records. It must not count if a record may have been stored without it: its response
// would hide a run, and a resend would run the call a second time.
func TestOwnerKeepsCountingOnlyIfItCannotMissRecords(t *testing.T) {
	cases := map[string]struct {
		before, after []string
		complete      bool
		wantFilled    bool
		wantComplete  bool
	}{
		"one of three replaced": {
			before:     []string{"e0", "e1", "e2"},
			after:      []string{"e0", "e1", "e3"},
			complete:   true,
			wantFilled: true,
		},
		"three to two": {
			before:     []string{"e0", "e1", "e2"},
			after:      []string{"e0", "e1"},
			complete:   true,
			wantFilled: true,
		},
		"three to one": {
			before:   []string{"e0", "e1", "e2"},
			after:    []string{"e0"},
			complete: true,
		},
		"two to one, all read before": {
			before:       []string{"e0", "e1"},
			after:        []string{"e0"},
			complete:     true,
			wantFilled:   true,
			wantComplete: true,
		},
		"two to one, not all read before": {
			before: []string{"e0", "e1"},
			after:  []string{"e0"},
		},
		"one to three": {
			before:       []string{"e0"},
			after:        []string{"e0", "e1", "e2"},
			complete:     true,
			wantFilled:   true,
			wantComplete: true,
		},
		"the same three, not all read before": {
			before:     []string{"e0", "e1", "e2"},
			after:      []string{"e0", "e1", "e2"},
			wantFilled: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := carryOver(&slotState{
				filled:   true,
				complete: c.complete,
			}, 0, NewView(viewOf(1, c.before), 1), NewView(viewOf(2, c.after), 1))
			if got, want := got.filled, c.wantFilled; got != want {
				t.Errorf("filled: got %t, want %t", got, want)
			}
			if got, want := got.complete, c.wantComplete; got != want {
				t.Errorf("complete: got %t, want %t", got, want)
			}
		})
	}
}

func viewOf(number uint64, names []string) *messages.EntryView {
	view := &messages.EntryView{Number: number}
	for _, name := range names {
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:       name,
			DataCentre:  name,
			Incarnation: 1,
		})
	}
	return view
}

// Two of a slot's three owners are lost at once, and possibly the record of a booking with
// them. A resend must not run it: the new owners must not count until every earlier record
// would have expired. Newly generated keys are served meanwhile.
func TestLostMajorityBlocksOldKeysUntilTheyExpire(t *testing.T) {
	next := entryView(2)
	next.PreviousMembers = viewOf(1, []string{"e1", "e2"}).GetMembers()
	owner := &Owner{
		Self:  testIdentity,
		Slots: 1,
	}
	owner.Step(testTime, ViewCommitted{View: NewView(next, 1)})
	for name, c := range map[string]struct {
		call  string
		fresh bool
		at    time.Duration
		want  messages.RecordStatus
	}{
		"key from the caller": {
			call: "a",
			at:   initialKeepFor - time.Second,
			want: messages.RecordStatus_RECORD_STATUS_UNFILLED,
		},
		"newly generated key": {
			call:  "b",
			fresh: true,
			at:    initialKeepFor - time.Second,
			want:  messages.RecordStatus_RECORD_STATUS_DONE,
		},
	} {
		owner.Step(testTime.Add(c.at), OwnerTicked{})
		asked := request(proposed(c.call, 0, dispatching), messages.RecordOperation_RECORD_OPERATION_STORE)
		asked.ViewNumber = 2
		asked.Fresh = c.fresh
		asked.Record.Key = bytes.Repeat([]byte(c.call), 32)
		response := owner.Step(testTime, RequestReceived{Request: asked})[0].(Reply).Response
		if got, want := response.GetStatus(), c.want; got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
	owner.Step(testTime.Add(initialKeepFor), OwnerTicked{})
	if got, want := owner.slots[0].filled, true; got != want {
		t.Errorf("filled after expiry: got %t, want %t", got, want)
	}
}

// BenchmarkView measures the choice of all owners in a view of 990 entries.
func BenchmarkView(b *testing.B) {
	view := &messages.EntryView{Number: 1}
	for i := range 990 {
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:      "entry-" + strconv.Itoa(i),
			DataCentre: "dc-" + strconv.Itoa(i%19),
		})
	}
	for b.Loop() {
		NewView(view, SlotCount)
	}
}

// A data centre is lost. If at least three data centres have entries, each slot must keep a
// majority of its owners, or calls with its keys would end as unknown.
func TestOwnersSpanThreeDataCentres(t *testing.T) {
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
	owner.Step(testTime, ViewCommitted{View: NewView(entryView(1), 1)})
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
	actions := owner.Step(testTime, RequestReceived{
		Request: request(record, messages.RecordOperation_RECORD_OPERATION_STORE),
	})
	return actions[0].(Reply).Response
}
