package orderer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Service is the state that the configuration wants for one service's upstreams.
type Service struct {
	Name units.Service
	// Versions are the model versions that the service may use.
	Versions []units.ModelVersion
	Wanted   *messages.Wanted
	// MinServing is the minimum number of upstreams that must stay in service.
	MinServing int
	// Bytes is the size of the wanted version in the weight store.
	Bytes int64
}

// Upstream is the state that an upstream last announced.
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
	// Live is set unless the upstream is leaving or suspected to have failed.
	Live bool
}

// Event is an input of the orderer's state machine.
type Event interface{ event() }

// LeadershipGained reports that this instance is the leader from now on.
type LeadershipGained struct {
	Term units.Term
}

// LeadershipLost reports that this instance is no longer the leader.
type LeadershipLost struct{}

// OrderAnswered is an upstream's answer to an order; the outcome is unspecified if there was no
// answer.
type OrderAnswered struct {
	Upstream units.Upstream
	Order    *messages.Order
	Result   *messages.OrderResult
}

// Ticked is a timer event; it carries the wanted and the announced state.
type Ticked struct {
	Services    []Service
	Upstreams   []Upstream
	StoreLimits StoreLimits
}

// StoreLimits holds the limits of the weight store.
type StoreLimits struct {
	BytesPerSecond     int64
	MaxConcurrentLoads int
}

func (LeadershipGained) event() {}
func (LeadershipLost) event()   {}
func (OrderAnswered) event()    {}
func (Ticked) event()           {}

// Send asks for an order to be sent; it may be lost.
type Send struct {
	Address string
	Order   *messages.Order
	Reason  string
}

// Options are the time limits of an orderer.
type Options struct {
	// Lease is how long an earlier leader may have remained active after this one's election.
	Lease time.Duration
	// MaxClockDrift is the maximum difference between two clocks over a lease.
	MaxClockDrift time.Duration
	// Timeout bounds how long an order is in flight.
	Timeout time.Duration
	// AnnounceDelay is how long it takes until a change at an upstream is announced here.
	AnnounceDelay time.Duration
	// ResendInterval is the time after which an order without effect is sent again; it doubles with
	// each attempt, up to MaxResendInterval.
	ResendInterval    time.Duration
	MaxResendInterval time.Duration
}
