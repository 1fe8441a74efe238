package ejector

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// threshold is how many failures in a row eject an upstream.
	threshold = 3
	// maxShare is the part of a service's upstreams that may be out at once: a
	// fault that lies elsewhere, such as in this entry's network, would otherwise
	// eject them all.
	maxShare = 3
	baseTime = 2 * time.Second
	maxTime  = 30 * time.Second
	// forgetAfter is when an upstream without news is forgotten.
	forgetAfter = 5 * time.Minute
)

// Key is one life of one upstream.
type Key struct {
	Service     units.Service
	Upstream    units.Upstream
	Incarnation units.Incarnation
}

// Event is the news of an exchange.
type Event interface{ event() }

// Succeeded says that an upstream answered.
type Succeeded struct {
	Key Key
}

// Failed says that an exchange failed at an upstream.
type Failed struct {
	Key Key
	// Unreached says that no connection could be made, which one try proves.
	Unreached bool
	// Total is how many usable upstreams the service has.
	Total int
}

func (Succeeded) event() {}
func (Failed) event()    {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Eject wants an upstream left out until then.
type Eject struct {
	Key   Key
	Until time.Time
}

func (Eject) action() {}

// Ejector counts failures; it is a state machine without a clock.
type Ejector struct {
	upstreams map[Key]*state
}

type state struct {
	failures int
	// ejections is how often it was ejected without a success between.
	ejections int
	until     time.Time
	heard     time.Time
}

// Step takes one event and returns the actions to carry out.
func (x *Ejector) Step(now time.Time, event Event) []Action {
	if x.upstreams == nil {
		x.upstreams = make(map[Key]*state)
	}
	switch e := event.(type) {
	case Succeeded:
		x.succeed(now, e.Key)
	case Failed:
		return x.fail(now, e)
	}
	return nil
}

// succeed clears what stood against an upstream; a late answer from before an
// ejection does not end it.
func (x *Ejector) succeed(now time.Time, key Key) {
	s := x.upstreams[key]
	if s == nil || now.Before(s.until) {
		return
	}
	delete(x.upstreams, key)
}

func (x *Ejector) fail(now time.Time, e Failed) []Action {
	s := x.upstreams[e.Key]
	if s == nil {
		x.forget(now)
		s = &state{}
		x.upstreams[e.Key] = s
	}
	s.heard = now
	if now.Before(s.until) {
		return nil
	}
	s.failures++
	// One that comes back from an ejection has one try.
	enough := s.failures >= threshold || e.Unreached || s.ejections > 0
	if !enough || x.out(now, e.Key.Service) >= most(e.Total) {
		return nil
	}
	s.failures = 0
	s.until = now.Add(min(maxTime, baseTime<<min(s.ejections, 10)))
	s.ejections++
	return []Action{Eject{
		Key:   e.Key,
		Until: s.until,
	}}
}

// most returns how many of a service's upstreams may be out at once.
func most(total int) int {
	if total < 2 {
		return 0
	}
	return max(1, total/maxShare)
}

// out returns how many of a service's upstreams are out now.
func (x *Ejector) out(now time.Time, service units.Service) int {
	count := 0
	for key, s := range x.upstreams {
		if key.Service == service && now.Before(s.until) {
			count++
		}
	}
	return count
}

func (x *Ejector) forget(now time.Time) {
	for key, s := range x.upstreams {
		if now.Sub(s.heard) > forgetAfter {
			delete(x.upstreams, key)
		}
	}
}
