package timekeeper

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// readingExpiry is how long another instance's time of day counts, several poll
	// intervals, so that a few lost polls take nobody out of the median.
	readingExpiry = 5 * time.Second
	// medianAge is how long a median is used again: clocks drift slowly, and the median
	// of hundreds at each message would be most of what it costs.
	medianAge = 50 * time.Millisecond
)

// Estimator agrees on the time of day by the median over many instances. A third
// of the instances may be off by seconds at once, and the median is not.
type Estimator struct {
	readings map[units.Instance]reading
	// median is the offset that was agreed on at medianAt, own reading included.
	median   time.Duration
	medianAt time.Time
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
	if _, known := e.readings[from]; !known {
		e.medianAt = time.Time{}
	}
	e.readings[from] = reading{
		at:     now,
		offset: wall.Sub(now),
	}
}

// TrueTime returns the time of day that at least half of the instances agree on;
// own is this instance's reading.
func (e *Estimator) TrueTime(now, own time.Time) time.Time {
	if e.medianAt.IsZero() || now.Sub(e.medianAt) > medianAge {
		e.median = e.agree(now, own)
		e.medianAt = now
	}
	return now.Add(e.median)
}

// agree returns the offset that at least half of the instances agree on.
func (e *Estimator) agree(now, own time.Time) time.Duration {
	offsets := []time.Duration{own.Sub(now)}
	for from, r := range e.readings {
		if now.Sub(r.at) > readingExpiry {
			delete(e.readings, from)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
