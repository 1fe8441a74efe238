package scaler

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

// need is how many upstreams of a service there should be.
type need struct {
	// load is what the load needs to meet its objective.
	load int
	// start is what the operators started with, while the load is not known yet.
	start int
}

// least returns how many must take calls.
func (n need) least() int { return max(n.load, n.start) }

// kept returns how many must take calls before some of the full price are given back.
func (n need) kept() int { return max(int(math.Ceil(margin*float64(n.load))), n.start) }

// each returns how many reclaimable ones a data centre should have where so many of them
// have some to be had and others have none.
//
// They go evenly to all that have some, since any one may be taken back: what is left
// when lostCentres are gone in all, and one more at least, must be enough. What a data
// centre without any lacks stands in the others for a fraction of the full price. The
// last one left does not carry everything.
func (n need) each(open, dry int) int {
	left := open - max(1, lostCentres-dry)
	if open == 1 {
		left = lostCentres
	}
	return max(leastEach, ceilRatio(n.least(), max(1, left)))
}

func ceilRatio(a, b int) int { return (a + b - 1) / b }

// need returns how many upstreams there should be now.
func (s *Scaler) need(now time.Time, service *matcher.Service) need {
	n := need{load: s.measured(service)}
	if s.began.IsZero() || now.Sub(s.began) < settle {
		n.start = s.first
	}
	return n
}
