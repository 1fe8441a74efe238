package releaser

import (
	"math"
	"time"
)

// Exposure bounds the calls that a bad version may get: Ratio of all calls of the service until
// the time limit, plus Slack.
type Exposure struct {
	Ratio float64
	Slack float64
}

// usableExposure is the fraction of the bound that is used while a version is judged; calls in
// flight and entries that receive a lower share late need the rest.
const usableExposure = 0.8

// Progress describes a roll-out while its version is judged.
type Progress struct {
	// Elapsed is the time since the order, FullShareAfter the time from the order until all
	// calls go to the target, Limit the maximum duration of the roll-out.
	Elapsed        time.Duration
	FullShareAfter time.Duration
	Limit          time.Duration
	// TargetCalls is how many calls the target got, AllCalls how many the service got.
	TargetCalls float64
	AllCalls    float64
}

// Strategy sets the share of the calls while a version is judged.
type Strategy interface {
	Share(bound Exposure, progress Progress) float64
}

// Ladder raises the share in steps at fixed times.
type Ladder struct{}

// Share returns a quarter, a half and all of the usable exposure, for a third of the time each.
func (Ladder) Share(bound Exposure, progress Progress) float64 {
	step := min(2, math.Floor(3*progress.Elapsed.Seconds()/progress.FullShareAfter.Seconds()))
	return usableExposure * bound.Ratio * math.Pow(2, step-2)
}

const (
	// maxShare is the maximum share of a version while it is judged.
	maxShare = 0.25
	// initialCalls is how many calls go to the target as fast as maxShare allows: they reveal a
	// very bad version before it has had many.
	initialCalls = 24
	// minSpan is the minimum time over which the remaining calls are spread.
	minSpan = time.Second
)

// EvidenceBased gives the target its first calls at once, and then spreads what the bound will
// allow at the time limit over the time that is left to judge it.
type EvidenceBased struct{}

// Share returns the share that follows from the number of calls the target has had.
func (EvidenceBased) Share(bound Exposure, progress Progress) float64 {
	rate := progress.AllCalls / max(progress.Elapsed, minSpan).Seconds()
	left := usableExposure*(bound.Ratio*rate*progress.Limit.Seconds()+bound.Slack) - progress.TargetCalls
	if left <= 0 || rate <= 0 {
		return 0
	}
	if progress.TargetCalls < initialCalls {
		return maxShare
	}
	span := max(minSpan, progress.FullShareAfter-progress.Elapsed)
	return min(maxShare, left/(rate*span.Seconds()))
}
