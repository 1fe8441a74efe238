package replicator

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is something that happened to a voter.
type Event interface{ event() }

// Ticked says that time has passed.
type Ticked struct{}

// Received says that a message from another voter has arrived.
type Received struct {
	Message *messages.LogMessage
}

// Proposed asks the leader to append a command.
type Proposed struct {
	Command *messages.Command
	// Token is returned with the outcome of the proposal.
	Token uint64
}

func (Ticked) event()   {}
func (Received) event() {}
func (Proposed) event() {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Persist asks for a sync of state and records to disk before any later action.
type Persist struct {
	State *messages.HardState
	// Records replace all stored records from the first one's index on.
	Records []*messages.LogRecord
}

// Send asks for a message to be sent; it may be lost.
type Send struct {
	Message *messages.LogMessage
}

// Apply hands over committed records, in order and each once per start.
type Apply struct {
	Records []*messages.LogRecord
}

// Appended says at which place of the log a proposal stands; it is not yet committed.
type Appended struct {
	Token uint64
	Term  units.Term
	Index units.Index
}

// Rejected says that a proposal was not appended, since this voter does not lead.
type Rejected struct {
	Token  uint64
	Leader units.Instance
}

// RoleChanged says that this voter's role, term or known leader is new.
type RoleChanged struct {
	Role   Role
	Term   units.Term
	Leader units.Instance
}

func (Persist) action()     {}
func (Send) action()        {}
func (Apply) action()       {}
func (Appended) action()    {}
func (Rejected) action()    {}
func (RoleChanged) action() {}
