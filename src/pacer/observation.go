package pacer

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// withdrawMargin is how long after the last response with a limit a call must have been sent
	// for its response without a limit to withdraw that limit. Responses overtake each other, and
	// the ages that polls report are accurate only to within the poll's own duration.
	withdrawMargin = 500 * time.Millisecond
	// permitTTL is how long a permit may be used.
	permitTTL = time.Second
	// minRate is the rate for an upstream that states a lower limit, so that it can state a
	// higher one in a response.
	minRate units.CallRate = 0.2
	// maxRate is the rate for an upstream that states a higher limit; what accrues has to fit an int.
	maxRate units.CallRate = 1e6
)

// Observation is what an upstream's response states about its call rate.
type Observation struct {
	IncarnationID units.IncarnationID
	// HasLimit is false where the upstream takes calls without limit.
	HasLimit bool
	Rate     units.CallRate
	// AnsweredAt is when the response arrived, SentAt when its call was sent.
	AnsweredAt time.Time
	SentAt     time.Time
}

// withdrawsLimit reports whether a response without a limit shows that the limit of an earlier
// response no longer holds. The response to a call sent before the upstream was overloaded may
// arrive after one that states its limit.
func (o Observation) withdrawsLimit(statedAt time.Time) bool {
	return !o.HasLimit && o.SentAt.After(statedAt.Add(withdrawMargin))
}

// effectiveRate returns the calls per second that may go to an upstream with a limit.
func effectiveRate(limit units.CallRate) float64 {
	if math.IsNaN(float64(limit)) {
		limit = minRate
	}
	return float64(min(max(limit, minRate), maxRate))
}
