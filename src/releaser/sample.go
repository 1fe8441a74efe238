package releaser

import (
	"math"
	"time"
)

// Moments are the count, the sum and the sum of squares of some values.
type Moments struct {
	Count   float64
	Sum     float64
	Squares float64
}

// Add records one value.
func (m *Moments) Add(value float64) {
	m.Count++
	m.Sum += value
	m.Squares += value * value
}

func (m *Moments) accumulate(o Moments, sign float64) {
	m.Count += sign * o.Count
	m.Sum += sign * o.Sum
	m.Squares += sign * o.Squares
}

func (m Moments) mean() float64 { return m.Sum / m.Count }

// varianceOfMean returns the squared standard error of the mean.
func (m Moments) varianceOfMean() float64 {
	variance := max(0, m.Squares/m.Count-m.mean()*m.mean())
	return variance / m.Count
}

// Sample holds the measurements of a version's answers on one route.
type Sample struct {
	Answers  float64
	Failures float64
	// FirstByte holds the logarithms of the seconds to the first byte, EventInterval those of the mean
	// seconds from one event to the next.
	FirstByte     Moments
	EventInterval Moments
	// Running is the number of calls in flight.
	Running float64
}

// RecordAnswer records one answer; an eventInterval of 0 means an answer without events.
func (s *Sample) RecordAnswer(failed bool, first, eventInterval time.Duration) {
	s.Answers++
	if failed {
		s.Failures++
		return
	}
	if first > 0 {
		s.FirstByte.Add(math.Log(first.Seconds()))
	}
	if eventInterval > 0 {
		s.EventInterval.Add(math.Log(eventInterval.Seconds()))
	}
}

func (s *Sample) accumulate(o *Sample, sign float64) {
	s.Answers += sign * o.Answers
	s.Failures += sign * o.Failures
	s.FirstByte.accumulate(o.FirstByte, sign)
	s.EventInterval.accumulate(o.EventInterval, sign)
	s.Running += sign * o.Running
}
