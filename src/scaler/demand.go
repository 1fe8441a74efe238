package scaler

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

// Demand follows the load of one service, whether or not upstreams are ordered for it. It is a state machine without a
// clock.
type Demand struct {
	scaler Scaler
}

// Spare takes the current load and returns how many of a number of upstreams it does not need: the others meet the
// objective that the plan is made for. Until the load has been measured for warmUp there are none. It reports false
// while there have been no calls, or no entry has reported any.
func (d *Demand) Spare(now time.Time, service *matcher.Service, load Load, upstreams int) (spare int, measured bool) {
	d.scaler.follow(now, load, nil)
	if d.scaler.firstCallAt.IsZero() {
		return 0, false
	}
	if now.Sub(d.scaler.firstCallAt) < warmUp {
		return 0, true
	}
	return max(0, upstreams-d.scaler.requiredByLoad(service)), true
}
