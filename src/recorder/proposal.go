package recorder

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// ProposerEvent is something a Proposer reacts to.
type ProposerEvent interface{ proposerEvent() }

// Begun asks whether the call may run, and holds its key if so.
type Begun struct {
	// Lease is how long the entry may hold the key before it dispatches.
	Lease time.Duration
}

// Looked asks what became of the call with this key.
type Looked struct{}

// Dispatched asks for the permission to send the call to an upstream.
type Dispatched struct {
	Attempt  units.Attempt
	Upstream units.Upstream
	// Lease is the time left until the call's deadline.
	Lease time.Duration
}

// Ended tells how the call ended.
type Ended struct {
	State  messages.CallState
	Answer *messages.StoredAnswer
}

// OwnerAnswered is an owner's response; nil says that none came.
type OwnerAnswered struct {
	Asked    AskOwner
	Response *messages.RecordResponse
}

// ViewChanged is a newer view.
type ViewChanged struct {
	View *View
}

// ProposerTicked says that time has passed.
type ProposerTicked struct{}

func (Begun) proposerEvent()          {}
func (Looked) proposerEvent()         {}
func (Dispatched) proposerEvent()     {}
func (Ended) proposerEvent()          {}
func (OwnerAnswered) proposerEvent()  {}
func (ViewChanged) proposerEvent()    {}
func (ProposerTicked) proposerEvent() {}

// ProposerAction is something the caller of Proposer.Step must carry out.
type ProposerAction interface{ proposerAction() }

// AskOwner sends a request to an owner.
type AskOwner struct {
	// Sequence tells the answers to this question from those to earlier ones.
	Sequence uint64
	To       Member
	Request  *messages.RecordRequest
}

// Concluded ends what the last Begun, Looked, Dispatched or Ended asked for.
type Concluded struct {
	Outcome Outcome
	Record  *messages.CallRecord
}

func (AskOwner) proposerAction()  {}
func (Concluded) proposerAction() {}

// Outcome is what a proposer found or reached.
type Outcome int

// The outcomes.
const (
	// Granted means that the call may go on: a majority of the owners holds it.
	Granted Outcome = iota + 1
	// Found means that the call has ended before, with the record's answer.
	Found
	// Conflicting means that the key bears another request.
	Conflicting
	// Undecidable means that the call may have run and its answer is lost.
	Undecidable
	// Unavailable means that no majority of the owners answered.
	Unavailable
	// Overtaken means that another entry took the key before this one dispatched.
	Overtaken
	// LeaseOver means that the time to dispatch has passed.
	LeaseOver
	// Stored means that a majority keeps the end of the call.
	Stored
	// Running means that an entry works on the call.
	Running
	// Absent means that a majority knows no call with this key.
	Absent
)
