package timekeeper

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// readingExpiry is how long another instance's reading is used. It spans several poll
	// intervals, so that a few lost polls remove no instance from the median.
	readingExpiry = 5 * time.Second
	// medianTTL is how long a median is reused: clocks drift slowly, and computing the
	// median of hundreds of readings for each message would dominate the message's cost.
	medianTTL = 50 * time.Millisecond
)

// Estimator estimates the true time of day by the median over many instances. Even if
// a third of the instances are off by seconds at the same time, the median is not.
type Estimator struct {
	readings map[units.Instance]reading
	// median is the median of all offsets, own reading included, computed at medianComputedAt.
	median           time.Duration
	medianComputedAt time.Time
}

type reading struct {
	receivedAt time.Time
	// offset is the other instance's time of day minus this instance's Now.
	offset time.Duration
}

// Record records another instance's time of day, received at now.
func (e *Estimator) Record(now time.Time, from units.Instance, wall time.Time) {
	if e.readings == nil {
		e.readings = make(map[units.Instance]reading)
	}
	if _, known := e.readings[from]; !known {
		e.medianComputedAt = time.Time{}
	}
	e.readings[from] = reading{
		receivedAt: now,
		offset:     wall.Sub(now),
	}
}

// TrueTime returns the median time of day of all instances; own is this instance's reading.
func (e *Estimator) TrueTime(now, own time.Time) time.Time {
	if e.medianComputedAt.IsZero() || now.Sub(e.medianComputedAt) > medianTTL {
		e.median = e.medianOffset(now, own)
		e.medianComputedAt = now
	}
	return now.Add(e.median)
}

// medianOffset removes expired readings and returns the median offset of the others and
// own; of an even number of offsets it is the lower of the two middle ones.
func (e *Estimator) medianOffset(now, own time.Time) time.Duration {
	offsets := []time.Duration{own.Sub(now)}
	for from, r := range e.readings {
		if now.Sub(r.receivedAt) > readingExpiry {
			delete(e.readings, from)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
