package placer

import (
	"cmp"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/rationer"
	"github.com/rosecroft/rosecroft/src/units"
)

// best returns the candidate with the lowest score, nil if there is none, or if the attempt may be refused and the
// call would be answered far too late.
func (p *Placer) best(now time.Time, call *dispatcher.Call, candidates []*Candidate, attempt attemptKind) *Candidate {
	candidates = p.ration(now, call.Service, candidates)
	if len(candidates) == 0 {
		return nil
	}
	best, bestScore, bestPrefill := (*Candidate)(nil), 0.0, int64(0)
	long := isLongPrompt(call, p.prefillTime(call.Service))
	forecast := p.newForecast(now, call, attempt)
	compare := func(c *Candidate, uncached units.Tokens) {
		calls, prefill := c.estimatedLoad(now, p.peerLoads.Load())
		if forecast != nil {
			prefill = forecast.countedTokens(c)
		}
		prefill += int64(uncached)
		if score := p.score(c, calls, prefill) + separationWeight*c.separation(call, long); best == nil || score < bestScore {
			best, bestScore, bestPrefill = c, score, prefill
		}
	}
	if len(call.Prefixes) > 1 {
		for i, c := range ownersOf(call.Prefixes[len(call.Prefixes)-2].ID, candidates) {
			// The second owner is for when the first is busy. Used alike, both would
			// prefill the prefix.
			missing := units.Tokens(float64(i) * secondaryMissRatio * float64(call.SharedTokens()))
			compare(c, call.PromptTokens-call.SharedTokens()+missing)
		}
	}
	offset := p.random().IntN(len(candidates))
	samples := min(sampleSize, len(candidates))
	if long {
		// Long prompts are few, and for each of them it matters which upstream has the
		// fewest streams.
		samples = len(candidates)
	}
	for i := range samples {
		// A random stride could visit a candidate twice; a fixed one serves as well.
		compare(candidates[(offset+i*stride(len(candidates), samples))%len(candidates)], call.PromptTokens)
	}
	for _, c := range withIdleConnection(candidates, offset) {
		compare(c, call.PromptTokens)
	}
	if forecast != nil {
		return forecast.admitted(best, candidates)
	}
	prefillTime := time.Duration(best.slowdown() * float64(p.prefillTime(call.Service)))
	if attempt == firstAttempt && isTooLate(call, time.Duration(bestPrefill)*prefillTime) {
		return nil
	}
	return best
}

// ration returns the candidates of a brittle service that a call may go to now.
func (p *Placer) ration(now time.Time, service units.Service, candidates []*Candidate) []*Candidate {
	if p.Rationer == nil {
		return candidates
	}
	if _, brittle := p.Rationer.Brittle(now, service); !brittle {
		return candidates
	}
	peers := p.peerLoads.Load()
	upstreams := make([]rationer.Upstream, 0, len(candidates))
	for _, c := range candidates {
		calls, _ := c.estimatedLoad(now, peers)
		upstreams = append(upstreams, rationer.Upstream{
			ID:    c.incarnationID,
			Slots: cmp.Or(c.Slots, defaultSlots),
			Own:   c.Local.InFlight.Load(),
			Calls: calls,
		})
	}
	load := rationer.Load{
		Age:      p.loadAge(now, peers),
		CallTime: p.CallTime(service),
		Entries:  p.Entries(),
	}
	var selected []*Candidate
	for _, i := range p.Rationer.Select(now, service, upstreams, load) {
		selected = append(selected, candidates[i])
	}
	return selected
}

// loadAge returns how old the loads of other entries may be: these were polled before the leader's
// response, and may have been polled as long before that as the time since it.
func (p *Placer) loadAge(now time.Time, peers *PeerLoads) time.Duration {
	if peers == nil {
		return peerLoadExpiry
	}
	return min(peerLoadExpiry, 2*max(now.Sub(peers.At), minLoadAge))
}

func (p *Placer) prefillTime(service units.Service) time.Duration {
	if p.PrefillTime != nil {
		if prefillTime := p.PrefillTime(service); prefillTime > 0 {
			return prefillTime
		}
	}
	return defaultPrefillTime
}

// isTooLate reports whether a call would wait far beyond its latency target even at the
// best of the compared upstreams. Its answer would come late and delay the calls behind it;
// refused at once, the caller can retry when the burst is over. The most urgent calls of an
// account go ahead of the queue and are never refused.
//
// The wait is the prefill before the call's first byte, at the speed that this entry has
// measured: under a fixed speed, upstreams with half the prefill speed of others accepted
// twice as many calls as they could answer in time.
func isTooLate(call *dispatcher.Call, wait time.Duration) bool {
	return call.Urgency > 0 && call.RouteUrgency > 0 && call.LatencyTarget > 0 && len(call.Prefixes) > 0 && wait > time.Duration(maxWaitFactor*float64(call.LatencyTarget))
}

// stride spreads the sampled candidates over the list, which is sorted by name.
func stride(count, samples int) int { return max(1, count/samples) }
