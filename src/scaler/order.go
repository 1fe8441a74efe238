package scaler

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

// Order asks for a total number of upstreams in one pool.
type Order struct {
	Pool
	Count int
}

// placedOrder is the last order of a pool; readyBefore is how many of its upstreams took calls
// when it was placed.
type placedOrder struct {
	count       int
	readyBefore int
	placedAt    time.Time
}

// nextOrder returns the order to place for a pool now, and whether one is due.
func (s *Scaler) nextOrder(now time.Time, service *matcher.Service, want Order, current PoolSizes, required requirement) (Order, bool) {
	pool := want.Pool
	last, known := s.ordered[pool]
	ready := current[pool]
	if !known {
		last.count = ready
	}
	if s.isSoldOut(now, pool) || !pool.Reclaimable && s.startedIdle && now.Sub(s.firstStepAt) < announceWait {
		return Order{}, false
	}
	if want.Count < last.count {
		want.Count = s.scaleDown(now, last, want.Count, current, required)
	}
	settled := ready == want.Count || known && now.Sub(last.placedAt) < effectTimeout(service, ready < want.Count)
	if want.Count == last.count && settled {
		return Order{}, false
	}
	s.ordered[pool] = placedOrder{
		count:       want.Count,
		readyBefore: ready,
		placedAt:    now,
	}
	return want, true
}

// effectTimeout returns how long an order may take to show in the number of upstreams.
func effectTimeout(service *matcher.Service, scaleUp bool) time.Duration {
	if scaleUp {
		return service.Scaling.BootTime + startGrace
	}
	return stopTimeout
}

// scaleDown returns the lower number to order: it releases a few at a time, and only while more
// than the required number takes calls without them.
//
// Without the wait, the initial upstreams would go before their replacements have come, and
// every call of those seconds would be late. Released one at a time, a large fleet would cost
// the on-demand price for a minute after reclaimable upstreams were unavailable for seconds.
func (s *Scaler) scaleDown(now time.Time, last placedOrder, want int, current PoolSizes, required requirement) int {
	ready := 0
	for pool, count := range current {
		if ordered, known := s.ordered[pool]; known {
			// Released upstreams may still take calls for a moment.
			count = min(count, ordered.count)
		}
		ready += count
	}
	unknown := s.initialUpstreams == 0 && (s.firstCallAt.IsZero() || now.Sub(s.firstCallAt) < warmUp)
	surplus := ready - required.scaleDownFloor()
	if s.startedIdle && s.firstCallAt.IsZero() {
		// There are no calls yet, and the replacements are ready.
		return max(want, last.count-max(0, surplus))
	}
	if unknown || now.Sub(last.placedAt) < scaleDownInterval || surplus < 1 {
		return last.count
	}
	return max(want, last.count-min(surplus, 1+last.count/scaleDownDivisor))
}

// OnOrderRefused records that a pool has no upstreams available now.
func (s *Scaler) OnOrderRefused(now time.Time, pool Pool) {
	if pool.Reclaimable {
		s.refusedAt[pool] = now
	}
	delete(s.ordered, pool)
}

// OnOrderFailed records that the outcome of an order is unknown; it is placed again.
func (s *Scaler) OnOrderFailed(pool Pool) { delete(s.ordered, pool) }
