package router

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// subsetSize is how many upstreams of a service one entry uses at most, so
	// that its connections and decisions do not grow with all of them.
	subsetSize    = 32
	defaultStep   = 25 * time.Millisecond
	unknownTokens = 64
	unknownSlots  = 16
)

// subsets are the upstreams of one snapshot that this entry uses.
type subsets struct {
	snapshot *indexer.Snapshot

	mu       sync.Mutex
	services map[units.Service]*subset
}

// subset is one service's part, with what decisions need worked out beforehand.
type subset struct {
	service    *indexer.Service
	candidates []candidate
}

// candidate is one upstream as decisions see it; durations are in seconds.
type candidate struct {
	upstream *tracker.Upstream
	notices  *fading
	pressure *fading
	// weight places prompts that nobody has cached.
	weight uint64
	step   float64
	// perToken is the time to compute one prompt token.
	perToken float64
	slots    float64
	// price is the part of the service's highest price.
	price float64
}

// current returns the subsets of the newest snapshot.
func (r *Router) current() *subsets {
	snapshot := r.Snapshot.Load()
	known := r.subsets.Load()
	if known != nil && known.snapshot == snapshot {
		return known
	}
	next := &subsets{
		snapshot: snapshot,
		services: make(map[units.Service]*subset),
	}
	r.subsets.Store(next)
	return next
}

// of returns a service's subset, nil where the service is not known.
func (r *Router) of(name units.Service) *subset {
	all := r.current()
	if all.snapshot == nil {
		return nil
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	if known := all.services[name]; known != nil {
		return known
	}
	service, known := all.snapshot.Service(name)
	if !known {
		return nil
	}
	built := r.build(service)
	all.services[name] = built
	return built
}

func (r *Router) build(service *indexer.Service) *subset {
	s := &subset{
		service: service,
	}
	highest := units.Price(0)
	for _, upstream := range service.Usable {
		highest = max(highest, upstream.Price)
	}
	for _, upstream := range r.choose(service.Usable) {
		s.candidates = append(s.candidates, r.candidate(upstream, highest))
	}
	return s
}

// choose returns the upstreams that this entry uses: the same ones whoever asks,
// few of which change when one comes or goes.
func (r *Router) choose(usable []*tracker.Upstream) []*tracker.Upstream {
	if len(usable) <= subsetSize {
		return usable
	}
	type ranked struct {
		upstream *tracker.Upstream
		rank     uint64
	}
	all := make([]ranked, 0, len(usable))
	for _, upstream := range usable {
		all = append(all, ranked{
			upstream: upstream,
			rank:     mix(xxhash.Sum64String(string(r.Entry)), xxhash.Sum64String(string(upstream.Name))),
		})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	chosen := make([]*tracker.Upstream, 0, subsetSize)
	for _, one := range all[:subsetSize] {
		chosen = append(chosen, one.upstream)
	}
	return chosen
}

func (r *Router) candidate(upstream *tracker.Upstream, highest units.Price) candidate {
	step := upstream.Step
	if step <= 0 {
		step = defaultStep
	}
	perStep := upstream.PrefillPerStep
	if perStep <= 0 {
		perStep = unknownTokens
	}
	slots := upstream.Slots
	if slots <= 0 {
		slots = unknownSlots
	}
	c := candidate{
		upstream: upstream,
		notices:  r.noticesOf(upstream.DataCentre),
		pressure: r.pressureOf(upstream.Local.ID),
		weight:   xxhash.Sum64String(string(upstream.Name)),
		step:     step.Seconds(),
		perToken: step.Seconds() / float64(perStep),
		slots:    float64(slots),
	}
	if highest > 0 {
		c.price = float64(upstream.Price / highest)
	}
	return c
}

// mix hashes two hashes to one.
func mix(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
