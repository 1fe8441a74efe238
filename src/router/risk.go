package router

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// waveHalfLife is how fast the notices of a data centre lose their weight.
	// Reclaims come in waves: where one engine was taken, others follow soon.
	waveHalfLife = 15 * time.Second
	// perNotice is the chance in a second that a recent notice adds for others.
	perNotice = 0.05
	maxHazard = 0.5
	// maxNotices bounds how long a large wave is remembered.
	maxNotices = 40
	// baseHazard is the chance in a second that a reclaimable engine is taken in calm.
	baseHazard = 1.0 / 3600
)

// hazard returns the chance in a second that a reclaimable engine is taken, by
// the recent notices of its data centre.
func hazard(notices *fading, now time.Time) float64 {
	return min(maxHazard, baseHazard+perNotice*notices.at(now))
}

// noticesOf returns the recent notices of a data centre.
func (r *Router) noticesOf(dataCentre units.DataCentre) *fading {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notices == nil {
		r.notices = make(map[units.DataCentre]*fading)
	}
	known := r.notices[dataCentre]
	if known == nil {
		known = &fading{
			halfLife: waveHalfLife,
		}
		r.notices[dataCentre] = known
	}
	return known
}
