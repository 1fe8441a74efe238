package rationer

import "time"

const (
	// defaultCallTime is how long a call is assumed to take while none was measured.
	defaultCallTime = 100 * time.Millisecond
	// rejectionFraction is the part of the rejections that an upstream survives at which its target
	// load is set, and minRejectionRate the rate for one that survives none.
	rejectionFraction = 0.3
	minRejectionRate  = 0.05
	// targetStep is the relative step in which a target is searched for.
	targetStep = 0.05
)

// targets caches target loads for the last parameters.
type targets struct {
	maxRejections float64
	callTime      time.Duration
	bySlots       map[int]float64
}

// of returns the mean number of calls at an upstream at which calls that arrive at random are rejected
// at an acceptable rate.
func (t *targets) of(slots int, maxRejections float64, callTime time.Duration) float64 {
	if callTime <= 0 {
		callTime = defaultCallTime
	}
	if t.bySlots == nil || t.maxRejections != maxRejections || t.callTime != callTime {
		*t = targets{
			maxRejections: maxRejections,
			callTime:      callTime,
			bySlots:       make(map[int]float64),
		}
	}
	load, known := t.bySlots[slots]
	if !known {
		load = targetLoad(slots, max(minRejectionRate, rejectionFraction*maxRejections), callTime)
		t.bySlots[slots] = load
	}
	return load
}

// targetLoad returns the highest mean load of an upstream without a queue at which calls are rejected
// at most at a rate, per second.
func targetLoad(slots int, maxRate float64, callTime time.Duration) float64 {
	load := float64(slots)
	for load > targetStep && load/callTime.Seconds()*blocking(slots, load) > maxRate {
		load *= 1 - targetStep
	}
	return load
}

// blocking returns the fraction of calls that find all slots in use, by Erlang's loss formula.
func blocking(slots int, load float64) float64 {
	fraction := 1.0
	for n := 1; n <= slots; n++ {
		fraction = load * fraction / (float64(n) + load*fraction)
	}
	return fraction
}
