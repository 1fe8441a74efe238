package pacer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// margin is by how much a call must have been sent after the last answer with a limit, so
	// that one to it without a limit withdraws the limit. Answers overtake each other, and
	// polls tell their age by no more than the time that they take.
	margin = 500 * time.Millisecond
	// permitTime is how long a permit may be used.
	permitTime = time.Second
	// leastRate is what an upstream gets that takes less, so that it can say that it takes
	// more.
	leastRate units.CallRate = 0.2
)

// Observation is what an answer of an upstream says of how many calls it takes.
type Observation struct {
	Life units.Life
	// Stated is false where it takes as many as come.
	Stated bool
	Rate   units.CallRate
	// AnsweredAt is when the answer came, SentAt when its call was sent.
	AnsweredAt time.Time
	SentAt     time.Time
}

// withdraws reports whether an answer without a limit shows that the one of an earlier answer
// holds no more. An answer that was begun before the upstream was in need may come later than
// one that states its limit.
func (o Observation) withdraws(statedAt time.Time) bool {
	return !o.Stated && o.SentAt.After(statedAt.Add(margin))
}

// paceOf returns the calls a second that may go to an upstream with a limit.
func paceOf(limit units.CallRate) float64 { return float64(max(limit, leastRate)) }
