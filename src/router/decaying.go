package router

import (
	"math"
	"sync/atomic"
	"time"
)

// decayingValue is a value that halves every half-life. It is read without a lock.
type decayingValue struct {
	halfLife time.Duration
	current  atomic.Pointer[sample]
}

type sample struct {
	value float64
	at    time.Time
}

// add raises the value by amount, up to limit.
func (d *decayingValue) add(now time.Time, amount, limit float64) {
	for {
		last := d.current.Load()
		next := &sample{
			value: min(limit, d.at(now)+amount),
			at:    now,
		}
		if d.current.CompareAndSwap(last, next) {
			return
		}
	}
}

// at returns the value decayed to now.
func (d *decayingValue) at(now time.Time) float64 {
	last := d.current.Load()
	if last == nil {
		return 0
	}
	return last.value * math.Exp2(-now.Sub(last.at).Seconds()/d.halfLife.Seconds())
}
