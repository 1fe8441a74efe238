package router

import (
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/locator"
)

// Weights of a score, which is in seconds: how much a second of latency below, near
// and above the target counts, and what the other costs are worth in seconds.
const (
	// lowLatencyFraction is the fraction of the latency target below which
	// latency counts little.
	lowLatencyFraction       = 0.3
	lowLatencyWeight         = 0.2
	nearTargetWeight         = 1.5
	overTargetWeight         = 3
	prefillWeight            = 1
	evictionWeight           = 2
	rendezvousPressureWeight = 4
	// maxTrustedPressure is the eviction pressure below which the index's cache
	// matches are trusted: above it, cached prompts may be evicted already.
	maxTrustedPressure    = 0.1
	idlePriceWeight       = 0.25
	busyPriceWeight       = 0.08
	utilizationBonus      = 0.04
	highUtilization       = 0.85
	highUtilizationWeight = 0.5
	rendezvousDiscount    = 0.5
	reclaimOverhead       = 2
	initialSlotFraction   = 0.1
	warmUpWeight          = 0.05
	typicalOutputTokens   = 256
	blockTokens           = 64
)

// warmUpDuration is how long a new engine's fraction of usable slots grows. Its cache is
// empty and its first steps are slow, so that calls would queue there if all were sent to
// it at once.
const warmUpDuration = 10 * time.Second

// decision holds the inputs and intermediate results of one choice.
type decision struct {
	call          *dispatcher.Call
	now           time.Time
	targetSeconds float64
	matches       [locator.MaxMatches]locator.Match
	matchCount    int
	// minPressure is the lowest eviction pressure of any eligible candidate.
	minPressure float64
}

// cachedTokens returns how many of the prompt's tokens a candidate is likely to have
// cached.
func (d *decision) cachedTokens(c *candidate) float64 {
	number := c.upstream.Local.ID
	for i := range d.matches[:d.matchCount] {
		if d.matches[i].IsEngine(number) {
			return min(float64(d.call.PromptTokens), d.matches[i].Tokens(blockTokens))
		}
	}
	return 0
}

// score returns the expected cost of a candidate in seconds.
func (d *decision) score(c *candidate) float64 {
	upstream := c.upstream
	load := float64(upstream.Local.InFlight.Load()) + float64(upstream.Load.PeerCalls)
	prefill := (float64(d.call.PromptTokens) - d.cachedTokens(c)) * c.secondsPerToken
	firstToken := d.prefillWait(c) + prefill + c.step
	if excess := load + 1 - c.slots; excess > 0 {
		firstToken += excess * typicalOutputTokens * c.step / c.slots
	}
	// On an engine under eviction pressure, the blocks of a new prompt evict as
	// many blocks that are in use, which have to be computed again.
	pressure := c.pressure.at(d.now)
	d.minPressure = min(d.minPressure, pressure)
	prefillFactor := prefillWeight + evictionWeight*pressure
	return d.latencyCost(firstToken) + prefillFactor*prefill + priceCost(c, load) + d.reclaimCost(c) + d.warmUpPenalty(c, load)
}

// prefillWait returns the time in seconds until the prompts ahead of this one are
// computed. Time since the load report was measured is subtracted, since the engine has
// worked on the reported queue in the meantime.
func (d *decision) prefillWait(c *candidate) float64 {
	load := &c.upstream.Load
	reported := float64(load.QueuedTokens)*c.secondsPerToken - d.now.Sub(load.MeasuredAt).Seconds()
	own := float64(c.upstream.Local.PrefillTokens.Load()) * c.secondsPerToken
	return max(reported, own, 0)
}

// latencyCost weighs the predicted time to the first token, in seconds, against the
// target.
func (d *decision) latencyCost(firstToken float64) float64 {
	low := d.targetSeconds * lowLatencyFraction
	cost := lowLatencyWeight * min(firstToken, low)
	if firstToken > low {
		cost += nearTargetWeight * (min(firstToken, d.targetSeconds) - low)
	}
	if firstToken > d.targetSeconds {
		cost += overTargetWeight * (firstToken - d.targetSeconds)
	}
	return cost
}

// priceCost returns the price component of a candidate's cost. It is high where the call
// would be the only one on the instance, and low beside other calls, the lower the higher
// the utilization, up to highUtilization. Calls are thus concentrated on few cheap
// instances, and the rest can be given back.
func priceCost(c *candidate, load float64) float64 {
	if load < 1 {
		return idlePriceWeight * c.relativePrice
	}
	utilization := (load + 1) / c.slots
	cost := busyPriceWeight*c.relativePrice - utilizationBonus*min(utilization, highUtilization)
	if utilization > highUtilization {
		cost += highUtilizationWeight * (utilization - highUtilization)
	}
	return cost
}

// reclaimCost returns the expected time, in seconds, lost to a reclaim while the call
// runs.
func (d *decision) reclaimCost(c *candidate) float64 {
	if !c.upstream.Reclaimable {
		return 0
	}
	duration := float64(d.call.MaxOutput) * c.step
	probability := min(1, hazard(c.notices, d.now)*duration)
	recomputation := (float64(d.call.PromptTokens) + float64(d.call.MaxOutput)/2) * c.secondsPerToken
	return probability * (recomputation + reclaimOverhead)
}

// warmUpPenalty returns the cost of giving a new engine more calls than the slots that
// it should use so far.
func (d *decision) warmUpPenalty(c *candidate, load float64) float64 {
	age := d.now.Sub(c.upstream.Local.FirstSeenAt)
	if age >= warmUpDuration {
		return 0
	}
	fraction := initialSlotFraction + (1-initialSlotFraction)*float64(age)/float64(warmUpDuration)
	excess := load + 1 - max(1, fraction*c.slots)
	return warmUpWeight * max(0, excess)
}
