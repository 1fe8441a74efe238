package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosecroft/rosecroft/src/units"
)

// Split is the share of a service's calls that goes to upstreams of one version.
type Split struct {
	Target units.Release
	// Share is the fraction, from 0 to 1, of calls whose first attempt goes there.
	Share float64
	// TargetOnly is set when the other versions take no more calls.
	TargetOnly bool
	// Evaluated is set while the version is under evaluation, also when it takes no calls for the moment.
	Evaluated bool
}

// versionCandidates returns the upstreams of the version that an attempt is assigned to, and those
// that may get it where none of these accepts it.
//
// While a version is under evaluation, its share goes to only a few of its upstreams, so
// that each of them is as busy as with all calls: a version may fail under load only.
// Retries go to the other versions, which are known to be good.
func (p *Placer) versionCandidates(service units.Service, firstAttempt bool) (assigned, fallback []*Candidate) {
	all := p.Fleet()[service]
	if p.Split == nil {
		return all, nil
	}
	split, found := p.Split(service)
	if !found {
		return all, nil
	}
	var target, other []*Candidate
	for _, c := range all {
		if c.Release == split.Target {
			target = append(target, c)
		} else {
			other = append(other, c)
		}
	}
	switch {
	case split.TargetOnly:
		return target, nil
	case split.Share >= 1 && len(target) > 0:
		return target, other
	case firstAttempt && len(target) > 0 && p.random().Float64() < split.Share:
		slices.SortFunc(target, func(a, b *Candidate) int { return cmp.Compare(a.position, b.position) })
		return target[:int(math.Ceil(split.Share*float64(len(target))))], other
	}
	return other, nil
}

// releaseCandidates returns the upstreams of a software version that calls may go to; gone reports that only
// other versions take calls.
func (p *Placer) releaseCandidates(service units.Service, release units.Release) (same []*Candidate, gone bool) {
	all := p.Fleet()[service]
	if p.Split != nil {
		split, found := p.Split(service)
		if found && !split.allows(release) {
			return nil, release != split.Target || !split.Evaluated
		}
	}
	for _, c := range all {
		if c.Release == release {
			same = append(same, c)
		}
	}
	return same, len(same) == 0 && len(all) > 0
}

// allows reports whether calls may go to upstreams of a version now.
func (s Split) allows(release units.Release) bool {
	if release == s.Target {
		return s.TargetOnly || s.Share > 0
	}
	return !s.TargetOnly
}
