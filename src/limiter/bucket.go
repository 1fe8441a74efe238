package limiter

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/parser"
)

// burstWindow is the time whose worth of a share may be used at once.
const burstWindow = 2 * time.Second

// Share is a fraction of a limit that may be used until a time; the zero time is for ever.
type Share struct {
	Fraction float64
	Until    time.Time
}

// bucket counts what one limit's share leaves.
//
// What is admitted in any time T is at most the limit times T, plus the limit
// times the burst window, plus one call for each entry: a share that moves
// starts empty at its new entry, and a call that costs more than a full bucket
// is admitted when the bucket is full and leaves a debt.
type bucket struct {
	limits parser.Limits
	shares []Share
	// filledAt is when requests and tokens were last brought up to date.
	filledAt time.Time
	requests float64
	tokens   float64
	running  int
	// filled says that the bucket has got its first filling.
	filled bool
	// offered is what calls asked for since the last look, admitted or not.
	offeredRequests float64
	offeredTokens   float64
	refusedRunning  int
	lookedAt        time.Time
}

func newBucket(now time.Time, limits parser.Limits) *bucket {
	return &bucket{
		limits:   limits,
		filledAt: now,
		lookedAt: now,
	}
}

// fill adds what the shares have earned; each earns until it ends.
func (b *bucket) fill(now time.Time) {
	earned := 0.0
	for _, share := range b.shares {
		until := now
		if !share.Until.IsZero() && share.Until.Before(now) {
			until = share.Until
		}
		earned += share.Fraction * max(0, until.Sub(b.filledAt).Seconds())
	}
	b.filledAt = now
	most := b.fraction(now) * burstWindow.Seconds()
	b.requests = min(b.requests+earned*b.limits.RequestsPerSecond, most*b.limits.RequestsPerSecond)
	b.tokens = min(b.tokens+earned*b.limits.TokensPerSecond, most*b.limits.TokensPerSecond)
}

// fraction returns the part of the limit that may be used now.
func (b *bucket) fraction(now time.Time) float64 {
	sum := 0.0
	for _, share := range b.shares {
		if share.Until.IsZero() || now.Before(share.Until) {
			sum += share.Fraction
		}
	}
	return sum
}

// apply takes new shares.
func (b *bucket) apply(now time.Time, shares []Share) {
	b.fill(now)
	b.shares = shares
	b.fill(now)
	b.fillFirst(now)
}

// fillFirst fills a new bucket by the share that is its entry's for good. That
// share was kept for the entry and unused, at least as long as the burst window,
// before the entry could use it; a borrowed one may just have been used elsewhere.
func (b *bucket) fillFirst(now time.Time) {
	floor := 0.0
	for _, share := range b.shares {
		if share.Until.IsZero() {
			floor += share.Fraction
		}
	}
	if b.filled || floor == 0 {
		return
	}
	b.filled = true
	b.requests = floor * burstWindow.Seconds() * b.limits.RequestsPerSecond
	b.tokens = floor * burstWindow.Seconds() * b.limits.TokensPerSecond
	b.fill(now)
}

// short returns the name of the limit that leaves no room for a call and how
// long until it does, or "" where there is room.
func (b *bucket) short(now time.Time, cost float64) (limit string, wait time.Duration) {
	b.fill(now)
	fraction := b.fraction(now)
	if b.limits.Concurrency > 0 && float64(b.running+1) > math.Floor(fraction*float64(b.limits.Concurrency)+epsilon) {
		b.refusedRunning++
		return "concurrency", minRetry
	}
	if fraction == 0 {
		return "share", minRetry
	}
	most := fraction * burstWindow.Seconds()
	if rate := b.limits.RequestsPerSecond; rate > 0 {
		if missing := min(1, most*rate) - b.requests; missing > epsilon {
			return "requests-per-second", seconds(missing / (fraction * rate))
		}
	}
	if rate := b.limits.TokensPerSecond; rate > 0 {
		if missing := min(cost, most*rate) - b.tokens; missing > epsilon {
			return "tokens-per-second", seconds(missing / (fraction * rate))
		}
	}
	return "", 0
}

// offer notes what a call asks for, whether or not it is admitted.
func (b *bucket) offer(cost float64) {
	b.offeredRequests++
	b.offeredTokens += cost
}

func (b *bucket) take(cost float64) {
	b.requests--
	b.tokens -= cost
	b.running++
}

func (b *bucket) refund(cost float64) {
	b.requests++
	b.tokens += cost
	b.running--
}

// demand returns what was offered since the last look and what is in use, as
// fractions of the limit.
func (b *bucket) demand(now time.Time) (offered, inUse float64) {
	elapsed := max(now.Sub(b.lookedAt).Seconds(), epsilon)
	if b.limits.RequestsPerSecond > 0 {
		offered = max(offered, b.offeredRequests/elapsed/b.limits.RequestsPerSecond)
	}
	if b.limits.TokensPerSecond > 0 {
		offered = max(offered, b.offeredTokens/elapsed/b.limits.TokensPerSecond)
	}
	if b.limits.Concurrency > 0 {
		inUse = float64(b.running) / float64(b.limits.Concurrency)
		offered = max(offered, float64(b.running+b.refusedRunning)/float64(b.limits.Concurrency))
	}
	b.offeredRequests = 0
	b.offeredTokens = 0
	b.refusedRunning = 0
	b.lookedAt = now
	return offered, inUse
}

func seconds(s float64) time.Duration {
	return min(time.Duration(s*float64(time.Second)), maxRetry)
}
