package scaler

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// totalsExpiry is how long an entry's load counts without a poll. It spans several polls,
// enough for a restart of the leader's process or a lost connection.
const totalsExpiry = 1500 * time.Millisecond

// Totals are one entry's counters of a service since the entry started.
type Totals struct {
	// Tokens is the estimated number of prompt tokens that upstreams had to read.
	Tokens float64
	// Calls is the number of admitted calls, CallSeconds the total time that they were in
	// flight.
	Calls       float64
	CallSeconds float64
	// SecondsPerToken is how many seconds a token takes to read; 0 if unknown.
	SecondsPerToken float64
}

// LoadMeter derives the load over all entries from their counters; it is a state machine without a
// clock.
//
// It takes every poll into account, not only the last one before each plan: by single polls the
// demand is zero at one plan and many times the mean at another, and a plan follows such peaks
// at once and falls slowly.
type LoadMeter struct {
	entries map[units.Instance]*entryRecord
}

// entryRecord holds one entry's counters between two measurements.
type entryRecord struct {
	incarnation units.Incarnation
	// latest is the entry's last report, base its last report at the previous measurement.
	latest report
	base   report
	rates  map[units.Service]Load
}

type report struct {
	at     time.Time
	totals map[units.Service]Totals
}

// Record records an entry's counters of the services since its start.
func (l *LoadMeter) Record(now time.Time, entry units.Instance, incarnation units.Incarnation, totals map[units.Service]Totals) {
	if l.entries == nil {
		l.entries = make(map[units.Instance]*entryRecord)
	}
	latest := report{
		at:     now,
		totals: totals,
	}
	record := l.entries[entry]
	if record == nil || record.incarnation != incarnation {
		l.entries[entry] = &entryRecord{
			incarnation: incarnation,
			latest:      latest,
			base:        latest,
		}
		return
	}
	record.latest = latest
}

// Measure returns the load of each service since the last measurement.
func (l *LoadMeter) Measure(now time.Time) map[units.Service]Load {
	sums := make(map[units.Service]Load)
	costs := make(map[units.Service][]float64)
	for name, e := range l.entries {
		if now.Sub(e.latest.at) > totalsExpiry {
			delete(l.entries, name)
			continue
		}
		e.measure()
		for service, rate := range e.rates {
			sum := sums[service]
			sum.Demand += rate.Demand
			sum.Concurrency += rate.Concurrency
			sums[service] = sum
			if rate.SecondsPerUnit > 0 {
				costs[service] = append(costs[service], rate.SecondsPerUnit)
			}
		}
	}
	for service, values := range costs {
		sum := sums[service]
		// The median, since an entry that has seen few calls may be far off.
		slices.Sort(values)
		sum.SecondsPerUnit = values[len(values)/2]
		sums[service] = sum
	}
	return sums
}

// measure computes the entry's rates since the last measurement; an entry that has not reported
// since keeps its previous rates.
func (e *entryRecord) measure() {
	elapsed := e.latest.at.Sub(e.base.at).Seconds()
	if elapsed <= 0 {
		return
	}
	e.rates = make(map[units.Service]Load, len(e.latest.totals))
	for service, now := range e.latest.totals {
		before := e.base.totals[service]
		demand := now.Tokens - before.Tokens
		if now.Tokens == 0 {
			// A service without prompts is measured by its calls.
			demand = now.Calls - before.Calls
		}
		e.rates[service] = Load{
			Demand:         demand / elapsed,
			SecondsPerUnit: now.SecondsPerToken,
			Concurrency:    (now.CallSeconds - before.CallSeconds) / elapsed,
		}
	}
	e.base = e.latest
}
