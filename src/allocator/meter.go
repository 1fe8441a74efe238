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

	mu      sync.Mutex
	buckets map[units.Account]*localBucket
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
	b.globalLevel = level
	b.globalLevelAt = now
	b.borrowed = false
}

// ReportDemand returns the demand and the admitted tokens of each account for a poll.
func (l *LocalLimiter) ReportDemand(now time.Time) map[units.Account]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[units.Account]Demand, len(l.buckets))
	for name, b := range l.buckets {
		b.decayDemand(now)
		b.reportedSpent = b.spent
		d := Demand{
			Rate:           b.demand,
			Spent:          b.spent,
			Unacknowledged: b.spent - b.acknowledgedSpent,
			Level:          b.globalLevel,
		}
		if !b.globalLevelAt.IsZero() {
			d.LevelAge = max(1, now.Sub(b.globalLevelAt))
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
