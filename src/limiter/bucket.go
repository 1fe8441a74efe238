package limiter

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/parser"
)

// burstWindow bounds what may be used at once: what a share earns in this time.
const burstWindow = 2 * time.Second

// Share is a fraction of a limit that may be used until a time; the zero time means
// without expiry.
type Share struct {
	Fraction float64
	Until    time.Time
}

// bucket tracks what is left of this entry's shares of one limit.
//
// What is admitted in any time T is at most the limit times T, plus the limit times
// the burst window, plus one call for each entry: a share that moves starts empty
// at its new entry, and a call that costs more than a full bucket is admitted when
// the bucket is full and leaves a debt.
type bucket struct {
	limits parser.Limits
	shares []Share
	// refilledAt is when requests and tokens were last updated.
	refilledAt time.Time
	requests   float64
	tokens     float64
	running    int
	// initialized reports whether the bucket has had its initial fill.
	initialized bool
	// offeredRequests and offeredTokens are what calls asked for since demandSince,
	// admitted or not; refusedConcurrency counts the refusals by the concurrency
	// limit.
	offeredRequests    float64
	offeredTokens      float64
	refusedConcurrency int
	demandSince        time.Time
}

func newBucket(now time.Time, limits parser.Limits) *bucket {
	return &bucket{
		limits:      limits,
		refilledAt:  now,
		demandSince: now,
	}
}

// refill adds what the shares have earned; each share earns until it expires.
func (b *bucket) refill(now time.Time) {
	earned := 0.0
	for _, share := range b.shares {
		until := now
		if !share.Until.IsZero() && share.Until.Before(now) {
			until = share.Until
		}
		earned += share.Fraction * max(0, until.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	maxSeconds := b.usableFraction(now) * burstWindow.Seconds()
	b.requests = min(b.requests+earned*b.limits.RequestsPerSecond, maxSeconds*b.limits.RequestsPerSecond)
	b.tokens = min(b.tokens+earned*b.limits.TokensPerSecond, maxSeconds*b.limits.TokensPerSecond)
}

// usableFraction returns the fraction of the limit that may be used now.
func (b *bucket) usableFraction(now time.Time) float64 {
	sum := 0.0
	for _, share := range b.shares {
		if share.Until.IsZero() || now.Before(share.Until) {
			sum += share.Fraction
		}
	}
	return sum
}

// setShares replaces the shares.
func (b *bucket) setShares(now time.Time, shares []Share) {
	b.refill(now)
	b.shares = shares
	b.refill(now)
	b.initialize(now)
}

// initialize fills a new bucket by the shares that never expire. Such a share was
// reserved for the entry and unused for at least the burst window before the entry
// could use it, while a borrowed one may just have been used elsewhere.
func (b *bucket) initialize(now time.Time) {
	guaranteed := 0.0
	for _, share := range b.shares {
		if share.Until.IsZero() {
			guaranteed += share.Fraction
		}
	}
	if b.initialized || guaranteed == 0 {
		return
	}
	b.initialized = true
	b.requests = guaranteed * burstWindow.Seconds() * b.limits.RequestsPerSecond
	b.tokens = guaranteed * burstWindow.Seconds() * b.limits.TokensPerSecond
	b.refill(now)
}

// exhaustedLimit returns the name of the limit that has no room for a call and how
// long until it has, or "" if there is room.
func (b *bucket) exhaustedLimit(now time.Time, cost float64) (limit string, wait time.Duration) {
	b.refill(now)
	usableFraction := b.usableFraction(now)
	if b.limits.Concurrency > 0 && float64(b.running+1) > math.Floor(usableFraction*float64(b.limits.Concurrency)+epsilon) {
		b.refusedConcurrency++
		return "concurrency", minRetry
	}
	if usableFraction == 0 {
		return "share", minRetry
	}
	maxSeconds := usableFraction * burstWindow.Seconds()
	if rate := b.limits.RequestsPerSecond; rate > 0 {
		if missing := min(1, maxSeconds*rate) - b.requests; missing > epsilon {
			return "requests-per-second", retryDelay(missing / (usableFraction * rate))
		}
	}
	if rate := b.limits.TokensPerSecond; rate > 0 {
		if missing := min(cost, maxSeconds*rate) - b.tokens; missing > epsilon {
			return "tokens-per-second", retryDelay(missing / (usableFraction * rate))
		}
	}
	return "", 0
}

// recordOffered adds a call to the offered demand, whether or not it is admitted.
func (b *bucket) recordOffered(cost float64) {
	b.offeredRequests++
	b.offeredTokens += cost
}

func (b *bucket) charge(cost float64) {
	b.requests--
	b.tokens -= cost
	b.running++
}

func (b *bucket) refund(cost float64) {
	b.requests++
	b.tokens += cost
	b.running--
}

// takeDemand returns what was offered since the last call of takeDemand and what is
// in use, as fractions of the limit, and resets the counters.
func (b *bucket) takeDemand(now time.Time) (offered, inUse float64) {
	elapsed := max(now.Sub(b.demandSince).Seconds(), epsilon)
	if b.limits.RequestsPerSecond > 0 {
		offered = max(offered, b.offeredRequests/elapsed/b.limits.RequestsPerSecond)
	}
	if b.limits.TokensPerSecond > 0 {
		offered = max(offered, b.offeredTokens/elapsed/b.limits.TokensPerSecond)
	}
	if b.limits.Concurrency > 0 {
		inUse = float64(b.running) / float64(b.limits.Concurrency)
		offered = max(offered, float64(b.running+b.refusedConcurrency)/float64(b.limits.Concurrency))
	}
	b.offeredRequests = 0
	b.offeredTokens = 0
	b.refusedConcurrency = 0
	b.demandSince = now
	return offered, inUse
}

func retryDelay(s float64) time.Duration {
	return min(time.Duration(s*float64(time.Second)), maxRetry)
}
