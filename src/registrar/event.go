package registrar

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is something that happened to the registrar.
type Event interface{ event() }

// Led says that this instance now leads, with the view that its log holds.
type Led struct {
	View *messages.EntryView
}

// Lost says that this instance leads no more.
type Lost struct{}

// Heard says that an entry's heartbeat has arrived.
type Heard struct {
	Member *messages.EntryMember
	// Stopping is the entry's own word that it is about to end.
	Stopping bool
}

// Applied says that the log holds a new view.
type Applied struct {
	View *messages.EntryView
}

// Ticked says that time has passed.
type Ticked struct{}

func (Led) event()     {}
func (Lost) event()    {}
func (Heard) event()   {}
func (Applied) event() {}
func (Ticked) event()  {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Propose asks for a view to be committed; a lost proposal is made again.
type Propose struct {
	View    *messages.EntryView
	Changes []Change
}

// Held says that silent entries stay in the view, since too many fell silent at once.
type Held struct {
	Silent  int
	Members int
}

func (Propose) action() {}
func (Held) action()    {}

// Change is why one entry's membership differs from the view before.
type Change struct {
	Entry  units.Instance
	Reason Reason
}

// Reason is why an entry joins or leaves the view.
type Reason string

// The reasons of a change.
const (
	Joined    Reason = "heard-steadily"
	Stopped   Reason = "announced-stop"
	Silent    Reason = "silent"
	Restarted Reason = "restarted"
	Moved     Reason = "moved"
)
