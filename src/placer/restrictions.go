package placer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/evaluator"
	"github.com/rosecroft/rosecroft/src/units"
)

// Restrictions are the upstreams that get fewer calls because calls of all entries fail there. They are
// immutable once passed on.
type Restrictions struct {
	// Until is when they expire.
	Until   time.Time
	Weights map[units.IncarnationID]evaluator.Weight
}

// SetRestrictions replaces the restrictions; nil lifts all.
func (p *Placer) SetRestrictions(restrictions *Restrictions) { p.restrictions.Store(restrictions) }

// restrictionsAt returns the restrictions that apply, nil if there are none.
func (p *Placer) restrictionsAt(now time.Time) *Restrictions {
	r := p.restrictions.Load()
	if r == nil || !now.Before(r.Until) {
		return nil
	}
	return r
}

// weightOf returns the fraction of its calls that an upstream gets.
func (r *Restrictions) weightOf(id units.IncarnationID) evaluator.Weight {
	if r == nil {
		return 1
	}
	if weight, restricted := r.Weights[id]; restricted {
		return weight
	}
	return 1
}

// isPassedOver reports whether a call goes to other upstreams because this one has a lower weight.
func (p *Placer) isPassedOver(weight evaluator.Weight) bool {
	return weight <= 0 || weight < 1 && p.random().Float64() >= float64(weight)
}

// weightedUtilization returns an upstream's utilization as if it got all of its calls. By the few calls that a
// restricted upstream has, it would be the least busy one, and get several times its weight.
func (p *Placer) weightedUtilization(c *Candidate, utilization float64) float64 {
	if p.restrictions.Load() == nil {
		return utilization
	}
	weight := p.restrictionsAt(p.Now()).weightOf(c.incarnationID)
	if weight <= 0 || weight >= 1 {
		return utilization
	}
	return utilization / float64(weight)
}
