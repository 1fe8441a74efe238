package router

import (
	"math"
	"sync/atomic"
	"time"
)

// fading is a value that halves in each half-life; decisions read it without a lock.
type fading struct {
	halfLife time.Duration
	current  atomic.Pointer[reading]
}

type reading struct {
	value float64
	at    time.Time
}

// add raises the value, to most at the highest.
func (f *fading) add(now time.Time, amount, most float64) {
	for {
		known := f.current.Load()
		next := &reading{
			value: min(most, f.at(now)+amount),
			at:    now,
		}
		if f.current.CompareAndSwap(known, next) {
			return
		}
	}
}

// at returns the value now.
func (f *fading) at(now time.Time) float64 {
	known := f.current.Load()
	if known == nil {
		return 0
	}
	return known.value * math.Exp2(-now.Sub(known.at).Seconds()/f.halfLife.Seconds())
}
