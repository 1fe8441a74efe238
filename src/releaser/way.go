package releaser

import (
	"math"
	"time"
)

// Exposure bounds the calls that a bad version may get: Ratio of all calls of the service
// until the time limit, and Slack more.
type Exposure struct {
	Ratio float64
	Slack float64
}

// exposureUse is the part of the bound that is used while a version is judged; calls on
// their way and entries that hear late need the rest.
const exposureUse = 0.8

// Stage is where a roll-out stands while its version is judged.
type Stage struct {
	// Since is the time since the order, Until the time from it until all calls go to the
	// target, Limit the time that the roll-out may take.
	Since time.Duration
	Until time.Duration
	Limit time.Duration
	// Had is how many calls the target got, All how many the service got.
	Had float64
	All float64
}

// Way sets the share of the calls while a version is judged.
type Way interface {
	Share(bound Exposure, stage Stage) float64
}

// Ladder raises the share in fixed steps of the time.
type Ladder struct{}

// Share returns a quarter, a half and all of what may be used, a third of the time each.
func (Ladder) Share(bound Exposure, stage Stage) float64 {
	step := min(2, math.Floor(3*stage.Since.Seconds()/stage.Until.Seconds()))
	return exposureUse * bound.Ratio * math.Pow(2, step-2)
}

const (
	// mostShare is the most that a version gets while it is judged.
	mostShare = 0.25
	// soon is how many calls go to the target at once: they show a version that is very
	// bad before it has had many.
	soon = 24
	// leastSpan is the least time over which the calls left are spread.
	leastSpan = time.Second
)

// Evidence gives the target its first calls at once, and then spreads what the bound will
// allow at the time limit over the time that is left to judge it.
type Evidence struct{}

// Share returns the share by how many calls the target has had.
func (Evidence) Share(bound Exposure, stage Stage) float64 {
	rate := stage.All / max(stage.Since, leastSpan).Seconds()
	left := exposureUse*(bound.Ratio*rate*stage.Limit.Seconds()+bound.Slack) - stage.Had
	if left <= 0 || rate <= 0 {
		return 0
	}
	if stage.Had < soon {
		return mostShare
	}
	span := max(leastSpan, stage.Until-stage.Since)
	return min(mostShare, left/(rate*span.Seconds()))
}
