package releaser

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// aggregate is the sum of all entries' measurements.
type aggregate struct {
	target    Sample
	other     Sample
	routes    map[Route]*routeAggregate
	upstreams map[UpstreamHash]bool
}

type routeAggregate struct {
	target    Sample
	other     Sample
	upstreams map[UpstreamHash]*Sample
}

func newAggregate() *aggregate {
	return &aggregate{
		routes:    make(map[Route]*routeAggregate),
		upstreams: make(map[UpstreamHash]bool),
	}
}

func (ag *aggregate) add(f *Figures, sign float64) {
	r := ag.routes[f.Route]
	if r == nil {
		r = &routeAggregate{upstreams: make(map[UpstreamHash]*Sample)}
		ag.routes[f.Route] = r
	}
	if f.UpstreamHash == 0 {
		ag.other.accumulate(&f.Sample, sign)
		r.other.accumulate(&f.Sample, sign)
		return
	}
	ag.target.accumulate(&f.Sample, sign)
	r.target.accumulate(&f.Sample, sign)
	if r.upstreams[f.UpstreamHash] == nil {
		r.upstreams[f.UpstreamHash] = &Sample{}
	}
	r.upstreams[f.UpstreamHash].accumulate(&f.Sample, sign)
	ag.upstreams[f.UpstreamHash] = true
}

// since returns the measurements after an earlier aggregate was taken.
func (ag *aggregate) since(earlier *aggregate) *aggregate {
	d := newAggregate()
	for _, operand := range []struct {
		of   *aggregate
		sign float64
	}{{of: ag, sign: 1}, {of: earlier, sign: -1}} {
		for route, r := range operand.of.routes {
			d.add(&Figures{
				Route:  route,
				Sample: r.other,
			}, operand.sign)
			for upstream, sample := range r.upstreams {
				d.add(&Figures{
					UpstreamHash: upstream,
					Route:        route,
					Sample:       *sample,
				}, operand.sign)
			}
		}
	}
	return d
}

// useBaselineOf takes the other version's measurements from another aggregate.
func (ag *aggregate) useBaselineOf(o *aggregate) {
	ag.other = o.other
	for route, r := range ag.routes {
		if from := o.routes[route]; from != nil {
			r.other = from.other
		}
	}
}

// without returns the aggregate without some upstreams of the target.
func (ag *aggregate) without(upstreams []UpstreamHash) *aggregate {
	w := newAggregate()
	for route, r := range ag.routes {
		rest := &routeAggregate{
			target: r.target,
			other:  r.other,
		}
		for _, upstream := range upstreams {
			if sample := r.upstreams[upstream]; sample != nil {
				rest.target.accumulate(sample, -1)
				w.target.accumulate(sample, -1)
			}
		}
		w.routes[route] = rest
	}
	w.target.accumulate(&ag.target, 1)
	w.other = ag.other
	return w
}

// verdict returns why the target is worse, "" if that is not shown. It must also be shown
// without the worst of its upstreams: these may be faulty themselves, and not their version.
func (ag *aggregate) verdict() string {
	reason := ag.regression()
	if reason == "" || len(ag.upstreams) < minUpstreamsToTrim {
		return reason
	}
	worst := ag.byBadness()[:int(math.Ceil(trimmedFraction*float64(len(ag.upstreams))))]
	return ag.without(worst).regression()
}

// byBadness returns the target's upstreams, ordered by failure rate and latency with the worst
// first.
func (ag *aggregate) byBadness() []UpstreamHash {
	badness := make(map[UpstreamHash]float64, len(ag.upstreams))
	for upstream := range ag.upstreams {
		total := ag.upstreamTotal(upstream)
		badness[upstream] = total.badness()
	}
	return slices.SortedFunc(maps.Keys(badness), func(a, b UpstreamHash) int {
		return cmp.Or(cmp.Compare(badness[b], badness[a]), cmp.Compare(a, b))
	})
}

// upstreamTotal returns the measurements of one of the target's upstreams over all routes.
func (ag *aggregate) upstreamTotal(upstream UpstreamHash) Sample {
	total := Sample{}
	for _, r := range ag.routes {
		if sample := r.upstreams[upstream]; sample != nil {
			total.accumulate(sample, 1)
		}
	}
	return total
}

// failureWeight makes an upstream that fails a third of its calls rank like one that takes
// several times as long.
const failureWeight = 5

// badness ranks upstreams of one version among each other.
func (s *Sample) badness() float64 {
	badness := failureWeight * s.Failures / max(1, s.Answers)
	if s.FirstByte.Count > 0 {
		badness += s.FirstByte.mean()
	}
	if s.EventInterval.Count > 0 {
		badness += s.EventInterval.mean()
	}
	return badness
}

// regression returns why the target is worse on one route, or on all of them combined.
func (ag *aggregate) regression() string {
	var combined [len(excessFailureRates)]float64
	for _, name := range slices.Sorted(maps.Keys(ag.routes)) {
		r := ag.routes[name]
		if reason := regression(&r.target, &r.other); reason != "" {
			return fmt.Sprintf("route %s: %s", name, reason)
		}
		for i, ratio := range logLikelihoodRatios(&r.target, &r.other) {
			combined[i] += ratio
		}
	}
	if slices.Max(combined[:]) > -math.Log(falsePositiveRate) {
		return fmt.Sprintf("%.0f of %.0f answers failed", ag.target.Failures, ag.target.Answers)
	}
	return ""
}
