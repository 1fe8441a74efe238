package buyer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Offer is what one data centre sells.
type Offer struct {
	DataCentre units.DataCentre
	Class      units.MachineClass
	OnDemand   bool
	Price      units.Price
	// ReclaimsPerHour is how often an instance is taken back on average.
	ReclaimsPerHour float64
	Slots           int
}

// Demand is what one service needs.
type Demand struct {
	Service units.Service
	// Slots is the least capacity, Used what is under way now.
	Slots    int
	Used     int
	OnDemand int
	Most     int
	// Load is the time from a purchase until the instance serves.
	Load time.Duration
}

// Instance is what the platform lists.
type Instance struct {
	ID    string
	Token string
	// Noticed is set once the platform takes the instance back.
	Noticed bool
}

// Upstream is an announced upstream.
type Upstream struct {
	Instance   string
	Service    units.Service
	DataCentre units.DataCentre
	OnDemand   bool
	Slots      int
	// Serving is set for a live upstream, Leaving once it has announced that.
	Serving bool
	Leaving bool
}

// Event is something that happened to the buyer.
type Event interface{ event() }

// Led says that this instance leads from now on.
type Led struct {
	Term units.Term
}

// Lost says that this instance leads no more.
type Lost struct{}

// Listed is the platform's list of instances as it was at At.
type Listed struct {
	At        time.Time
	Instances []Instance
}

// Answered is the platform's answer to a launch; Instance is empty where it refused.
type Answered struct {
	Token    string
	Instance string
	Reason   string
}

// Ticked says that time has passed; it brings what the log and the entries tell.
type Ticked struct {
	Ledger    []*messages.Purchase
	Offers    []Offer
	Demands   []Demand
	Upstreams []Upstream
	// Starting bounds the instances that wait for their weights at once.
	Starting int
}

func (Led) event()      {}
func (Lost) event()     {}
func (Listed) event()   {}
func (Answered) event() {}
func (Ticked) event()   {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Commit asks for a purchase's next state to be committed to the log.
type Commit struct {
	Purchase *messages.Purchase
}

// Launch asks the platform for an instance; it is committed and may be asked for again.
type Launch struct {
	Purchase *messages.Purchase
}

// Release asks the platform to take an instance back; it may be asked for again.
type Release struct {
	Purchase *messages.Purchase
}

func (Commit) action()  {}
func (Launch) action()  {}
func (Release) action() {}

// Options are the periods of a buyer.
type Options struct {
	// Settle is how long a new leader listens before it plans.
	Settle time.Duration
	// Retry is the time between two requests for one purchase.
	Retry time.Duration
	// Backoff is how long an offer is left out after a refusal; it doubles up to MostBackoff.
	Backoff     time.Duration
	MostBackoff time.Duration
	// CoolDown is how long capacity must be too much before it is given back.
	CoolDown time.Duration
	// Start is how long a launched instance may take to announce itself.
	Start time.Duration
}
