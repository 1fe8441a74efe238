package releaser

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// sums is what all entries have seen together.
type sums struct {
	target Sample
	other  Sample
	routes map[Route]*routeSums
	places map[Place]bool
}

type routeSums struct {
	target Sample
	other  Sample
	places map[Place]*Sample
}

func newSums() *sums {
	return &sums{
		routes: make(map[Route]*routeSums),
		places: make(map[Place]bool),
	}
}

func (s *sums) add(f *Figures, sign float64) {
	r := s.routes[f.Route]
	if r == nil {
		r = &routeSums{places: make(map[Place]*Sample)}
		s.routes[f.Route] = r
	}
	if f.Place == 0 {
		s.other.join(&f.Sample, sign)
		r.other.join(&f.Sample, sign)
		return
	}
	s.target.join(&f.Sample, sign)
	r.target.join(&f.Sample, sign)
	if r.places[f.Place] == nil {
		r.places[f.Place] = &Sample{}
	}
	r.places[f.Place].join(&f.Sample, sign)
	s.places[f.Place] = true
}

// since returns what was seen after earlier sums were taken.
func (s *sums) since(earlier *sums) *sums {
	d := newSums()
	for _, part := range []struct {
		of   *sums
		sign float64
	}{{of: s, sign: 1}, {of: earlier, sign: -1}} {
		for route, r := range part.of.routes {
			d.add(&Figures{
				Route:  route,
				Sample: r.other,
			}, part.sign)
			for place, sample := range r.places {
				d.add(&Figures{
					Place:  place,
					Route:  route,
					Sample: *sample,
				}, part.sign)
			}
		}
	}
	return d
}

// compareWith takes what was seen of the other version from other sums.
func (s *sums) compareWith(o *sums) {
	s.other = o.other
	for route, r := range s.routes {
		if from := o.routes[route]; from != nil {
			r.other = from.other
		}
	}
}

// without returns the sums without some upstreams of the target.
func (s *sums) without(places []Place) *sums {
	w := newSums()
	for route, r := range s.routes {
		rest := &routeSums{
			target: r.target,
			other:  r.other,
		}
		for _, place := range places {
			if sample := r.places[place]; sample != nil {
				rest.target.join(sample, -1)
				w.target.join(sample, -1)
			}
		}
		w.routes[route] = rest
	}
	w.target.join(&s.target, 1)
	w.other = s.other
	return w
}

// verdict returns why the target is worse, "" where that is not shown. It must be shown
// without the worst of its upstreams too: these may be broken, and not their version.
func (s *sums) verdict() string {
	reason := s.worse()
	if reason == "" || len(s.places) < outvoted {
		return reason
	}
	worst := s.byTrouble()[:int(math.Ceil(trimmed*float64(len(s.places))))]
	return s.without(worst).worse()
}

// byTrouble returns the target's upstreams, the one that fails most and takes longest first.
func (s *sums) byTrouble() []Place {
	trouble := make(map[Place]float64, len(s.places))
	for place := range s.places {
		all := Sample{}
		for _, r := range s.routes {
			if sample := r.places[place]; sample != nil {
				all.join(sample, 1)
			}
		}
		trouble[place] = all.trouble()
	}
	return slices.SortedFunc(maps.Keys(trouble), func(a, b Place) int {
		return cmp.Or(cmp.Compare(trouble[b], trouble[a]), cmp.Compare(a, b))
	})
}

// failureWeight makes an upstream that fails a third of its calls count as one that takes
// some times as long.
const failureWeight = 5

// trouble ranks upstreams of one version among each other.
func (s *Sample) trouble() float64 {
	trouble := failureWeight * s.Failures / max(1, s.Answers)
	if s.First.Count > 0 {
		trouble += s.First.mean()
	}
	if s.Pace.Count > 0 {
		trouble += s.Pace.mean()
	}
	return trouble
}

// worse returns why the target is worse on one route, or on all of them together.
func (s *sums) worse() string {
	var together [len(excess)]float64
	for _, name := range slices.Sorted(maps.Keys(s.routes)) {
		r := s.routes[name]
		if reason := worse(&r.target, &r.other); reason != "" {
			return fmt.Sprintf("route %s: %s", name, reason)
		}
		for i, evidence := range failureEvidence(&r.target, &r.other) {
			together[i] += evidence
		}
	}
	if slices.Max(together[:]) > -math.Log(falseAlarm) {
		return fmt.Sprintf("%.0f of %.0f answers failed", s.target.Failures, s.target.Answers)
	}
	return ""
}
