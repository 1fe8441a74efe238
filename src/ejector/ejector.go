package ejector

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// failureThreshold is how many consecutive failures eject an upstream.
	failureThreshold = 3
	// ejectableDivisor divides the number of a service's upstreams to give how many may be
	// ejected at once: a fault elsewhere, such as in this entry's network, would otherwise
	// eject all of them.
	ejectableDivisor = 3
	// baseEjection is the duration of a first ejection. It doubles with each further one
	// without a success in between, up to maxEjection.
	baseEjection = 2 * time.Second
	maxEjection  = 30 * time.Second
	// stateTTL is how long after its last failure an upstream's state is kept.
	stateTTL = 5 * time.Minute
)

// Key identifies one incarnation of an upstream.
type Key struct {
	Service     units.Service
	Upstream    units.Upstream
	Incarnation units.Incarnation
}

// Event is the outcome of an exchange with an upstream.
type Event interface{ event() }

// ExchangeSucceeded reports that an upstream answered.
type ExchangeSucceeded struct {
	Key Key
}

// ExchangeFailed reports that an exchange failed at an upstream.
type ExchangeFailed struct {
	Key Key
	// Unreached is set when no connection could be made; one such failure is enough to eject.
	Unreached bool
	// Total is how many usable upstreams the service has.
	Total int
}

// UpstreamReached reports that a connection to an upstream was made.
type UpstreamReached struct {
	Key Key
}

// EntryPartitioned reports that this entry can connect to most upstreams of a service no more, so
// that failures to connect say nothing about them.
type EntryPartitioned struct {
	Service units.Service
}

func (ExchangeSucceeded) event() {}
func (ExchangeFailed) event()    {}
func (UpstreamReached) event()   {}
func (EntryPartitioned) event()  {}

// Action is an effect that the caller of Step must carry out.
type Action interface{ action() }

// Eject requires that an upstream get no calls until a given time.
type Eject struct {
	Key   Key
	Until time.Time
}

// Readmit requires that an ejected upstream get calls again.
type Readmit struct {
	Key Key
}

func (Eject) action()   {}
func (Readmit) action() {}

// Ejector counts failures of upstreams; it is a state machine without a clock.
type Ejector struct {
	upstreams map[Key]*state
}

type state struct {
	failures int
	// ejections counts ejections without a success in between.
	ejections    int
	ejectedUntil time.Time
	// unreached is set where the ejection is for a connection that could not be made.
	unreached bool
	failedAt  time.Time
}

// Step takes one event and returns the actions to carry out.
func (x *Ejector) Step(now time.Time, event Event) []Action {
	if x.upstreams == nil {
		x.upstreams = make(map[Key]*state)
	}
	switch e := event.(type) {
	case ExchangeSucceeded:
		x.recordSuccess(now, e.Key)
	case ExchangeFailed:
		return x.recordFailure(now, e)
	case UpstreamReached:
		return x.readmit(now, e.Key)
	case EntryPartitioned:
		var actions []Action
		for key := range x.upstreams {
			if key.Service == e.Service {
				actions = append(actions, x.readmit(now, key)...)
			}
		}
		return actions
	}
	return nil
}

// readmit ends the ejection of an upstream that was ejected because no connection to it could be
// made.
func (x *Ejector) readmit(now time.Time, key Key) []Action {
	s := x.upstreams[key]
	if s == nil || !s.unreached || !now.Before(s.ejectedUntil) {
		return nil
	}
	s.ejectedUntil = now
	return []Action{Readmit{Key: key}}
}

// recordSuccess clears an upstream's failures. A late answer to a call from before an ejection
// does not end the ejection.
func (x *Ejector) recordSuccess(now time.Time, key Key) {
	s := x.upstreams[key]
	if s == nil || now.Before(s.ejectedUntil) {
		return
	}
	delete(x.upstreams, key)
}

func (x *Ejector) recordFailure(now time.Time, e ExchangeFailed) []Action {
	s := x.upstreams[e.Key]
	if s == nil {
		x.expire(now)
		s = &state{}
		x.upstreams[e.Key] = s
	}
	s.failedAt = now
	if now.Before(s.ejectedUntil) {
		return nil
	}
	s.failures++
	// After an ejection, one failure is enough to eject the upstream again.
	shouldEject := s.failures >= failureThreshold || e.Unreached || s.ejections > 0
	if !shouldEject || x.ejectedCount(now, e.Key.Service) >= maxEjected(e.Total) {
		return nil
	}
	s.failures = 0
	s.unreached = e.Unreached
	s.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(s.ejections, 10)))
	s.ejections++
	return []Action{Eject{
		Key:   e.Key,
		Until: s.ejectedUntil,
	}}
}

// maxEjected returns how many of a service's upstreams may be ejected at once.
func maxEjected(total int) int {
	if total < 2 {
		return 0
	}
	return max(1, total/ejectableDivisor)
}

// ejectedCount returns how many of a service's upstreams are ejected now.
func (x *Ejector) ejectedCount(now time.Time, service units.Service) int {
	count := 0
	for key, s := range x.upstreams {
		if key.Service == service && now.Before(s.ejectedUntil) {
			count++
		}
	}
	return count
}

func (x *Ejector) expire(now time.Time) {
	for key, s := range x.upstreams {
		if now.Sub(s.failedAt) > stateTTL {
			delete(x.upstreams, key)
		}
	}
}
