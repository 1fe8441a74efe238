package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// stateMachine is one component of the replicated state.
//
// Every voter applies the same commands in the same order and must reach the
// same state, so an implementation must not use a clock, settings or a random
// source in Apply.
type stateMachine interface {
	// Name returns the state machine's key in snapshots, in kebab case; it never changes.
	Name() string
	// Apply applies one committed command and returns its outcome for the proposer.
	// It returns nil and changes nothing for a command of another state machine.
	Apply(index units.Index, command *messages.Command) proto.Message
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot returned.
	Restore(content []byte) error
}

// leaderTask is work that only the leader does.
//
// Its state about pending work is dropped when the leadership ends: a command that
// it proposed and that has not been applied may be committed or lost.
type leaderTask interface {
	// Lead is called on each tick while this instance leads, holds its lease and
	// has applied everything that earlier leaders committed. It returns the commands
	// to propose; each must carry what makes its repetition harmless.
	Lead(now time.Time, term units.Term) []*messages.Command
	// StopLeading is called once after the leadership has ended.
	StopLeading()
}

// heartbeatHandler handles the heartbeats of entries, at the leader only.
type heartbeatHandler interface {
	// HandleHeartbeat handles one heartbeat and adds its data to the response.
	HandleHeartbeat(now time.Time, heartbeat *messages.EntryHeartbeat, response *messages.EntryHeartbeatResponse)
}
