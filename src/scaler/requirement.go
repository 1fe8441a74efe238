package scaler

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

// requirement is how many upstreams of a service there should be.
type requirement struct {
	// byLoad is how many upstreams the load needs to meet its objective.
	byLoad int
	// initial is how many upstreams the operators started with; 0 once the load is known.
	initial int
	reserve Reserve
}

// minReady returns how many upstreams must take calls.
func (r requirement) minReady() int { return max(r.byLoad, r.initial) }

// scaleDownFloor returns how many upstreams must take calls before on-demand ones are released.
func (r requirement) scaleDownFloor() int {
	return max(int(math.Ceil(scaleDownMargin*float64(r.byLoad))), r.initial)
}

// perDataCentre returns how many reclaimable upstreams a data centre should have, where
// available data centres have some to offer and soldOut ones do not.
//
// They are spread evenly over all available data centres, since any one may be reclaimed: what
// is left after reserve.Losses data centres are gone in total, and at least one more, must be
// enough. The upstreams that a sold-out data centre lacks run in the others at a fraction of
// the on-demand price. The last available data centre does not carry everything.
func (r requirement) perDataCentre(available, soldOut int) int {
	left := available - max(1, r.reserve.Losses-soldOut)
	if available == 1 {
		left = lastShare
	}
	return max(minPerDataCentre, ceilRatio(r.minReady(), max(1, left)))
}

func ceilRatio(a, b int) int { return (a + b - 1) / b }

// requirement returns how many upstreams there should be now.
func (s *Scaler) requirement(now time.Time, service *matcher.Service) requirement {
	r := requirement{
		byLoad:  s.requiredByLoad(service),
		reserve: Reserve{Losses: toleratedLosses},
	}
	if s.firstCallAt.IsZero() || now.Sub(s.firstCallAt) < warmUp {
		r.initial = s.initialUpstreams
	}
	return r
}
