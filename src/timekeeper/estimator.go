package timekeeper

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// readingExpiry is how long another instance's time of day counts, several poll
// intervals, so that a few lost polls take nobody out of the median.
const readingExpiry = 5 * time.Second

// Estimator agrees on the time of day by the median over many instances. A third
// of the instances may be off by seconds at once, and the median is not.
type Estimator struct {
	readings map[units.Instance]reading
}

type reading struct {
	at time.Time
	// offset is the other's time of day less this instance's Now.
	offset time.Duration
}

// Take notes another instance's time of day, which arrived at now.
func (e *Estimator) Take(now time.Time, from units.Instance, wall time.Time) {
	if e.readings == nil {
		e.readings = make(map[units.Instance]reading)
	}
	e.readings[from] = reading{
		at:     now,
		offset: wall.Sub(now),
	}
}

// TrueTime returns the time of day that at least half of the instances agree on;
// own is this instance's reading.
func (e *Estimator) TrueTime(now, own time.Time) time.Time {
	offsets := []time.Duration{own.Sub(now)}
	for from, r := range e.readings {
		if now.Sub(r.at) > readingExpiry {
			delete(e.readings, from)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return now.Add(offsets[(len(offsets)-1)/2])
}
