package buyer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Offer is a class of machine that a data centre sells, on demand or reclaimable.
type Offer struct {
	DataCentre units.DataCentre
	Class      units.MachineClass
	OnDemand   bool
	Price      units.Price
	// ReclaimsPerHour is how often an instance is reclaimed on average.
	ReclaimsPerHour float64
	Slots           int
}

// Demand is the capacity that one service needs.
type Demand struct {
	Service units.Service
	// MinSlots is the minimum capacity, UsedSlots the number of slots in use now.
	MinSlots         int
	UsedSlots        int
	MinOnDemandSlots int
	MaxInstances     int
	// LoadTime is the time from the purchase until the instance serves.
	LoadTime time.Duration
}

// Instance is an instance as the platform lists it.
type Instance struct {
	ID    string
	Token string
	// ReclaimNoticed is set once the platform has given notice that it reclaims the instance.
	ReclaimNoticed bool
}

// Upstream is an announced upstream.
type Upstream struct {
	Instance   string
	Service    units.Service
	DataCentre units.DataCentre
	OnDemand   bool
	Slots      int
	// Serving is set for a live upstream, Leaving once it has announced that it leaves.
	Serving bool
	Leaving bool
}

// Event is an input of the buyer's state machine.
type Event interface{ event() }

// LeadershipGained reports that this instance is the leader from now on.
type LeadershipGained struct {
	Term units.Term
}

// LeadershipLost reports that this instance is no longer the leader.
type LeadershipLost struct{}

// InstancesListed is the platform's list of instances as of At.
type InstancesListed struct {
	At        time.Time
	Instances []Instance
}

// LaunchAnswered is the platform's answer to a launch; Instance is empty if the platform refused.
type LaunchAnswered struct {
	Token    string
	Instance string
	Reason   string
}

// Ticked is a timer event; it carries the state of the log and the reports of the entries.
type Ticked struct {
	Ledger    []*messages.Purchase
	Offers    []Offer
	Demands   []Demand
	Upstreams []Upstream
	// MaxStarting bounds the number of instances that load their weights at once.
	MaxStarting int
}

func (LeadershipGained) event() {}
func (LeadershipLost) event()   {}
func (InstancesListed) event()  {}
func (LaunchAnswered) event()   {}
func (Ticked) event()           {}

// Action is an effect that the caller of Step must carry out.
type Action interface{ action() }

// Commit asks for a purchase's next state to be committed to the log.
type Commit struct {
	Purchase *messages.Purchase
}

// Launch asks the platform for an instance; its purchase is committed, and the request may be
// repeated.
type Launch struct {
	Purchase *messages.Purchase
}

// Release asks the platform to end an instance; the request may be repeated.
type Release struct {
	Purchase *messages.Purchase
}

func (Commit) action()  {}
func (Launch) action()  {}
func (Release) action() {}

// Options are the time limits of a buyer.
type Options struct {
	// WarmUp is how long a new leader collects reports before it plans.
	WarmUp time.Duration
	// RetryInterval is the interval between two requests for one purchase.
	RetryInterval time.Duration
	// Backoff is how long an offer is excluded after a refusal; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// CoolDown is how long capacity must be surplus before it is released.
	CoolDown time.Duration
	// AnnounceTimeout is how long a launched instance may take to announce itself.
	AnnounceTimeout time.Duration
}
