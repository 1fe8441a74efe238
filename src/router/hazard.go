package router

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// noticeHalfLife is the half-life of a data centre's count of reclaim notices.
	// Reclaims are correlated in time: after one engine of a data centre is
	// reclaimed, others are likely to follow soon.
	noticeHalfLife = 15 * time.Second
	// hazardPerNotice is what each recent notice adds to the probability per second
	// that another engine of the data centre is reclaimed.
	hazardPerNotice = 0.05
	maxHazard       = 0.5
	// maxNotices caps the count, which bounds how long many notices at once take
	// to decay.
	maxNotices = 40
	// baseHazard is the probability per second that a reclaimable engine is
	// reclaimed while there are no recent notices.
	baseHazard = 1.0 / 3600
)

// hazard returns the probability per second that a reclaimable engine is reclaimed,
// given the recent notices of its data centre.
func hazard(notices *decayingValue, now time.Time) float64 {
	return min(maxHazard, baseHazard+hazardPerNotice*notices.at(now))
}

// recentNotices returns the decaying count of a data centre's reclaim notices.
func (r *Router) recentNotices(dataCentre units.DataCentre) *decayingValue {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notices == nil {
		r.notices = make(map[units.DataCentre]*decayingValue)
	}
	count := r.notices[dataCentre]
	if count == nil {
		count = &decayingValue{
			halfLife: noticeHalfLife,
		}
		r.notices[dataCentre] = count
	}
	return count
}
