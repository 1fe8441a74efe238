package router

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// affinityBound is how far above the mean load an upstream may be and still
// take a call for the prefix it has cached.
const affinityBound = 1.25

// Router picks among the usable upstreams of the current snapshot.
type Router struct {
	Snapshot *atomic.Pointer[indexer.Snapshot]

	next atomic.Uint64
}

// Pick returns the upstream for the next attempt, or nil for none.
func (r *Router) Pick(call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream {
	service, known := r.Snapshot.Load().Service(call.Service)
	if !known {
		return nil
	}
	candidates := untried(service.Usable, tried)
	if len(candidates) == 0 {
		return nil
	}
	switch call.Policy {
	case parser.RoundRobin:
		return candidates[r.next.Add(1)%uint64(len(candidates))]
	case parser.PrefixCost:
		if upstream := byPrefix(call, candidates); upstream != nil {
			return upstream
		}
	case parser.LeastLoaded:
	}
	return slices.MinFunc(candidates, compareLoad)
}

func untried(usable []*tracker.Upstream, tried []units.Upstream) []*tracker.Upstream {
	if len(tried) == 0 {
		return usable
	}
	candidates := make([]*tracker.Upstream, 0, len(usable))
	for _, upstream := range usable {
		if !slices.Contains(tried, upstream.Name) {
			candidates = append(candidates, upstream)
		}
	}
	return candidates
}

func compareLoad(a, b *tracker.Upstream) int {
	return cmp.Compare(load(a), load(b))
}

func load(upstream *tracker.Upstream) int64 {
	return upstream.Live.InFlight.Load()
}

// byPrefix returns the upstream that the call's prefix hashes to, unless it is loaded too far above the mean.
func byPrefix(call *dispatcher.Call, candidates []*tracker.Upstream) *tracker.Upstream {
	if len(call.Blocks) == 0 {
		return nil
	}
	var total int64
	for _, upstream := range candidates {
		total += load(upstream)
	}
	bound := affinityBound * float64(total+1) / float64(len(candidates))
	var best *tracker.Upstream
	var bestWeight uint64
	for _, upstream := range candidates {
		weight := rendezvous(call.Blocks[0], upstream.Name)
		if float64(load(upstream)) <= bound && (best == nil || weight > bestWeight) {
			best = upstream
			bestWeight = weight
		}
	}
	return best
}

func rendezvous(block uint64, name units.Upstream) uint64 {
	var buffer [64]byte
	key := binary.LittleEndian.AppendUint64(buffer[:0], block)
	return xxhash.Sum64(append(key, name...))
}
