package lender

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Event is an input to the lender.
type Event interface{ event() }

// Viewed carries the entry view that this process has received.
type Viewed struct {
	View *messages.EntryView
}

// Confirmed reports that control's leader held the view to be the newest at a time
// not before At.
type Confirmed struct {
	At time.Time
}

// Asked carries an entry's request.
type Asked struct {
	Request *messages.ShareRequest
}

func (Viewed) event()    {}
func (Confirmed) event() {}
func (Asked) event()     {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Answer sends a response to the entry that made the request.
type Answer struct {
	Response *messages.ShareResponse
}

func (Answer) action() {}
