package recorder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// An entry crashes when two owners hold its call's intent and the third only the
// admission under the same ballot. A majority that includes the third must still show
// that the call may have run; with the admission alone, a resend would run it again.
func TestLaterRecordPrefersTheLastState(t *testing.T) {
	first, last := proposed("a", 1, admitted), proposed("a", 1, dispatching)
	for name, got := range map[string]*messages.CallRecord{
		"intent second": laterRecord(first, last),
		"intent first":  laterRecord(last, first),
	} {
		if got, want := got.GetState(), dispatching; got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
}

// An entry is suspended just after its owners have stored the intent and resumes after
// the lease has expired. By then its caller has been told "unknown", so the call must not
// run any more.
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
			wake: simLease - leaseMargin/2,
			want: LeaseExpired,
		},
		"after the lease": {
			wake: time.Hour,
			want: LeaseExpired,
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
			asked := proposer.Step(testTime, DispatchRequested{Lease: simLease})[0].(AskOwner)
			actions := proposer.Step(testTime.Add(c.wake), OwnerResponded{
				Ask:      asked,
				Response: &messages.RecordResponse{Status: messages.RecordStatus_RECORD_STATUS_DONE},
			})
			if got, want := actions[0].(Concluded).Outcome, c.want; got != want {
				t.Errorf("outcome: got %d, want %d", got, want)
			}
		})
	}
}

// Two entries claim a key at once. One asks for promises to break the tie; before they are
// made, the other stores its intent and runs the booking. The first must wait for that
// answer instead of reporting "unknown" for a call that is about to be answered.
func TestTieBreakWaitsForRunningCall(t *testing.T) {
	proposer := &Proposer{
		Self:   testIdentity,
		Key:    testKey,
		Call:   "a",
		View:   NewView(entryView(1), 1),
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	asked := proposer.Step(testTime, ClaimRequested{Lease: simLease})[0].(AskOwner)
	asked = proposer.Step(testTime, OwnerResponded{
		Ask: asked,
		Response: &messages.RecordResponse{
			Status: messages.RecordStatus_RECORD_STATUS_HELD,
			Record: proposed("b", 0, admitted),
		},
	})[0].(AskOwner)
	running := proposed("b", 0, dispatching)
	running.Runner = string(testIdentity.Name)
	running.RunnerIncarnation = uint64(testIdentity.Incarnation)
	running.LeaseMs = simLease.Milliseconds()
	proposer.Step(testTime, OwnerResponded{
		Ask: asked,
		Response: &messages.RecordResponse{
			Status: messages.RecordStatus_RECORD_STATUS_DONE,
			Record: running,
		},
	})
	if got, want := proposer.phase, waiting; got != want {
		t.Errorf("phase: got %d, want %d", got, want)
	}
}

// A caller sends a call again with the key that was generated for it, but its record was
// lost and no owner has it. The call must be refused as "unknown"; treating the key as new
// would run the call twice.
func TestGeneratedKeyWithoutRecordIsUnknown(t *testing.T) {
	proposer := &Proposer{
		Self:         testIdentity,
		Key:          testKey,
		Call:         "a",
		GeneratedKey: true,
		View:         NewView(entryView(1), 1),
		Random:       rand.New(rand.NewPCG(1, 1)),
	}
	asked := proposer.Step(testTime, ClaimRequested{Lease: simLease})[0].(AskOwner)
	actions := proposer.Step(testTime, OwnerResponded{
		Ask:      asked,
		Response: &messages.RecordResponse{Status: messages.RecordStatus_RECORD_STATUS_DONE},
	})
	if got, want := actions[0].(Concluded).Outcome, RunUnknown; got != want {
		t.Errorf("outcome: got %d, want %d", got, want)
	}
}
