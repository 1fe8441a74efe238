package scaler

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// totalsExpiry is how long an entry's load counts without a poll: some polls, in
// which a restart of the leader's process or a lost connection is over.
const totalsExpiry = 1500 * time.Millisecond

// Totals is what one entry has seen of a service since its start.
type Totals struct {
	// Tokens is how many prompt tokens upstreams were likely to have to read.
	Tokens float64
	// Calls is how many calls were let in, CallSeconds how long all of them
	// together were under way.
	Calls       float64
	CallSeconds float64
	// Each is how long a token takes to read, in seconds, 0 where nobody knows.
	Each float64
}

// Survey makes the load of all entries from what each has seen; it is a state
// machine without a clock.
//
// Every poll counts, and not the last one before each plan: by single polls callers ask
// for nothing at one plan and for many times the mean at another, and a plan follows such
// peaks at once and forgets them slowly.
type Survey struct {
	entries map[units.Instance]*surveyed
}

// surveyed is one entry between two measurements.
type surveyed struct {
	incarnation units.Incarnation
	// heard is what the entry said last, base what it had said at the last
	// measurement.
	heard reading
	base  reading
	rates map[units.Service]Load
}

type reading struct {
	at     time.Time
	totals map[units.Service]Totals
}

// Hear takes what an entry has seen of the services since its start.
func (s *Survey) Hear(now time.Time, entry units.Instance, incarnation units.Incarnation, totals map[units.Service]Totals) {
	if s.entries == nil {
		s.entries = make(map[units.Instance]*surveyed)
	}
	heard := reading{
		at:     now,
		totals: totals,
	}
	known := s.entries[entry]
	if known == nil || known.incarnation != incarnation {
		s.entries[entry] = &surveyed{
			incarnation: incarnation,
			heard:       heard,
			base:        heard,
		}
		return
	}
	known.heard = heard
}

// Measure returns the load of each service since the last measurement.
func (s *Survey) Measure(now time.Time) map[units.Service]Load {
	sums := make(map[units.Service]Load)
	each := make(map[units.Service][]float64)
	for name, e := range s.entries {
		if now.Sub(e.heard.at) > totalsExpiry {
			delete(s.entries, name)
			continue
		}
		e.measure()
		for service, rate := range e.rates {
			sum := sums[service]
			sum.Asked += rate.Asked
			sum.Running += rate.Running
			sums[service] = sum
			if rate.Each > 0 {
				each[service] = append(each[service], rate.Each)
			}
		}
	}
	for service, known := range each {
		sum := sums[service]
		// The median: an entry that has seen few calls may be far off.
		slices.Sort(known)
		sum.Each = known[len(known)/2]
		sums[service] = sum
	}
	return sums
}

// measure works out the entry's rates from one measurement to the next; one that
// was not heard between keeps those it had.
func (e *surveyed) measure() {
	passed := e.heard.at.Sub(e.base.at).Seconds()
	if passed <= 0 {
		return
	}
	e.rates = make(map[units.Service]Load, len(e.heard.totals))
	for service, now := range e.heard.totals {
		before := e.base.totals[service]
		asked := now.Tokens - before.Tokens
		if now.Tokens == 0 {
			// A service without prompts is measured by its calls.
			asked = now.Calls - before.Calls
		}
		e.rates[service] = Load{
			Asked:   asked / passed,
			Each:    now.Each,
			Running: (now.CallSeconds - before.CallSeconds) / passed,
		}
	}
	e.base = e.heard
}
