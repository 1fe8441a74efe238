package router

import (
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/locator"
)

// Weights of a score, which is in seconds: what a second of waiting below, near
// and above the target counts, and what the other costs are worth in seconds.
const (
	// headroom is the part of the latency target below which waiting is cheap.
	headroom    = 0.3
	calmWeight  = 0.2
	nearWeight  = 1.5
	missWeight  = 3
	workWeight  = 1
	evictWeight = 2
	placeWeight = 4
	// settledPressure is where claims of cached prompts can be believed.
	settledPressure = 0.1
	idlePrice       = 0.25
	busyPrice       = 0.08
	fillBonus       = 0.04
	fullShare       = 0.85
	fullWeight      = 0.5
	placeShare      = 0.5
	disruption      = 2
	warmSlotShare   = 0.1
	warmWeight      = 0.05
	typicalOutput   = 256
	blockTokens     = 64
)

// warmUp is how long a new engine takes a growing part of the work: its cache is
// empty and its first steps are slow, so that all calls at once would wait there.
const warmUp = 10 * time.Second

// decision is one choice under way.
type decision struct {
	call    *dispatcher.Call
	now     time.Time
	target  float64
	matches [locator.MaxMatches]locator.Match
	found   int
	// pressure is the least that any candidate is under.
	pressure float64
}

// cached returns the prompt tokens that a candidate is likely to have cached.
func (d *decision) cached(c *candidate) float64 {
	number := c.upstream.Local.ID
	for i := range d.matches[:d.found] {
		if d.matches[i].IsEngine(number) {
			return min(float64(d.call.Prompt), d.matches[i].Tokens(blockTokens))
		}
	}
	return 0
}

// score returns the expected cost of a candidate in seconds.
func (d *decision) score(c *candidate) float64 {
	upstream := c.upstream
	under := float64(upstream.Local.InFlight.Load()) + float64(upstream.Load.PeerCalls)
	work := (float64(d.call.Prompt) - d.cached(c)) * c.perToken
	first := d.waiting(c) + work + c.step
	if over := under + 1 - c.slots; over > 0 {
		first += over * typicalOutput * c.step / c.slots
	}
	// What is computed on an engine that gives up what is in use will make it give
	// up as much again, which somebody computes once more.
	pressure := c.pressure.at(d.now)
	d.pressure = min(d.pressure, pressure)
	weight := workWeight + evictWeight*pressure
	return d.latency(first) + weight*work + price(c, under) + d.loss(c) + d.warming(c, under)
}

// waiting returns the time until the prompts before this one are computed. The
// report is old: the engine has worked on what it reported since.
func (d *decision) waiting(c *candidate) float64 {
	load := &c.upstream.Load
	reported := float64(load.QueuedTokens)*c.perToken - d.now.Sub(load.MeasuredAt).Seconds()
	own := float64(c.upstream.Local.PrefillTokens.Load()) * c.perToken
	return max(reported, own, 0)
}

// latency weighs the predicted time to the first token against the target.
func (d *decision) latency(first float64) float64 {
	near := d.target * headroom
	cost := calmWeight * min(first, near)
	if first > near {
		cost += nearWeight * (min(first, d.target) - near)
	}
	if first > d.target {
		cost += missWeight * (first - d.target)
	}
	return cost
}

// price returns what a call costs on a candidate: much where it alone keeps the
// instance in use, little beside others, and the less the fuller it is, so that
// calls gather on few cheap instances and the rest can be given back.
func price(c *candidate, under float64) float64 {
	if under < 1 {
		return idlePrice * c.price
	}
	fill := (under + 1) / c.slots
	cost := busyPrice*c.price - fillBonus*min(fill, fullShare)
	if fill > fullShare {
		cost += fullWeight * (fill - fullShare)
	}
	return cost
}

// loss returns the expected time lost by a reclaim while the call runs.
func (d *decision) loss(c *candidate) float64 {
	if !c.upstream.Reclaimable {
		return 0
	}
	runs := float64(d.call.MaxOutput) * c.step
	chance := min(1, hazard(c.notices, d.now)*runs)
	again := (float64(d.call.Prompt) + float64(d.call.MaxOutput)/2) * c.perToken
	return chance * (again + disruption)
}

// warming returns the cost of giving a new engine more than its part.
func (d *decision) warming(c *candidate, under float64) float64 {
	age := d.now.Sub(c.upstream.Local.FirstSeenAt)
	if age >= warmUp {
		return 0
	}
	part := warmSlotShare + (1-warmSlotShare)*float64(age)/float64(warmUp)
	over := under + 1 - max(1, part*c.slots)
	return warmWeight * max(0, over)
}
