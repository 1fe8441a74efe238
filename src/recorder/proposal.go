package recorder

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// ProposerEvent is an input of Proposer.Step.
type ProposerEvent interface{ proposerEvent() }

// ClaimRequested asks whether the call may run, and claims its key if so.
type ClaimRequested struct {
	// Lease is how long the entry may hold the key before it dispatches the call.
	Lease time.Duration
}

// LookupRequested asks for the outcome of the call with this key.
type LookupRequested struct{}

// DispatchRequested asks for permission to send the call to an upstream.
type DispatchRequested struct {
	Attempt  units.Attempt
	Upstream units.Upstream
	// Lease is the time left until the call's deadline.
	Lease time.Duration
}

// CallEnded reports how the call ended.
type CallEnded struct {
	State  messages.CallState
	Answer *messages.StoredAnswer
}

// OwnerResponded is an owner's response; a nil Response means that none came.
type OwnerResponded struct {
	Ask      AskOwner
	Response *messages.RecordResponse
}

// ViewChanged reports a newer view.
type ViewChanged struct {
	View *View
}

// ProposerTicked is the periodic tick of a proposer.
type ProposerTicked struct{}

func (ClaimRequested) proposerEvent()    {}
func (LookupRequested) proposerEvent()   {}
func (DispatchRequested) proposerEvent() {}
func (CallEnded) proposerEvent()         {}
func (OwnerResponded) proposerEvent()    {}
func (ViewChanged) proposerEvent()       {}
func (ProposerTicked) proposerEvent()    {}

// ProposerAction is an output of Proposer.Step that its caller must carry out.
type ProposerAction interface{ proposerAction() }

// AskOwner sends a request to an owner.
type AskOwner struct {
	// Sequence distinguishes responses to this request from those to earlier ones.
	Sequence uint64
	To       Member
	Request  *messages.RecordRequest
}

// Concluded is the outcome of the last ClaimRequested, LookupRequested, DispatchRequested or
// CallEnded.
type Concluded struct {
	Outcome Outcome
	Record  *messages.CallRecord
}

func (AskOwner) proposerAction()  {}
func (Concluded) proposerAction() {}

// Outcome is how a proposer's operation ended.
type Outcome int

// The outcomes.
const (
	// Granted means that the call may continue: a majority of the owners has stored its record.
	Granted Outcome = iota + 1
	// Found means that an earlier call was answered; the record holds the answer unless it
	// was evicted.
	Found
	// Conflicting means that the key was used for a different request.
	Conflicting
	// RunUnknown means that the call may have run and its answer is lost.
	RunUnknown
	// Unavailable means that no majority of the owners answered.
	Unavailable
	// Superseded means that another entry took over the key before this one dispatched.
	Superseded
	// LeaseExpired means that it is too late to dispatch the call.
	LeaseExpired
	// Stored means that a majority has stored the end of the call.
	Stored
	// Running means that an entry is running the call.
	Running
	// Absent means that no call with this key has run: a majority has no such record, or
	// only one whose call provably did not run.
	Absent
)
