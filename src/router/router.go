package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/ejector"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/locator"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// silenceTimeout is how long after its last announcement an upstream still gets
	// new calls. It spans several announcement intervals.
	silenceTimeout = 1500 * time.Millisecond
	// scoreTolerance is the distance from the best score, in seconds, within which
	// candidates count as equal.
	scoreTolerance = 0.01
)

// Router picks among the usable upstreams of the current snapshot; its exported
// fields are set before use.
type Router struct {
	Snapshot *atomic.Pointer[indexer.Snapshot]
	// Entry seeds the choice of this entry's subset of the upstreams.
	Entry units.Instance
	// Index is the prefix cache index; it may be nil.
	Index *locator.Index
	// Now and Random default to time.Now and rand.Uint64.
	Now    func() time.Time
	Random func() uint64

	next    atomic.Uint64
	subsets atomic.Pointer[subsets]

	mu        sync.Mutex
	notices   map[units.DataCentre]*decayingValue
	pressures map[uint32]*decayingValue
	ejector   ejector.Ejector
}

// Pick returns the upstream for the next attempt, or nil if there is none. It relaxes
// the requirements on candidates step by step until one meets them.
func (r *Router) Pick(call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream {
	s := r.subsetOf(call.Service)
	if s == nil {
		return nil
	}
	return r.pickRelaxing(s, call, tried)
}

// PickRelease is Pick among the upstreams of one software version; gone reports that the service has only
// upstreams of other versions.
func (r *Router) PickRelease(call *dispatcher.Call, release units.Release, tried []units.Upstream) (upstream *tracker.Upstream, gone bool) {
	return r.pickOf(call, release, tried, func(*candidate) bool { return true })
}

// PickAgain is PickRelease among those upstreams that have run the call.
func (r *Router) PickAgain(call *dispatcher.Call, release units.Release, ran, tried []units.Upstream) (upstream *tracker.Upstream, gone bool) {
	return r.pickOf(call, release, tried, func(c *candidate) bool { return slices.Contains(ran, c.upstream.Name) })
}

// pickOf picks one of the upstreams of a software version that may be chosen; gone reports that the service has only
// upstreams of other versions.
func (r *Router) pickOf(call *dispatcher.Call, release units.Release, tried []units.Upstream, may func(c *candidate) bool) (upstream *tracker.Upstream, gone bool) {
	s := r.subsetOf(call.Service)
	if s == nil {
		return nil, false
	}
	chosen := &subset{service: s.service}
	gone = len(s.candidates) > 0
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.upstream.Release != release {
			continue
		}
		gone = false
		if may(c) {
			chosen.candidates = append(chosen.candidates, *c)
		}
	}
	return r.pickRelaxing(chosen, call, tried), gone
}

func (r *Router) pickRelaxing(s *subset, call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream {
	now := r.now()
	for _, required := range []eligibility{healthy, alive, untried} {
		if chosen := r.pick(s, call, tried, now, required); chosen != nil {
			return chosen
		}
	}
	return nil
}

func (r *Router) pick(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, required eligibility) *tracker.Upstream {
	switch call.Policy {
	case parser.RoundRobin:
		return r.roundRobin(s, call, tried, now, required)
	case parser.LeastLoaded:
		return leastLoaded(s, call, tried, now, required)
	case parser.PrefixCost:
	}
	return r.prefixCost(s, call, tried, now, required)
}

func (r *Router) roundRobin(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, required eligibility) *tracker.Upstream {
	count := uint64(len(s.candidates))
	if count == 0 {
		return nil
	}
	start := r.next.Add(1)
	for i := range count {
		c := &s.candidates[(start+i)%count]
		if c.isEligible(call, tried, now, required) {
			return c.upstream
		}
	}
	return nil
}

func leastLoaded(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, required eligibility) *tracker.Upstream {
	var best *tracker.Upstream
	lowest := int64(math.MaxInt64)
	for i := range s.candidates {
		c := &s.candidates[i]
		if load := c.upstream.Local.InFlight.Load(); load < lowest && c.isEligible(call, tried, now, required) {
			best = c.upstream
			lowest = load
		}
	}
	return best
}

// prefixCost returns the better of two random candidates whose costs are within
// scoreTolerance of the lowest. Without randomization, all entries that see the same
// loads would send to the same upstream.
func (r *Router) prefixCost(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, required eligibility) *tracker.Upstream {
	d := decision{
		call:          call,
		now:           now,
		targetSeconds: s.service.Target.FirstToken.Seconds(),
		// The minimum over all candidates, which score lowers.
		minPressure: 1,
	}
	if r.Index != nil {
		d.matchCount = r.Index.Find(now, call.BlockHashes, &d.matches)
	}
	var scores [subsetSize]float64
	best := math.Inf(1)
	for i := range s.candidates {
		scores[i] = math.Inf(1)
		if c := &s.candidates[i]; c.isEligible(call, tried, now, required) {
			scores[i] = d.score(c)
		}
	}
	s.discountRendezvous(&d, &scores)
	for _, score := range scores[:len(s.candidates)] {
		best = min(best, score)
	}
	if math.IsInf(best, 1) {
		return nil
	}
	s.explain(call, scores[:len(s.candidates)])
	chosen := r.betterOfTwo(scores[:len(s.candidates)], best+scoreTolerance)
	upstream := s.candidates[chosen].upstream
	if r.Index != nil {
		r.Index.Add(now, upstream.Local.ID, call.BlockHashes)
	}
	return upstream
}

// discountRendezvous lowers the score of the candidate that rendezvous hashing selects
// for the prompt, so that all entries agree on one engine where no engine has the prompt
// cached, and where all caches evict what is in use. Otherwise each entry would send a
// prompt to a different engine, which evicts another prompt there, until no call finds
// its prompt cached anywhere.
func (s *subset) discountRendezvous(d *decision, scores *[subsetSize]float64) {
	if d.matchCount > 0 && d.minPressure < maxTrustedPressure || len(d.call.BlockHashes) == 0 {
		return
	}
	preferred, highest := -1, uint64(0)
	for i := range s.candidates {
		hash := mixHashes(d.call.BlockHashes[0], s.candidates[i].hash)
		if hash >= highest && !math.IsInf(scores[i], 1) {
			preferred, highest = i, hash
		}
	}
	if preferred >= 0 {
		prefill := float64(d.call.PromptTokens) * s.candidates[preferred].secondsPerToken
		scores[preferred] -= rendezvousDiscount * prefill * (1 + rendezvousPressureWeight*d.minPressure)
	}
}

// betterOfTwo draws two random candidates whose score is at most limit and returns the
// index of the one with the lower score.
func (r *Router) betterOfTwo(scores []float64, limit float64) int {
	count := 0
	for _, score := range scores {
		if score <= limit {
			count++
		}
	}
	first := nthWithin(scores, limit, r.randomIndex(count))
	second := nthWithin(scores, limit, r.randomIndex(count))
	if scores[second] < scores[first] {
		return second
	}
	return first
}

func (r *Router) randomIndex(count int) int {
	random := r.Random
	if random == nil {
		random = rand.Uint64
	}
	return int(random() % uint64(count))
}

// nthWithin returns the index of the nth score that is at most limit.
func nthWithin(scores []float64, limit float64, n int) int {
	for i, score := range scores {
		if score > limit {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}

func (r *Router) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// eligibility is how strict the requirements on a candidate are. They are relaxed when
// no candidate meets them.
type eligibility int

const (
	// healthy excludes ejected and silent upstreams.
	healthy eligibility = iota
	// alive excludes silent upstreams only.
	alive
	// untried accepts every upstream that the call has not tried. When all are
	// silent, the fault may be that this entry receives no announcements.
	untried
)

// isEligible reports whether a candidate may get the call at the required strictness.
// Upstreams that were tried or do not serve the call's model never may.
func (c *candidate) isEligible(call *dispatcher.Call, tried []units.Upstream, now time.Time, required eligibility) bool {
	upstream := c.upstream
	if !servesModel(upstream, call.Model) || slices.Contains(tried, upstream.Name) {
		return false
	}
	if required <= healthy && upstream.Local.EjectedUntil.Load() > now.UnixNano() {
		return false
	}
	return required > alive || now.Sub(upstream.AnnouncedAt) < silenceTimeout
}

// servesModel reports whether an upstream serves the model that a call names, as its
// base model or as an adapter. A missing name on either side matches any model.
func servesModel(upstream *tracker.Upstream, model units.Model) bool {
	if upstream.Model == "" || model == "" || upstream.Model == model {
		return true
	}
	return slices.Contains(upstream.Adapters, string(model))
}
