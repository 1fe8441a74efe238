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
	// subsetSize is the maximum number of upstreams of a service that one entry
	// uses, so that its connections and the cost of a decision do not grow with
	// the number of upstreams.
	subsetSize            = 32
	defaultStep           = 25 * time.Millisecond
	defaultPrefillPerStep = 64
	defaultSlots          = 16
)

// subsets holds the upstreams of one snapshot that this entry uses, by service.
type subsets struct {
	snapshot *indexer.Snapshot

	mu       sync.Mutex
	services map[units.Service]*subset
}

// subset holds the upstreams of one service that this entry uses, with the values that
// decisions need precomputed.
type subset struct {
	service    *indexer.Service
	candidates []candidate
}

// candidate is one upstream with the values that decisions need.
type candidate struct {
	upstream *tracker.Upstream
	notices  *decayingValue
	pressure *decayingValue
	// hash is the upstream's rendezvous hash, which assigns prompts that no
	// engine has cached.
	hash uint64
	// step is the engine's step time in seconds.
	step float64
	// secondsPerToken is the time to prefill one prompt token.
	secondsPerToken float64
	slots           float64
	// relativePrice is a fraction of the service's highest price.
	relativePrice float64
}

// currentSubsets returns the subsets of the current snapshot, empty ones if the snapshot
// has changed.
func (r *Router) currentSubsets() *subsets {
	snapshot := r.Snapshot.Load()
	existing := r.subsets.Load()
	if existing != nil && existing.snapshot == snapshot {
		return existing
	}
	next := &subsets{
		snapshot: snapshot,
		services: make(map[units.Service]*subset),
	}
	r.subsets.Store(next)
	return next
}

// subsetOf returns a service's subset, built on first use, or nil if the service is
// unknown.
func (r *Router) subsetOf(name units.Service) *subset {
	all := r.currentSubsets()
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
	built := r.newSubset(service)
	all.services[name] = built
	return built
}

func (r *Router) newSubset(service *indexer.Service) *subset {
	s := &subset{
		service: service,
	}
	maxPrice := units.Price(0)
	for _, upstream := range service.UsableUpstreams {
		maxPrice = max(maxPrice, upstream.Price)
	}
	for _, upstream := range r.selectUpstreams(service.UsableUpstreams) {
		s.candidates = append(s.candidates, r.newCandidate(upstream, maxPrice))
	}
	return s
}

// selectUpstreams returns the upstreams that this entry uses, by rendezvous hashing: the
// selection depends only on the names, and changes little when one upstream is added or
// removed.
func (r *Router) selectUpstreams(usable []*tracker.Upstream) []*tracker.Upstream {
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
			rank:     mixHashes(xxhash.Sum64String(string(r.Entry)), xxhash.Sum64String(string(upstream.Name))),
		})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	chosen := make([]*tracker.Upstream, 0, subsetSize)
	for _, top := range all[:subsetSize] {
		chosen = append(chosen, top.upstream)
	}
	return chosen
}

func (r *Router) newCandidate(upstream *tracker.Upstream, maxPrice units.Price) candidate {
	step := upstream.Step
	if step <= 0 {
		step = defaultStep
	}
	perStep := upstream.PrefillPerStep
	if perStep <= 0 {
		perStep = defaultPrefillPerStep
	}
	slots := upstream.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	c := candidate{
		upstream:        upstream,
		notices:         r.recentNotices(upstream.DataCentre),
		pressure:        r.evictionPressure(upstream.Local.ID),
		hash:            xxhash.Sum64String(string(upstream.Name)),
		step:            step.Seconds(),
		secondsPerToken: step.Seconds() / float64(perStep),
		slots:           float64(slots),
	}
	if maxPrice > 0 {
		c.relativePrice = float64(upstream.Price / maxPrice)
	}
	return c
}

// mixHashes combines two hashes into one.
func mixHashes(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
