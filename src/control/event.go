package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Methods between control processes and from entries.
const (
	MethodLog       = "log/message"
	MethodSubmit    = "control/submit"
	MethodHeartbeat = "control/heartbeat"
	MethodStatus    = "control/status"
)

// event is something the coordinator takes from its box.
type event interface{ event() }

// arrived is a log message from another voter.
type arrived struct {
	message *messages.LogMessage
}

// submitted asks for a command to be committed.
type submitted struct {
	command *messages.Command
	reply   chan<- submitReply
}

// submitReply is the end of a submitted command; one of its fields is set.
type submitReply struct {
	// result is what the command's machine returned, or nil.
	result proto.Message
	err    error
}

// heard is an entry's heartbeat.
type heard struct {
	heartbeat *messages.EntryHeartbeat
	reply     chan<- *messages.EntryHeartbeatResponse
}

// asked wants the status; the reply is an error where this voter may not speak for the fleet.
type asked struct {
	reply chan<- statusReply
}

type statusReply struct {
	status *messages.Status
	err    error
}

// dumped wants the process's state.
type dumped struct {
	reply chan<- *Dump
}

func (arrived) event()   {}
func (submitted) event() {}
func (heard) event()     {}
func (asked) event()     {}
func (dumped) event()    {}

// NotLeaderError says that another voter must be asked.
type NotLeaderError struct {
	Leader units.Instance
}

// Error names the leader where one is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known; ask again in a second, and check that a majority of the control instances runs"
	}
	return "this instance does not lead; ask " + string(e.Leader)
}

// LostLeadershipError says that a command's fate is not known to this voter.
type LostLeadershipError struct{}

// Error names the remedy.
func (e *LostLeadershipError) Error() string {
	return "leadership changed before the answer; submit the same file again to learn the outcome"
}
