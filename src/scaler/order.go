package scaler

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

// Order asks for a number of upstreams of one kind.
type Order struct {
	Kind
	Count int
}

// placed is the last order of a kind, given when there were had of it.
type placed struct {
	count int
	had   int
	at    time.Time
}

// order says whether a kind's order is to be given now.
func (s *Scaler) order(now time.Time, service *matcher.Service, want Order, stock Stock, needed need) (Order, bool) {
	kind := want.Kind
	last, known := s.ordered[kind]
	have := stock[kind]
	if !known {
		last.count = have
	}
	if s.isDry(now, kind) || !kind.Reclaimable && s.fresh && now.Sub(s.stepped) < announced {
		return Order{}, false
	}
	if want.Count < last.count {
		want.Count = s.giveBack(now, last, want.Count, stock, needed)
	}
	settled := have == want.Count || known && now.Sub(last.at) < repeat(service, have < want.Count)
	if want.Count == last.count && settled {
		return Order{}, false
	}
	s.ordered[kind] = placed{
		count: want.Count,
		had:   have,
		at:    now,
	}
	return want, true
}

// repeat returns how long an order may take to show.
func repeat(service *matcher.Service, missing bool) time.Duration {
	if missing {
		return service.Scaling.Boot + late
	}
	return slow
}

// giveBack returns the lower number to order: a few at a time, and only while more
// than what is needed takes calls without them.
//
// Without the wait the upstreams at the start would go before those that stand in
// for them have come, and every caller of those seconds would be late. One at a time,
// a large fleet would pay the full price for a minute after a dry spell of seconds.
func (s *Scaler) giveBack(now time.Time, last placed, want int, stock Stock, needed need) int {
	ready := 0
	for kind, count := range stock {
		if ordered, known := s.ordered[kind]; known {
			// What was given back may still take calls for a moment.
			count = min(count, ordered.count)
		}
		ready += count
	}
	unknown := s.first == 0 && (s.began.IsZero() || now.Sub(s.began) < settle)
	surplus := ready - needed.kept()
	if s.fresh && s.began.IsZero() {
		// Nobody calls yet, and what takes their place is there.
		return max(want, last.count-max(0, surplus))
	}
	if unknown || now.Sub(last.at) < backPause || surplus < 1 {
		return last.count
	}
	return max(want, last.count-min(surplus, 1+last.count/backPart))
}

// Refused notes that a kind is not to be had now.
func (s *Scaler) Refused(now time.Time, kind Kind) {
	if kind.Reclaimable {
		s.dryAt[kind] = now
	}
	delete(s.ordered, kind)
}

// Failed notes that nobody knows what became of an order; it is given again.
func (s *Scaler) Failed(kind Kind) { delete(s.ordered, kind) }
