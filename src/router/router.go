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
	// silentAfter is how long an upstream may be silent and still get new work,
	// several announcements.
	silentAfter = 1500 * time.Millisecond
	// nearBest is how many seconds from the best score count as equal.
	nearBest = 0.01
)

// Router picks among the usable upstreams of the current snapshot; its exported
// fields are set before use.
type Router struct {
	Snapshot *atomic.Pointer[indexer.Snapshot]
	// Entry places this entry's subset among all.
	Entry units.Instance
	// Index may be nil.
	Index *locator.Index
	// Now and Random may be nil, for the clock and the shared source.
	Now    func() time.Time
	Random func() uint64

	next    atomic.Uint64
	subsets atomic.Pointer[subsets]

	mu        sync.Mutex
	notices   map[units.DataCentre]*fading
	pressures map[uint32]*fading
	ejector   ejector.Ejector
}

// Pick returns the upstream for the next attempt, or nil for none.
func (r *Router) Pick(call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream {
	s := r.of(call.Service)
	if s == nil {
		return nil
	}
	now := r.now()
	for _, how := range []fitness{healthy, alive, untried} {
		if chosen := r.pick(s, call, tried, now, how); chosen != nil {
			return chosen
		}
	}
	return nil
}

func (r *Router) pick(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, how fitness) *tracker.Upstream {
	switch call.Policy {
	case parser.RoundRobin:
		return r.roundRobin(s, call, tried, now, how)
	case parser.LeastLoaded:
		return leastLoaded(s, call, tried, now, how)
	case parser.PrefixCost:
	}
	return r.prefixCost(s, call, tried, now, how)
}

func (r *Router) roundRobin(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, how fitness) *tracker.Upstream {
	count := uint64(len(s.candidates))
	if count == 0 {
		return nil
	}
	start := r.next.Add(1)
	for i := range count {
		c := &s.candidates[(start+i)%count]
		if c.fit(call, tried, now, how) {
			return c.upstream
		}
	}
	return nil
}

func leastLoaded(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, how fitness) *tracker.Upstream {
	var best *tracker.Upstream
	least := int64(math.MaxInt64)
	for i := range s.candidates {
		c := &s.candidates[i]
		if load := c.upstream.Local.InFlight.Load(); load < least && c.fit(call, tried, now, how) {
			best = c.upstream
			least = load
		}
	}
	return best
}

// prefixCost returns the better of two random candidates among those whose cost
// is nearly the lowest: entries that see the same loads would otherwise all
// send to the same one.
func (r *Router) prefixCost(s *subset, call *dispatcher.Call, tried []units.Upstream, now time.Time, how fitness) *tracker.Upstream {
	d := decision{
		call:   call,
		now:    now,
		target: s.service.Target.FirstToken.Seconds(),
		// The least of all candidates, which score lowers.
		pressure: 1,
	}
	if r.Index != nil {
		d.found = r.Index.Find(now, call.Blocks, &d.matches)
	}
	var scores [subsetSize]float64
	best := math.Inf(1)
	for i := range s.candidates {
		scores[i] = math.Inf(1)
		if c := &s.candidates[i]; c.fit(call, tried, now, how) {
			scores[i] = d.score(c)
		}
	}
	s.place(&d, &scores)
	for _, score := range scores[:len(s.candidates)] {
		best = min(best, score)
	}
	if math.IsInf(best, 1) {
		return nil
	}
	s.explain(call, scores[:len(s.candidates)])
	chosen := r.oneOfTwo(scores[:len(s.candidates)], best+nearBest)
	upstream := s.candidates[chosen].upstream
	if r.Index != nil {
		r.Index.Add(now, upstream.Local.ID, call.Blocks)
	}
	return upstream
}

// place makes entries agree on where a prompt goes that nobody has cached, and
// where all caches give up what is in use. Each entry would otherwise bring every
// prompt to another engine, which evicts one more there, until no call finds its
// prompt cached anywhere.
func (s *subset) place(d *decision, scores *[subsetSize]float64) {
	if d.found > 0 && d.pressure < settledPressure || len(d.call.Blocks) == 0 {
		return
	}
	place, highest := -1, uint64(0)
	for i := range s.candidates {
		weight := mix(d.call.Blocks[0], s.candidates[i].weight)
		if weight >= highest && !math.IsInf(scores[i], 1) {
			place, highest = i, weight
		}
	}
	if place >= 0 {
		work := float64(d.call.Prompt) * s.candidates[place].perToken
		scores[place] -= placeShare * work * (1 + placeWeight*d.pressure)
	}
}

// oneOfTwo draws two of the candidates whose score is at most limit and returns the lower one's index.
func (r *Router) oneOfTwo(scores []float64, limit float64) int {
	near := 0
	for _, score := range scores {
		if score <= limit {
			near++
		}
	}
	first := nth(scores, limit, r.draw(near))
	second := nth(scores, limit, r.draw(near))
	if scores[second] < scores[first] {
		return second
	}
	return first
}

func (r *Router) draw(count int) int {
	random := r.Random
	if random == nil {
		random = rand.Uint64
	}
	return int(random() % uint64(count))
}

// nth returns the index of the nth score that is at most limit.
func nth(scores []float64, limit float64, n int) int {
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

// fitness is how much is asked of a candidate; less is asked where nobody fits.
type fitness int

const (
	// healthy leaves out ejected and silent upstreams.
	healthy fitness = iota
	// alive leaves out silent ones.
	alive
	// untried takes all that the call has not been at; where all are silent it
	// may be this entry that heard nothing.
	untried
)

// fit reports whether a candidate may get the call.
func (c *candidate) fit(call *dispatcher.Call, tried []units.Upstream, now time.Time, how fitness) bool {
	upstream := c.upstream
	if !serves(upstream, call.Model) || slices.Contains(tried, upstream.Name) {
		return false
	}
	if how <= healthy && upstream.Local.EjectedUntil.Load() > now.UnixNano() {
		return false
	}
	return how > alive || now.Sub(upstream.AnnouncedAt) < silentAfter
}

// serves reports whether an upstream has the model that a call names, as its
// model or as an adapter.
func serves(upstream *tracker.Upstream, model units.Model) bool {
	if upstream.Model == "" || model == "" || upstream.Model == model {
		return true
	}
	return slices.Contains(upstream.Adapters, string(model))
}
