package router

import (
	"math"
	"sync"
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
	// baseHazard is the chance in a second that a reclaimable engine is taken in calm.
	baseHazard = 1.0 / 3600
)

// risk is what recent notices say of one data centre.
type risk struct {
	mu      sync.Mutex
	notices float64
	at      time.Time
}

// notice counts one notice.
func (k *risk) notice(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notices = k.decayed(now) + 1
	k.at = now
}

func (k *risk) decayed(now time.Time) float64 {
	if k.notices == 0 {
		return 0
	}
	return k.notices * math.Exp2(-now.Sub(k.at).Seconds()/waveHalfLife.Seconds())
}

// hazard returns the chance in a second that a reclaimable engine is taken.
func (k *risk) hazard(now time.Time) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(maxHazard, baseHazard+perNotice*k.decayed(now))
}

// riskOf returns the risk of a data centre.
func (r *Router) riskOf(dataCentre units.DataCentre) *risk {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.risks == nil {
		r.risks = make(map[units.DataCentre]*risk)
	}
	known := r.risks[dataCentre]
	if known == nil {
		known = &risk{}
		r.risks[dataCentre] = known
	}
	return known
}
