package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// machine is one part of the replicated state.
//
// Every voter applies the same commands in the same order and must reach the
// same state, so that an implementation reads no clock, no settings and no
// random source in Apply.
type machine interface {
	// Name is the machine's key in snapshots, in kebab case; it never changes.
	Name() string
	// Apply takes one committed command and returns its outcome for who proposed
	// it; it returns nil and changes nothing for a command of another machine.
	Apply(index units.Index, command *messages.Command) proto.Message
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one that Snapshot returned.
	Restore(content []byte) error
}

// duty is work that the leader alone does.
//
// Its memory of what it has under way ends with the leadership: a command that
// it proposed and did not see applied may be committed or lost.
type duty interface {
	// Lead is called on each tick while this instance leads, holds its lease and
	// has applied all that earlier leaders committed. It returns the commands to
	// propose; they carry what makes a repeated one harmless.
	Lead(now time.Time, term units.Term) []*messages.Command
	// Rest is called once when the leadership has ended.
	Rest()
}

// hearer takes part in the heartbeats of entries, at the leader alone.
type hearer interface {
	// Hear takes one heartbeat and adds its part to the response.
	Hear(now time.Time, heartbeat *messages.EntryHeartbeat, response *messages.EntryHeartbeatResponse)
}
