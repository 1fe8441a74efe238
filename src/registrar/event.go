package registrar

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input to Registrar.Step.
type Event interface{ event() }

// LeadershipGained reports that this instance has become the leader, with the view that its log holds.
type LeadershipGained struct {
	View *messages.EntryView
}

// LeadershipLost reports that this instance is no longer the leader.
type LeadershipLost struct{}

// HeartbeatReceived reports that an entry's heartbeat has arrived.
type HeartbeatReceived struct {
	Member *messages.EntryMember
	// Stopping reports that the entry has announced its stop.
	Stopping bool
}

// ViewCommitted reports that the log has committed a new view.
type ViewCommitted struct {
	View *messages.EntryView
}

// Ticked reports that time has passed.
type Ticked struct{}

func (LeadershipGained) event()  {}
func (LeadershipLost) event()    {}
func (HeartbeatReceived) event() {}
func (ViewCommitted) event()     {}
func (Ticked) event()            {}

// Action is an output of Registrar.Step that the caller must carry out.
type Action interface{ action() }

// Propose requests that a view be committed; a lost proposal is repeated.
type Propose struct {
	View    *messages.EntryView
	Changes []Change
}

// RemovalHeld reports that silent entries stay in the view because too many fell silent at once.
type RemovalHeld struct {
	Silent  int
	Members int
}

func (Propose) action()     {}
func (RemovalHeld) action() {}

// Change is the change of one entry's membership from the previous view, with its reason.
type Change struct {
	Entry  units.Instance
	Reason Reason
}

// Reason is the reason for a Change.
type Reason string

// The reasons for a change.
const (
	Joined    Reason = "heard-steadily"
	Stopped   Reason = "announced-stop"
	Silent    Reason = "silent"
	Restarted Reason = "restarted"
	Moved     Reason = "moved"
)
