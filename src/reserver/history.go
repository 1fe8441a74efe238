package reserver

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// HistoryPeriod is how long a reclaim is remembered.
	HistoryPeriod = 10 * time.Minute
	// MaxReclaims is how many reclaims of a service are remembered.
	MaxReclaims = 64
	// priorPeriod is the time between two reclaims that is expected before any observation. The expectation weighs as
	// much as an observation of that length.
	priorPeriod = time.Minute
	// priorUnavailable is the time without reclaimable upstreams to order that is expected before any observation. It
	// weighs as much as one reclaim.
	priorUnavailable = 10 * time.Second
	// maxUnavailable bounds the time without reclaimable upstreams to order: an order that is accepted later after a
	// reclaim does not show when they came back.
	maxUnavailable = time.Minute
	// minUnavailable is recorded where the order that was placed at the reclaim's observation was accepted, since 0 means
	// that the time is not known.
	minUnavailable = time.Millisecond
	// maxClockStep is how far in the future a time of the history may be. The estimate of the true time may step back by
	// a little; more is the clock of an earlier leader that was ahead.
	maxClockStep = time.Second
)

// Reclaim is the loss of a data centre's reclaimable upstreams of one service.
type Reclaim struct {
	DataCentre units.DataCentre
	At         time.Time
	Upstreams  int
	// Unavailable is how long the platform then had none to order there, 0 while that is not known.
	Unavailable time.Duration
}

// History is what has been observed of a service's reclaims.
type History struct {
	// Reclaims are the latest ones, oldest first.
	Reclaims []Reclaim
	// ObservedSince is when the observation began.
	ObservedSince time.Time
}

// trimmed returns the history without the reclaims that are too old or too many. Those in the future are taken for
// present, so that a leader whose clock was ahead does not decide for the time until then.
func (h History) trimmed(now time.Time) History {
	first := max(0, len(h.Reclaims)-MaxReclaims)
	for first < len(h.Reclaims) && now.Sub(h.Reclaims[first].At) > HistoryPeriod {
		first++
	}
	h.Reclaims = h.Reclaims[first:]
	ahead := func(r Reclaim) bool { return r.At.Sub(now) > maxClockStep }
	if slices.ContainsFunc(h.Reclaims, ahead) {
		h.Reclaims = slices.Clone(h.Reclaims)
		for i := range h.Reclaims {
			if ahead(h.Reclaims[i]) {
				h.Reclaims[i].At = now
			}
		}
	}
	return h
}

// until returns the history as it was right after its reclaim i.
func (h History) until(i int) History {
	h.Reclaims = h.Reclaims[:i+1]
	return h
}

// rate returns the expected number of reclaims per second.
//
// Reclaims come in bursts, which an average over ten minutes would hide. The rate is the largest of the averages
// over the whole observation and over the time since each reclaim, each together with the prior.
func (h History) rate(now time.Time) float64 {
	observed := time.Duration(0)
	if !h.ObservedSince.IsZero() {
		observed = min(HistoryPeriod, max(0, now.Sub(h.ObservedSince)))
	}
	rate := averageRate(len(h.Reclaims), observed)
	for i, reclaim := range h.Reclaims {
		rate = max(rate, averageRate(len(h.Reclaims)-i, max(0, now.Sub(reclaim.At))))
	}
	return rate
}

func averageRate(reclaims int, observed time.Duration) float64 {
	return float64(1+reclaims) / (priorPeriod + observed).Seconds()
}

// expectedUnavailable returns the expected time after a reclaim in which there are none to order.
func (h History) expectedUnavailable() time.Duration {
	sum, count := priorUnavailable, 1
	for _, reclaim := range h.Reclaims {
		if reclaim.Unavailable > 0 {
			sum += reclaim.Unavailable
			count++
		}
	}
	return sum / time.Duration(count)
}

// lastAt returns when the last reclaim was, the zero time if there was none.
func (h History) lastAt() time.Time {
	if len(h.Reclaims) == 0 {
		return time.Time{}
	}
	return h.Reclaims[len(h.Reclaims)-1].At
}
