package reserver

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

// model is what the cost of a reserve depends on. Prices are in units of the price of an on-demand upstream for a
// second.
type model struct {
	needed       int
	dataCentres  int
	shortageCost float64
	// reclaimablePrice is the price of a reclaimable upstream.
	reclaimablePrice float64
	// replacementTime is how long a lost upstream is missing until its on-demand replacement takes calls.
	replacementTime time.Duration
}

func newModel(service *matcher.Service, shortageCost float64, needed int) model {
	return model{
		needed:           needed,
		dataCentres:      len(service.Scaling.Prices),
		shortageCost:     shortageCost,
		reclaimablePrice: service.Scaling.ReclaimablePrice,
		replacementTime:  service.Scaling.BootTime + reactionTime,
	}
}

// losses returns how many data centres the plan must survive the loss of. It grows with each reclaim and then shrinks by
// one in each shrinkInterval. It follows from the history alone, so that a new leader plans as the one before.
func (m model) losses(now time.Time, h History) int {
	held := 0
	for i, reclaim := range h.Reclaims {
		if i > 0 {
			held -= shrinkSteps(reclaim.At.Sub(h.Reclaims[i-1].At))
		}
		held = max(held, m.lossesAt(h.until(i).rate(reclaim.At)))
	}
	held -= shrinkSteps(now.Sub(h.lastAt()))
	return max(held, m.lossesAt(h.rate(now)))
}

// shrinkSteps returns how often the reserve shrinks in a time, none if clocks have made it negative.
func shrinkSteps(passed time.Duration) int { return int(max(0, passed) / shrinkInterval) }

// lossesAt returns the smallest number of lost data centres to survive for which the expected cost of a shortage is at
// most the price of one more reclaimable upstream.
func (m model) lossesAt(rate float64) int {
	most := min(maxLosses, m.dataCentres-1)
	for losses := minLosses; losses < most; losses++ {
		perDataCentre := ceilRatio(m.needed, m.dataCentres-losses)
		left := make([]int, m.dataCentres)
		for i := range left {
			left[i] = perDataCentre
		}
		if m.shortage(rate, left, 0) <= m.reclaimablePrice {
			return losses
		}
	}
	return max(minLosses, most)
}

// extra returns the smallest number of upstreams beyond those that the load needs for which the expected cost of a
// shortage is at most the price of one more on-demand upstream, where the data centres have left some reclaimable ones
// and the rest is on demand.
func (m model) extra(rate float64, left []int) int {
	total := sum(left)
	for extra := 0; extra < total; extra++ {
		if m.shortage(rate, left, max(0, m.needed+extra-total)) <= 1 {
			return extra
		}
	}
	return total
}

// shortage returns the expected cost of a shortage per second, with some reclaimable upstreams in each data centre and
// some on demand. Of the data centres, those that hold most are lost first.
func (m model) shortage(rate float64, left []int, onDemand int) float64 {
	left = slices.Clone(left)
	slices.SortFunc(left, func(a, b int) int { return cmp.Compare(b, a) })
	remaining := sum(left) + onDemand
	cost := 0.0
	probabilities := lossProbabilities(rate*m.replacementTime.Seconds(), len(left))
	for lost, probability := range probabilities {
		if lost > 0 {
			remaining -= left[lost-1]
		}
		cost += probability * m.shortageCost * float64(max(0, m.needed-remaining))
	}
	return cost
}

// lossProbabilities returns the probabilities of 0, 1, 2 and more losses where some are expected, up to most, which
// includes all beyond it.
func lossProbabilities(expected float64, most int) []float64 {
	probabilities := make([]float64, most+1)
	rest := 1.0
	term := math.Exp(-expected)
	for lost := range most {
		probabilities[lost] = term
		rest -= term
		term *= expected / float64(lost+1)
	}
	probabilities[most] = max(0, rest)
	return probabilities
}

func ceilRatio(a, b int) int { return (a + b - 1) / b }
