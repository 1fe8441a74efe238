package orderer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Service is what the configuration wants of one service's upstreams.
type Service struct {
	Name units.Service
	// Versions are those that the service may use.
	Versions []units.ModelVersion
	Wanted   *messages.Wanted
	// Floor is how many upstreams must stay in service.
	Floor int
	// Bytes is the size of the wanted version in the weight store.
	Bytes int64
}

// Upstream is what an upstream last announced of itself.
type Upstream struct {
	Name          units.Upstream
	Service       units.Service
	Address       string
	Incarnation   units.Incarnation
	Model         string
	Version       units.ModelVersion
	Adapters      []string
	Role          string
	Loading       units.ModelVersion
	ChecksFencing bool
	Fencing       units.Term
	// Live is set unless the upstream leaves or is suspected.
	Live bool
}

// Event is something that happened to the orderer.
type Event interface{ event() }

// Led says that this instance leads from now on.
type Led struct {
	Term units.Term
}

// Lost says that this instance leads no more.
type Lost struct{}

// Answered is an upstream's answer to an order; the outcome is unspecified where there was none.
type Answered struct {
	Upstream units.Upstream
	Order    *messages.Order
	Result   *messages.OrderResult
}

// Ticked says that time has passed; it brings what is wanted and what is announced.
type Ticked struct {
	Services  []Service
	Upstreams []Upstream
	Store     Store
}

// Store is the limit of the weight store.
type Store struct {
	BytesPerSecond int64
	LoadsAtOnce    int
}

func (Led) event()      {}
func (Lost) event()     {}
func (Answered) event() {}
func (Ticked) event()   {}

// Send asks for an order to be sent; it may be lost.
type Send struct {
	Address string
	Order   *messages.Order
	Reason  string
}

// Options are the periods of an orderer.
type Options struct {
	// Lease is how long an earlier leader may have gone on after this one's election.
	Lease time.Duration
	// Drift is by how much clocks may differ over a lease.
	Drift time.Duration
	// Timeout bounds how long an order is under way.
	Timeout time.Duration
	// Observe is how long a change at an upstream takes to be announced here.
	Observe time.Duration
	// Resend is the time before an order without effect is sent again; it
	// doubles with each sending, up to MostResend.
	Resend     time.Duration
	MostResend time.Duration
}
