package borrower

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input to the borrower.
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

// Wanted carries the demand of the entry's calls for each limit; the borrower
// requests loans for it.
type Wanted struct {
	Demands map[string]Demand
}

// Demand is what calls ask for of one limit, as fractions of the whole limit.
type Demand struct {
	Offered float64
	InUse   float64
}

// Answered carries a lender's response to a request that was sent at SentAt.
type Answered struct {
	From     units.Instance
	SentAt   time.Time
	Response *messages.ShareResponse
}

func (Viewed) event()    {}
func (Confirmed) event() {}
func (Wanted) event()    {}
func (Answered) event()  {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Ask sends a request to a member of the view.
type Ask struct {
	Member  *messages.EntryMember
	Request *messages.ShareRequest
}

func (Ask) action() {}
