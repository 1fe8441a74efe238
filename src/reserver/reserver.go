package reserver

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// minLosses is how many data centres may be lost at least, and maxLosses at most, while the plan still holds what
	// the load needs.
	minLosses = 1
	maxLosses = 3
	// shrinkInterval is the time without a reclaim after which the plan survives the loss of one data centre less.
	shrinkInterval = 20 * time.Second
	// reactionTime is the time from an upstream's leaving to the order of its replacement: an interval of the plan and
	// a heartbeat. It adds to the time that a replacement takes to start.
	reactionTime = 500 * time.Millisecond
	// arrivalGrace is how long beyond their start time upstreams of an accepted order may take to show. The platform may
	// carry orders out seconds late.
	arrivalGrace = 1500 * time.Millisecond
	// refusalMemory is how long a refused order shows that there are none to order. It is tried again every 3 s, and
	// the platform takes up to 2 s to answer.
	refusalMemory = 6 * time.Second
	// placementTolerance is how long before the reclaim an order may seem to be placed that was placed at its observation:
	// the estimate of the true time may have changed in between. It is less than an interval of the plan.
	placementTolerance = 50 * time.Millisecond
	// maxStepDelay is how late a step may come and still count as one in time for shrinkInterval.
	maxStepDelay = time.Second
)

// Reserver decides one service's reserve; its exported fields are set before use.
type Reserver struct {
	// ShortageCost is what a missing upstream costs callers, as a multiple of the price of an on-demand one for the same
	// time.
	ShortageCost float64
	// MinLosses is how many data centres the plan always survives the loss of, whatever the history shows.
	MinLosses int

	history  History
	version  uint64
	detector detector
	// supply is what orders have shown of each data centre.
	supply map[units.DataCentre]supply
	// losses is the number of data centres that the plan last survived the loss of; shrunkAt is when it last fell.
	losses   int
	shrunkAt time.Time
	decision Decision
}

// supply is what the last orders of a data centre's reclaimable upstreams have shown.
type supply struct {
	// refusedAt is when the last order was refused, and refusedSince when the first one of those without an accepted one
	// or maxUnavailable between them was. acceptedAt is when the first one after a refusal was accepted.
	refusedAt    time.Time
	refusedSince time.Time
	acceptedAt   time.Time
}

// Decision is a reserve and what it was derived from.
type Decision struct {
	scaler.Reserve
	// Extra is how many upstreams more than the load needs are held while reclaimable ones cannot be ordered.
	Extra int
	// Needed is how many upstreams the load needs.
	Needed int
	// Rate is the expected number of reclaims per second.
	Rate float64
	// Unavailable is the expected time after a reclaim in which no reclaimable upstreams can be ordered.
	Unavailable time.Duration
	Reclaims    int
}

// Continue takes over the history of an earlier leader.
func (r *Reserver) Continue(h History) { r.history = h }

// History returns the history and its version, which increases with each change.
func (r *Reserver) History() (History, uint64) { return r.history, r.version }

// Last returns the last decision.
func (r *Reserver) Last() Decision { return r.decision }

// Observe takes all reclaimable upstreams of the service and returns the reclaims that they show.
func (r *Reserver) Observe(now time.Time, upstreams []Upstream) []Reclaim {
	if r.history.ObservedSince.IsZero() {
		r.history.ObservedSince = now
		r.version++
	}
	r.history = r.history.trimmed(now)
	found := r.detector.observe(now, upstreams, r.lastReclaimOf)
	if len(found) > 0 {
		r.history.Reclaims = append(r.history.Reclaims[:len(r.history.Reclaims):len(r.history.Reclaims)], found...)
		r.history = r.history.trimmed(now)
		r.version++
	}
	return found
}

// lastReclaimOf returns when a data centre was last reclaimed.
func (r *Reserver) lastReclaimOf(centre units.DataCentre) time.Time {
	for i := len(r.history.Reclaims) - 1; i >= 0; i-- {
		if r.history.Reclaims[i].DataCentre == centre {
			return r.history.Reclaims[i].At
		}
	}
	return time.Time{}
}

// OnReleased records that an order releases some reclaimable upstreams of a data centre.
func (r *Reserver) OnReleased(now time.Time, centre units.DataCentre, count int) {
	r.detector.release(now, centre, count)
}

// OnRefused records that the platform has no reclaimable upstreams in a data centre.
func (r *Reserver) OnRefused(now time.Time, centre units.DataCentre) {
	if r.supply == nil {
		r.supply = make(map[units.DataCentre]supply)
	}
	last := r.supply[centre]
	since := last.refusedSince
	if since.IsZero() || now.Sub(last.refusedAt) >= maxUnavailable {
		since = now
	}
	r.supply[centre] = supply{
		refusedAt:    now,
		refusedSince: since,
	}
}

// OnAccepted records that the platform has accepted an order for more reclaimable upstreams of a data centre, which was
// placed some time before.
func (r *Reserver) OnAccepted(now, placedAt time.Time, centre units.DataCentre) {
	if s := r.supply[centre]; !s.refusedAt.IsZero() {
		r.supply[centre] = supply{acceptedAt: now}
	}
	for i := len(r.history.Reclaims) - 1; i >= 0; i-- {
		reclaim := r.history.Reclaims[i]
		if reclaim.DataCentre != centre {
			continue
		}
		// An order that was placed before the reclaim shows nothing.
		unavailable := placedAt.Sub(reclaim.At)
		if reclaim.Unavailable == 0 && unavailable > -placementTolerance && unavailable < maxUnavailable {
			changed := append([]Reclaim(nil), r.history.Reclaims...)
			changed[i].Unavailable = max(unavailable, minUnavailable)
			r.history.Reclaims = changed
			r.version++
		}
		return
	}
}

// Reserve returns the reserve for a service that needs a number of upstreams, has some ready and others starting. It
// implements scaler.Reserver.
func (r *Reserver) Reserve(now time.Time, service *matcher.Service, needed int, ready, starting scaler.PoolSizes) scaler.Reserve {
	r.history = r.history.trimmed(now)
	m := newModel(service, r.ShortageCost, needed)
	losses := m.losses(now, r.history)
	if losses < r.losses {
		losses = r.shrink(now, losses)
	}
	r.losses = losses
	r.decision = Decision{
		Reserve:     scaler.Reserve{Losses: max(losses, r.MinLosses)},
		Needed:      needed,
		Rate:        r.history.rate(now),
		Unavailable: r.history.expectedUnavailable(),
		Reclaims:    len(r.history.Reclaims),
	}
	if r.isSoldOut(now, service) {
		left := r.reclaimableIn(now, service, ready, starting)
		r.decision.Extra = m.extra(r.rateOfSpell(now), left)
		r.decision.OnDemand = max(0, needed+r.decision.Extra-sum(left))
	}
	return r.decision.Reserve
}

// rateOfSpell returns the rate by which on-demand upstreams are held. It stays as it was at the last reclaim while that
// one may still leave the platform without reclaimable upstreams.
func (r *Reserver) rateOfSpell(now time.Time) float64 {
	if last := r.history.lastAt(); now.Sub(last) < maxUnavailable {
		now = last
	}
	return r.history.rate(now)
}

// shrink returns the number of losses to survive where fewer than before are enough.
func (r *Reserver) shrink(now time.Time, target int) int {
	due := latest(r.shrunkAt, r.history.lastAt()).Add(shrinkInterval)
	if now.Before(due) {
		return r.losses
	}
	r.shrunkAt = due
	if now.Sub(due) > maxStepDelay {
		r.shrunkAt = now
	}
	return max(target, r.losses-1)
}

// isSoldOut reports whether some data centre has no reclaimable upstreams to order.
func (r *Reserver) isSoldOut(now time.Time, service *matcher.Service) bool {
	for centre := range service.Scaling.Prices {
		if r.isCentreSoldOut(now, service, centre) {
			return true
		}
	}
	return false
}

// isCentreSoldOut reports whether a data centre has no reclaimable upstreams to order: the last order was refused, or its
// upstreams were reclaimed and no order has been accepted since, for the time that this is expected to last. After an
// accepted order it lasts until the upstreams have come. A data centre that refuses for longer than maxUnavailable has
// none at all, and the plan does without it.
func (r *Reserver) isCentreSoldOut(now time.Time, service *matcher.Service, centre units.DataCentre) bool {
	s := r.supply[centre]
	refused := now.Sub(s.refusedAt) < refusalMemory && now.Sub(s.refusedSince) < maxUnavailable
	if refused || now.Sub(s.acceptedAt) < service.Scaling.BootTime+arrivalGrace {
		return true
	}
	expected := r.history.expectedUnavailable()
	for _, reclaim := range r.history.Reclaims {
		if reclaim.DataCentre == centre && reclaim.Unavailable == 0 && now.Sub(reclaim.At) < expected {
			return true
		}
	}
	return false
}

// reclaimableIn returns how many reclaimable upstreams each data centre that has some holds. Those that are starting
// count where no data centre's refusal or reclaim puts their arrival in doubt: at a start, none is ready yet, and the
// refusal of one data centre would have all of the load's upstreams ordered on demand.
func (r *Reserver) reclaimableIn(now time.Time, service *matcher.Service, ready, starting scaler.PoolSizes) []int {
	var counts []int
	for centre := range service.Scaling.Prices {
		pool := scaler.Pool{
			DataCentre:  centre,
			Reclaimable: true,
		}
		count := ready[pool]
		if !r.isCentreSoldOut(now, service, centre) {
			count += starting[pool]
		}
		if count > 0 {
			counts = append(counts, count)
		}
	}
	return counts
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
