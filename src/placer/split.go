package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosecroft/rosecroft/src/units"
)

// Split says which part of a service's calls goes to upstreams of a version.
type Split struct {
	Target units.Release
	// Share is the part of the calls, from 0 to 1, that go there first.
	Share float64
	// Only says that the other versions take no calls any more.
	Only bool
}

// version returns the upstreams that an attempt is drawn for.
//
// While a version is judged, few of its upstreams get its share, so that each of them is as
// busy as with all calls: a version may be bad under load alone. Further attempts go to the
// other versions, which are known to be good.
func (p *Placer) version(service units.Service, first bool) []*Candidate {
	all := p.Fleet()[service]
	if p.Split == nil {
		return all
	}
	split, found := p.Split(service)
	if !found {
		return all
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
	case split.Only:
		return target
	case split.Share >= 1 && len(target) > 0:
		return target
	case first && len(target) > 0 && p.random().Float64() < split.Share:
		slices.SortFunc(target, func(a, b *Candidate) int { return cmp.Compare(a.place, b.place) })
		return target[:int(math.Ceil(split.Share*float64(len(target))))]
	}
	return other
}
