package lender

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Event is an input to the lender.
type Event interface{ event() }

// ViewChanged carries the entry view that this process has received.
type ViewChanged struct {
	View *messages.EntryView
}

// ViewConfirmed reports that control's leader held the view to be the newest at a time
// not before At.
type ViewConfirmed struct {
	At time.Time
}

// RequestReceived carries an entry's request.
type RequestReceived struct {
	Request *messages.ShareRequest
}

func (ViewChanged) event()     {}
func (ViewConfirmed) event()   {}
func (RequestReceived) event() {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// SendResponse sends a response to the entry that made the request.
type SendResponse struct {
	Response *messages.ShareResponse
}

func (SendResponse) action() {}
