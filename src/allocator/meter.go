package allocator

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// LocalLimiter charges calls to the shares granted to this entry; it is safe for
// concurrent use.
type LocalLimiter struct {
	Window Window
	// ByUrgency lets the more urgent calls of an account beyond its limit precede the others.
	ByUrgency bool
	// Random returns a random number from 0 to 1; it is used with ByUrgency only.
	Random func() float64

	mu      sync.Mutex
	buckets map[units.Account]*localBucket
	// entries is the number of entries by the last response, 0 if unknown.
	entries int
}

// Ask is what a call asks of its account's limit.
type Ask struct {
	Size float64
	// Urgency is the call's urgency among those of its account, 0 the most urgent.
	Urgency int
	// Remaining is the time until the call's deadline, 0 if unbounded.
	Remaining time.Duration
}

// Decision says whether a call was charged to its account.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until a refused call may be admitted.
	RetryAfter time.Duration
	// Reserve is the number of tokens that the call had to leave to more urgent ones, 0 while its account is
	// within its limit.
	Reserve float64
}

// Decide charges a call to its account as Admit does. With ByUrgency, it lets more urgent calls of an account beyond
// its limit precede, and the wait of a refused call is that of a virtual queue of refused calls.
func (l *LocalLimiter) Decide(now time.Time, account *matcher.Account, ask Ask) Decision {
	if !l.ByUrgency || account.Rate <= 0 {
		retryAfter, admitted := l.Admit(now, account, ask.Size)
		return Decision{
			Admitted:   admitted,
			RetryAfter: retryAfter,
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.localBucket(now, account)
	b.urgencies.advance(now, queueFraction*b.rate)
	demand := b.urgencies.demandOf(ask.Urgency)
	// The call's own size must not change what it requires.
	defer demand.record(ask.Size)
	b.recordDemand(now, ask.Size)
	b.refill(now)
	if crowded := b.crowdedProbability(now, ask.Size); crowded > 0 && l.random() <= crowded {
		b.exceededAt = now
		return Decision{RetryAfter: l.queue(b, demand, ask, ask.Size-b.level)}
	}
	if b.exceeded(now) {
		return l.decideByUrgency(now, b, demand, ask)
	}
	retryAfter, admitted := b.admit(now, ask.Size)
	if !admitted && b.totalDemand > b.globalRate && b.canPrecede(now, demand, ask.Size) {
		// A bunch of calls uses up the grant of the entry that receives it.
		b.charge(ask.Size)
		admitted = true
	}
	if !admitted {
		retryAfter = ask.bound(l.spread(retryAfter))
	}
	return Decision{
		Admitted:   admitted,
		RetryAfter: retryAfter,
	}
}

// Admit charges a call of size to its account. If the call exceeds the limit, it
// charges nothing and returns the time until it may be admitted.
//
// The level of an account at its limit is near zero all the time. If a call needed
// room for its whole size, small calls would use up every refill and all large
// calls would be refused. A call therefore needs room for at most the usual call
// size; the rest of a larger call is a debt that later calls pay.
func (l *LocalLimiter) Admit(now time.Time, account *matcher.Account, size float64) (retryAfter time.Duration, admitted bool) {
	if account.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.localBucket(now, account)
	b.recordDemand(now, size)
	b.refill(now)
	return b.admit(now, size)
}

// admit charges a call of size, or returns the time until it may be admitted.
func (b *localBucket) admit(now time.Time, size float64) (retryAfter time.Duration, admitted bool) {
	required := b.requiredLevel(now, size)
	if b.level >= required && b.canAfford(now, size) {
		b.charge(size)
		return 0, true
	}
	if b.canBorrow(now, size) {
		b.borrowed = true
		b.charge(size)
		return 0, true
	}
	return b.retryAfter(now, required, size), false
}

// Refund returns the charge of a call that did not run.
func (l *LocalLimiter) Refund(account units.Account, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil {
		b.level += size
		b.spent -= size
	}
}

// SetShare applies the share that the response to the last poll grants this entry.
func (l *LocalLimiter) SetShare(now time.Time, account *matcher.Account, share, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.localBucket(now, account)
	b.share = share
	b.setLimits(account, l.Window)
	// The level does not include what was admitted after the poll was sent.
	b.level = entryAllowance(level, l.Window.burst(account), share) - (b.spent - b.reportedSpent)
	b.maxLevel = max(b.level, 0) + b.rate*maxAccrualTime.Seconds()
	b.refilledAt = now
	b.acknowledgedSpent = b.reportedSpent
	b.recordResponse(now)
	b.globalLevel = level
	b.globalLevelAt = now
	b.sharedBetween = l.entries
	b.borrowed = false
	b.updateTotalDemand(l.entries)
}

// SetEntries sets the number of entries that the leader shares limits between.
func (l *LocalLimiter) SetEntries(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = count
}

// ReportDemand returns the demand and the admitted tokens of each account for a poll.
func (l *LocalLimiter) ReportDemand(now time.Time) map[units.Account]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[units.Account]Demand, len(l.buckets))
	for name, b := range l.buckets {
		b.decayDemand(now)
		b.reportedSpent = b.spent
		b.reportedDemand = b.demand
		d := Demand{
			Rate:           b.demand,
			Spent:          b.spent,
			Unacknowledged: b.spent - b.acknowledgedSpent,
			Level:          b.globalLevel,
		}
		if !b.globalLevelAt.IsZero() {
			d.LevelAge = max(1, now.Sub(b.globalLevelAt))
			d.Share, d.Entries = b.share, b.sharedBetween
		}
		demand[name] = d
	}
	return demand
}

func (l *LocalLimiter) localBucket(now time.Time, account *matcher.Account) *localBucket {
	if l.buckets == nil {
		l.buckets = make(map[units.Account]*localBucket)
	}
	b := l.buckets[account.Name]
	if b == nil {
		b = &localBucket{
			share:           initialShare,
			refilledAt:      now,
			demandUpdatedAt: now,
		}
		b.setLimits(account, l.Window)
		b.level = b.capacity
		b.maxLevel = b.capacity
		l.buckets[account.Name] = b
	}
	return b
}

// UpdateLimits applies changed limits; tokens beyond the new limits are dropped.
func (l *LocalLimiter) UpdateLimits(now time.Time, table *matcher.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		account := table.Account(name)
		if account == nil || account.Rate <= 0 {
			continue
		}
		b.refill(now)
		b.setLimits(account, l.Window)
		b.maxLevel = min(b.maxLevel, b.capacity)
		b.level = min(b.level, b.capacity)
	}
}
