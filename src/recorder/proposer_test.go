package recorder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

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

// A caller had a key made by the system and sends the call again under it, but no
// owner knows it: its record was lost. It must be told "unknown"; taking the key
// for a new one would run the call twice.
func TestMadeKeyWithoutRecordIsUnknown(t *testing.T) {
	proposer := &Proposer{
		Self:   testIdentity,
		Key:    testKey,
		Call:   "a",
		Made:   true,
		View:   NewView(entryView(1), 1),
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	asked := proposer.Step(testTime, Begun{Lease: benchLease})[0].(AskOwner)
	actions := proposer.Step(testTime, OwnerAnswered{
		Asked:    asked,
		Response: &messages.RecordResponse{Status: messages.RecordStatus_RECORD_STATUS_DONE},
	})
	if got, want := actions[0].(Concluded).Outcome, Undecidable; got != want {
		t.Errorf("outcome: got %d, want %d", got, want)
	}
}
