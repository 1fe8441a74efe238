package registrar

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input to Registrar.Step.
type Event interface{ event() }

// Led reports that this instance has become the leader, with the view that its log holds.
type Led struct {
	View *messages.EntryView
}

// Lost reports that this instance is no longer the leader.
type Lost struct{}

// Heard reports that an entry's heartbeat has arrived.
type Heard struct {
	Member *messages.EntryMember
	// Stopping reports that the entry has announced its stop.
	Stopping bool
}

// Applied reports that the log has committed a new view.
type Applied struct {
	View *messages.EntryView
}

// Ticked reports that time has passed.
type Ticked struct{}

func (Led) event()     {}
func (Lost) event()    {}
func (Heard) event()   {}
func (Applied) event() {}
func (Ticked) event()  {}

// Action is an output of Registrar.Step that the caller must carry out.
type Action interface{ action() }

// Propose requests that a view be committed; a lost proposal is repeated.
type Propose struct {
	View    *messages.EntryView
	Changes []Change
}

// Held reports that silent entries stay in the view because too many fell silent at once.
type Held struct {
	Silent  int
	Members int
}

func (Propose) action() {}
func (Held) action()    {}

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
