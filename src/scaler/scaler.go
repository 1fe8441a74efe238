package scaler

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// safetyFactor is the coefficient of square-root staffing: the plan adds safetyFactor times
	// the square root of the number of upstreams that prefill alone keeps busy, since the
	// bursts of a larger load are a smaller part of it. Prompts differ a hundredfold in length,
	// and the queue behind a long one outlasts the objective of the short ones.
	safetyFactor = 3.5
	// maxSlotUtilization is the fraction of an upstream's slots that may be in use.
	maxSlotUtilization = 0.5
	// spareUpstreams is added to the number that the slots need: a burst of calls at one
	// upstream exceeds the mean.
	spareUpstreams = 0.7
	// toleratedLosses is how many data centres of reclaimable upstreams may be gone at once
	// while the required number is still there, if no Reserver decides it: a second one is
	// reclaimed while the first is still unavailable.
	toleratedLosses = 2
	// lastShare is the divisor for the last data centre that has reclaimable upstreams: it does
	// not carry everything.
	lastShare = 2
	// minPerDataCentre is the minimum of reclaimable upstreams in each data centre. They cost
	// little, and none are available once the load shows that they are missing.
	minPerDataCentre = 2
	// scaleDownMargin is the ratio of ready to required upstreams above which an on-demand one
	// is released.
	scaleDownMargin = 1.2
	// scaleDownInterval is the time between two orders that shrink a pool, in which the load
	// shows whether the released upstreams are missed. One order may release 1 in
	// scaleDownDivisor of them.
	scaleDownInterval = 600 * time.Millisecond
	scaleDownDivisor  = 10
	// smoothingPeriod removes the noise of single bursts from the measured load. decayPeriod
	// lets it fall over a good part of a load cycle, so that a dip of some seconds releases
	// nothing that the next burst needs.
	smoothingPeriod = 3 * time.Second
	decayPeriod     = 10 * time.Second
	// backoffMemory is how long after a back-off the smoothed load still contains refused calls.
	backoffMemory = 4 * smoothingPeriod
	// costRisePeriod is the time constant with which the cost of a token may rise: slower
	// upstreams stay slow, a queue is gone before.
	costRisePeriod = 30 * time.Second
	// maxCostRise bounds the ratio by which the cost of a token may rise: a queue multiplies it
	// at once, slower upstreams do not.
	maxCostRise = 1.5
	// startGrace is how long beyond its start time an upstream may take to show before its
	// order is placed again. stopTimeout is how long a released one may take to leave. The
	// platform may carry orders out seconds late, and may lose them.
	startGrace  = 1500 * time.Millisecond
	stopTimeout = 8 * time.Second
	// refusalBackoff is how long a pool is not ordered from after a refusal.
	refusalBackoff = 3 * time.Second
	// announceWait is how long the initial upstreams may take to announce themselves: some
	// heartbeats. An order is for a total number, and one that counts only those that have
	// announced themselves would release the others.
	announceWait = 3 * time.Second
	// warmUp is how long the load is measured before it counts as known: it is smoothed over
	// seconds, and rises from zero.
	warmUp = 8 * time.Second
)

// Pool is one pool of a service's upstreams: the reclaimable or the on-demand ones in a data
// centre.
type Pool struct {
	DataCentre  units.DataCentre
	Reclaimable bool
}

// Load is the demand of a service's callers, over all entries.
type Load struct {
	// Demand is the demand in prompt tokens per second, or in calls per second for a service
	// without prompts.
	Demand float64
	// SecondsPerUnit is how many seconds an upstream takes for one token or call without queueing; 0 if
	// unknown.
	SecondsPerUnit float64
	// Slowdown is how many times as long as SecondsPerUnit a unit takes at the service's present
	// upstreams together; 0 if unknown.
	Slowdown float64
	// Concurrency is the mean number of calls in flight.
	Concurrency float64
	// LimitedUpstreams is how many upstreams report that they accept fewer calls than there are for
	// them.
	LimitedUpstreams int
	// BackedOffUpstreams is how many upstreams have asked for a back-off; one that has asked only
	// some of the entries counts in part.
	BackedOffUpstreams float64
	// EjectedUpstreams is how many of the upstreams that take calls are ejected because their calls fail; one that
	// gets some of its calls counts in part.
	EjectedUpstreams float64
}

// PoolSizes is the number of a service's upstreams in each pool: those that take calls now, or
// those that are planned.
type PoolSizes map[Pool]int

// Reserve is what the plan holds against reclaims.
type Reserve struct {
	// Losses is how many data centres of reclaimable upstreams may be gone at once while the
	// required number is still there.
	Losses int
	// OnDemand is the smallest number of on-demand upstreams.
	OnDemand int
}

// Reserver decides the reserve of a service that needs a number of upstreams, has some ready, and has ordered
// others that are starting.
type Reserver interface {
	Reserve(now time.Time, service *matcher.Service, needed int, ready, starting PoolSizes) Reserve
}

// Scaler plans for one service; it is a state machine without a clock. Its exported fields are
// set before use.
type Scaler struct {
	// Reserver is nil where the reserve is constant.
	Reserver Reserver

	// firstCallAt is when the first calls were seen; before it the load is unknown.
	firstCallAt time.Time
	updatedAt   time.Time
	// initialUpstreams is how many upstreams the operators started with, where that is known:
	// startedIdle is set if there was no call at the first step. The initial upstreams announce
	// themselves over some seconds, in which the orders for their replacements go out.
	initialUpstreams int
	startedIdle      bool
	firstStepAt      time.Time
	// backedOffAt is when upstreams last backed off.
	backedOffAt time.Time
	// smoothed is the load without noise, load the one that the plan is based on.
	smoothed Load
	load     Load
	// secondsPerUnit is the time for one token or call without queueing, and concurrencyPerUnit
	// how many calls are then in flight for each that is demanded per second.
	secondsPerUnit     float64
	concurrencyPerUnit float64
	ordered            map[Pool]placedOrder
	refusedAt          map[Pool]time.Time
}

// Step takes the current load and number of upstreams and returns the orders to place now.
func (s *Scaler) Step(now time.Time, service *matcher.Service, load Load, current PoolSizes) []Order {
	s.follow(now, load, current)
	required := s.requirement(now, service)
	if s.Reserver != nil {
		required.reserve = s.Reserver.Reserve(now, service, required.minReady(), current, s.allStarting(now, service, current))
	}
	plan := s.plan(now, service, required, current)
	var orders []Order
	for _, pool := range poolsOf(service) {
		want := Order{
			Pool:  pool,
			Count: plan[pool],
		}
		if nextOrder, due := s.nextOrder(now, service, want, current, required); due {
			orders = append(orders, nextOrder)
		}
	}
	return orders
}

// follow updates what is known of the load.
func (s *Scaler) follow(now time.Time, load Load, current PoolSizes) {
	if s.ordered == nil {
		s.ordered = make(map[Pool]placedOrder)
		s.refusedAt = make(map[Pool]time.Time)
		s.updatedAt = now
		s.firstStepAt = now
		s.startedIdle = load.Concurrency == 0
	}
	if s.startedIdle && s.firstCallAt.IsZero() {
		s.initialUpstreams = max(s.initialUpstreams, initialCount(current))
	}
	if s.firstCallAt.IsZero() && load.Concurrency > 0 {
		s.firstCallAt = now
	}
	s.updateLoad(now, load)
}

// updateLoad smooths the load, which rises faster than it falls.
func (s *Scaler) updateLoad(now time.Time, load Load) {
	elapsed := now.Sub(s.updatedAt)
	s.updatedAt = now
	s.smoothed.Demand = smooth(s.smoothed.Demand, load.Demand, elapsed, smoothingPeriod)
	s.smoothed.Concurrency = smooth(s.smoothed.Concurrency, load.Concurrency, elapsed, smoothingPeriod)
	s.load.Demand = trackPeak(s.load.Demand, s.smoothed.Demand, elapsed)
	if load.SecondsPerUnit > 0 {
		s.secondsPerUnit = trackMinimum(s.secondsPerUnit, load.SecondsPerUnit, elapsed)
	}
	if load.BackedOffUpstreams > 0 {
		s.backedOffAt = now
	}
	// Calls that have just begun have not been in flight for long; estimated from them, a call
	// would seem to need no slot.
	if s.smoothed.Demand > 0 && !s.firstCallAt.IsZero() && now.Sub(s.firstCallAt) >= warmUp {
		s.updateConcurrency(now, elapsed)
	}
	s.load.SecondsPerUnit = s.secondsPerUnit
	s.load.Slowdown = load.Slowdown
	s.load.LimitedUpstreams = load.LimitedUpstreams
	s.load.BackedOffUpstreams = smooth(s.load.BackedOffUpstreams, load.BackedOffUpstreams, elapsed, smoothingPeriod)
	// Many ejections are over before a replacement would have started.
	s.load.EjectedUpstreams = smooth(s.load.EjectedUpstreams, load.EjectedUpstreams, elapsed, smoothingPeriod)
	s.load.Concurrency = s.load.Demand * s.concurrencyPerUnit
}

// updateConcurrency updates how many calls are in flight for each unit of demand. Calls that
// upstreams refuse with a back-off are in flight for no time, and would make it fall.
func (s *Scaler) updateConcurrency(now time.Time, elapsed time.Duration) {
	estimate := trackMinimum(s.concurrencyPerUnit, s.smoothed.Concurrency/s.smoothed.Demand, elapsed)
	if now.Sub(s.backedOffAt) < backoffMemory {
		estimate = max(estimate, s.concurrencyPerUnit)
	}
	s.concurrencyPerUnit = estimate
}

// trackMinimum falls at once and rises slowly. Once there are too few upstreams, queueing
// delays every call, and the delay no longer shows how many would be enough: a plan based on it
// orders several times what is needed.
func trackMinimum(old, measured float64, elapsed time.Duration) float64 {
	if old == 0 || measured < old {
		return measured
	}
	return smooth(old, min(measured, old*maxCostRise), elapsed, costRisePeriod)
}

func smooth(old, measured float64, elapsed, period time.Duration) float64 {
	return old + (measured-old)*(1-math.Exp(-elapsed.Seconds()/period.Seconds()))
}

// trackPeak rises at once and falls slowly.
func trackPeak(old, measured float64, elapsed time.Duration) float64 {
	if measured > old {
		return measured
	}
	return smooth(old, measured, elapsed, decayPeriod)
}

// Load returns the load that the plan is based on.
func (s *Scaler) Load() Load { return s.load }

// initialCount returns how many upstreams there are before the first call if all of them are on
// demand: the operators' estimate of what the load will need. The upstreams that a new leader
// finds while calls run are the result of an earlier plan.
func initialCount(current PoolSizes) int {
	total := 0
	for pool, count := range current {
		if pool.Reclaimable {
			return 0
		}
		total += count
	}
	return total
}

// requiredByLoad returns how many upstreams the measured load needs.
func (s *Scaler) requiredByLoad(service *matcher.Service) int {
	work := s.load.Demand * s.load.SecondsPerUnit
	if s.load.Slowdown > 0 {
		work *= s.load.Slowdown
	}
	prefill := work + safetyFactor*math.Sqrt(work)
	slots := spareUpstreams
	if service.Engine != nil && service.Engine.Slots > 0 {
		slots += s.load.Concurrency / (maxSlotUtilization * float64(service.Engine.Slots))
	}
	missing := s.load.LimitedUpstreams + int(math.Round(s.load.BackedOffUpstreams)) + int(math.Round(s.load.EjectedUpstreams))
	return int(math.Ceil(max(prefill, slots))) + missing
}
