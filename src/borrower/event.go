package borrower

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input to the borrower.
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

// DemandChanged carries the demand of the entry's calls for each limit; the borrower
// requests loans for it.
type DemandChanged struct {
	Demands map[string]Demand
}

// Demand is what calls ask for of one limit, as fractions of the whole limit.
type Demand struct {
	Offered float64
	InUse   float64
}

// ResponseReceived carries a lender's response to a request that was sent at SentAt.
type ResponseReceived struct {
	From     units.Instance
	SentAt   time.Time
	Response *messages.ShareResponse
}

func (ViewChanged) event()      {}
func (ViewConfirmed) event()    {}
func (DemandChanged) event()    {}
func (ResponseReceived) event() {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// SendRequest sends a request to a member of the view.
type SendRequest struct {
	Member  *messages.EntryMember
	Request *messages.ShareRequest
}

func (SendRequest) action() {}
