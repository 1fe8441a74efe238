package replicator

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is something that happened to a voter.
type Event interface{ event() }

// Ticked says that time has passed.
type Ticked struct{}

// Received says that a message from another instance has arrived.
type Received struct {
	Message *messages.LogMessage
}

// Proposed asks the leader to append a command.
type Proposed struct {
	Command *messages.Command
	// Token is returned with the outcome of the proposal.
	Token uint64
}

// SnapshotTaken brings the replicated state that TakeSnapshot asked for.
type SnapshotTaken struct {
	Index   units.Index
	Content []byte
}

func (Ticked) event()        {}
func (Received) event()      {}
func (Proposed) event()      {}
func (SnapshotTaken) event() {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Persist asks for a sync of state and records to disk before any later action.
type Persist struct {
	State *messages.HardState
	// Records replace all stored records from the first one's index on.
	Records []*messages.LogRecord
}

// PersistSnapshot asks for a sync of a snapshot before any later action.
type PersistSnapshot struct {
	State    *messages.HardState
	Snapshot *messages.LogSnapshot
	// Base and Records replace all stored records.
	Base    *messages.RecordsHeader
	Records []*messages.LogRecord
}

// Restore asks to replace the replicated state by that of a snapshot.
type Restore struct {
	Snapshot *messages.LogSnapshot
}

// TakeSnapshot asks for the replicated state as it stands after the records
// that were handed over so far, as the event SnapshotTaken.
type TakeSnapshot struct {
	Index units.Index
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

// MembershipChanged says that another set of voters and learners counts.
type MembershipChanged struct {
	Membership *messages.Membership
}

// Halt says that the voter must stop, since its log contradicts the leader's.
type Halt struct {
	Err error
}

func (Persist) action()           {}
func (PersistSnapshot) action()   {}
func (Restore) action()           {}
func (TakeSnapshot) action()      {}
func (Send) action()              {}
func (Apply) action()             {}
func (Appended) action()          {}
func (Rejected) action()          {}
func (RoleChanged) action()       {}
func (MembershipChanged) action() {}
func (Halt) action()              {}
