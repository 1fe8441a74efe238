package lender

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Event is something that happened to the lender.
type Event interface{ event() }

// Viewed says which entry view this process has.
type Viewed struct {
	View *messages.EntryView
}

// Confirmed says that control's leader held the view for the newest at a time not before At.
type Confirmed struct {
	At time.Time
}

// Asked is an entry's request.
type Asked struct {
	Request *messages.ShareRequest
}

func (Viewed) event()    {}
func (Confirmed) event() {}
func (Asked) event()     {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Answer goes back to the entry that asked.
type Answer struct {
	Response *messages.ShareResponse
}

func (Answer) action() {}
