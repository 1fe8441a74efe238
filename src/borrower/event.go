package borrower

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is something that happened to the borrower.
type Event interface{ event() }

// Viewed says which entry view this process has.
type Viewed struct {
	View *messages.EntryView
}

// Confirmed says that control's leader held the view for the newest at a time not before At.
type Confirmed struct {
	At time.Time
}

// Wanted says what the entry's calls want of each limit; the borrower asks for it.
type Wanted struct {
	Demands map[string]Demand
}

// Demand is what calls want of one limit, as fractions of the whole.
type Demand struct {
	Offered float64
	InUse   float64
}

// Answered is a lender's answer to a request that was sent at SentAt.
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
