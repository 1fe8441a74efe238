package replicator

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input to Node.Step.
type Event interface{ event() }

// Ticked reports that time has passed.
type Ticked struct{}

// MessageReceived carries a message from another instance.
type MessageReceived struct {
	Message *messages.LogMessage
}

// Proposed requests that the leader append a command.
type Proposed struct {
	Command *messages.Command
	// Token is returned with the outcome of the proposal.
	Token uint64
}

// SnapshotTaken carries the replicated state that TakeSnapshot requested.
type SnapshotTaken struct {
	Index   units.Index
	Content []byte
}

func (Ticked) event()          {}
func (MessageReceived) event() {}
func (Proposed) event()        {}
func (SnapshotTaken) event()   {}

// Action is an output of Node.Step that the caller must carry out.
type Action interface{ action() }

// Persist requires state and records to be synced to disk before any later action.
type Persist struct {
	State *messages.HardState
	// Records replace all stored records from the first one's index on.
	Records []*messages.LogRecord
}

// PersistSnapshot requires a snapshot to be synced to disk before any later action.
type PersistSnapshot struct {
	State    *messages.HardState
	Snapshot *messages.LogSnapshot
	// Base and Records replace all stored records.
	Base    *messages.RecordsHeader
	Records []*messages.LogRecord
}

// Restore requires the replicated state to be replaced by that of a snapshot.
type Restore struct {
	Snapshot *messages.LogSnapshot
}

// TakeSnapshot requests the replicated state after the records applied so far;
// the caller returns it as the event SnapshotTaken.
type TakeSnapshot struct {
	Index units.Index
}

// Send requires a message to be sent; delivery is not guaranteed.
type Send struct {
	Message *messages.LogMessage
}

// Apply carries committed records, in order and each once per start.
type Apply struct {
	Records []*messages.LogRecord
}

// Appended reports the term and index of an appended proposal; it is not yet committed.
type Appended struct {
	Token uint64
	Term  units.Term
	Index units.Index
}

// Rejected reports that a proposal was not appended, because this voter is not
// the leader or the membership that it carries is not allowed now.
type Rejected struct {
	Token  uint64
	Leader units.Instance
}

// RoleChanged reports a new role, term or known leader of this voter.
type RoleChanged struct {
	Role   Role
	Term   units.Term
	Leader units.Instance
}

// MembershipChanged reports that another set of voters and learners is in effect.
type MembershipChanged struct {
	Membership *messages.Membership
}

// Halt requires the voter to stop, because its log contradicts the leader's.
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
