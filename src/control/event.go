package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Methods that control processes call on each other and that entries call.
const (
	MethodLog       = "log/message"
	MethodSubmit    = "control/submit"
	MethodHeartbeat = "control/heartbeat"
	MethodStatus    = "control/status"
)

// event is an input to the coordinator.
type event interface{ event() }

// logMessageReceived carries a log message from another voter.
type logMessageReceived struct {
	message *messages.LogMessage
}

// commandSubmitted requests that a command be committed.
type commandSubmitted struct {
	command *messages.Command
	reply   chan<- submitReply
}

// submitReply is the result of a submitted command, or the error in its place.
type submitReply struct {
	// result is the outcome that the command's state machine returned, or nil.
	result proto.Message
	err    error
}

// heartbeatReceived carries an entry's heartbeat.
type heartbeatReceived struct {
	heartbeat *messages.EntryHeartbeat
	reply     chan<- *messages.EntryHeartbeatResponse
}

// statusRequested requests the status of the fleet; the reply is an error if this
// voter is not the leader.
type statusRequested struct {
	reply chan<- statusReply
}

type statusReply struct {
	status *messages.Status
	err    error
}

// dumpRequested requests a dump of the process's state.
type dumpRequested struct {
	reply chan<- *Dump
}

func (logMessageReceived) event() {}
func (commandSubmitted) event()   {}
func (heartbeatReceived) event()  {}
func (statusRequested) event()    {}
func (dumpRequested) event()      {}

// NotLeaderError reports that this voter is not the leader, which must be asked instead.
type NotLeaderError struct {
	Leader units.Instance
}

// Error returns the remedy, with the leader's name if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known; ask again in a second, and check that a majority of the control instances runs"
	}
	return "this instance does not lead; ask " + string(e.Leader)
}

// LostLeadershipError reports that this voter lost its leadership before a command was
// committed, so that the command's outcome is unknown.
type LostLeadershipError struct{}

// Error returns the cause and its remedy.
func (e *LostLeadershipError) Error() string {
	return "leadership changed before the answer; submit the same file again to learn the outcome"
}
