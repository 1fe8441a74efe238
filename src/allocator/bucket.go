package allocator

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

const (
	// demandTimeConstant is the time constant of the exponentially decaying demand
	// estimate; calls come in bursts of some tenths of a second.
	demandTimeConstant = 1500 * time.Millisecond
	// initialShare is an entry's share until control has granted it one.
	initialShare = 0.05
	// maxAccrualTime is for how long an entry without contact accrues its share of
	// the rate.
	maxAccrualTime = 300 * time.Millisecond
	// contactTimeout is for how long after a response an entry may use more than
	// its own share of the account's bucket level: two poll intervals and their
	// round trips.
	contactTimeout = 600 * time.Millisecond
	// borrowTTL is for how long after a response an entry may rely on its estimate
	// of what all entries together may admit: several polls. borrowCallMultiple is
	// how many calls of the same size that estimate must have room for before an
	// entry borrows, and borrowSufficientFraction the fraction of the burst that is
	// always enough.
	borrowTTL                = 400 * time.Millisecond
	borrowCallMultiple       = 2.0
	borrowSufficientFraction = 0.8
	// headroomFraction is the fraction of its burst that an account has left while
	// it counts as well within its limit. minWait, the shortest retry delay for
	// such an account, is two polls.
	headroomFraction = 0.3
	minWait          = 100 * time.Millisecond
	// maxDebtFraction is the largest debt as a fraction of a window's allowance,
	// less than half of what the bucket leaves of it. fullFraction is the fraction
	// of its burst at which the bucket counts as full.
	maxDebtFraction = 0.05
	fullFraction    = 0.98
)

// localBucket is the part of one account's limit that this entry may use.
type localBucket struct {
	share float64
	rate  float64
	// maxLevel bounds the level while there is no contact; capacity is the level
	// while the account uses nothing.
	maxLevel   float64
	capacity   float64
	level      float64
	refilledAt time.Time
	// spent is the number of tokens admitted since the start, reportedSpent its
	// value in the last poll.
	spent         float64
	reportedSpent float64
	// acknowledgedSpent is the value of spent that a leader has acknowledged; that
	// response gave the level of the account's bucket for all entries as
	// globalLevel at globalLevelAt.
	acknowledgedSpent float64
	globalLevel       float64
	globalLevelAt     time.Time
	// sharedBetween is the number of entries that the limit was shared between by that response, 0 if unknown.
	sharedBetween int
	// demand is the rate that callers ask for in tokens per second, callRate the
	// same in calls per second.
	demand          float64
	callRate        float64
	demandUpdatedAt time.Time
	// burst, globalRate and maxDebt apply to the whole account: its bucket's
	// capacity, its fill rate, and how far below zero its level may go.
	burst      float64
	globalRate float64
	maxDebt    float64
	// borrowed reports whether a call has been admitted beyond the grant since the
	// last response.
	borrowed bool
	// smallSize is the size up to which the debt of a call counts as small.
	smallSize float64
	// urgencies is kept while limits are by urgency. reportedDemand is the value of demand in the last poll, and
	// totalDemand the demand at all entries by the last response, 0 if unknown.
	urgencies      urgencies
	reportedDemand float64
	totalDemand    float64
	// pollInterval is the longest recent interval between two responses, 0 if unknown.
	pollInterval time.Duration
	// exceededAt is when a call last found the account beyond its limit, and reportedExcess whether that was
	// reported.
	exceededAt     time.Time
	reportedExcess bool
}

// inContact reports whether a leader has responded lately.
func (b *localBucket) inContact(now time.Time) bool {
	return !b.globalLevelAt.IsZero() && now.Sub(b.globalLevelAt) <= contactTimeout
}

func (b *localBucket) charge(size float64) {
	b.level -= size
	b.spent += size
}

// canAfford reports whether a call that goes into debt keeps what all entries admit
// within the window. No other entry knows of a debt before the next responses, and
// one large call of a small account exceeds the reserve for that time. A call
// larger than the bucket's capacity is admitted alone, when the bucket is full.
func (b *localBucket) canAfford(now time.Time, size float64) bool {
	if size <= b.level || b.globalLevelAt.IsZero() || now.Sub(b.globalLevelAt) > contactTimeout {
		return true
	}
	return b.estimatedLevel(now) >= b.debtThreshold(size)
}

// debtThreshold returns the level that the account's bucket must have for a call of size to run into debt.
func (b *localBucket) debtThreshold(size float64) float64 {
	return min(size-b.maxDebt, fullFraction*b.burst)
}

// canBorrow reports whether a call may use what all entries together may still
// admit, though this entry's own grant does not cover it.
//
// An entry that had no recent calls of an account is granted a small share of it,
// and a large call needs more. If such calls were refused, the largest calls of
// accounts well within their limits would be retried seconds later or never run.
// Several entries may borrow at the same time: each may do so once between two
// responses, and only where there is room for borrowCallMultiple such calls or
// nearly all of the burst is left.
func (b *localBucket) canBorrow(now time.Time, size float64) bool {
	if b.borrowed || b.globalLevelAt.IsZero() || now.Sub(b.globalLevelAt) > borrowTTL {
		return false
	}
	return b.estimatedLevel(now) >= b.borrowThreshold(size)
}

// borrowThreshold returns the level that the account's bucket must have for an
// entry to borrow for a call of size: room for several such calls, and an account
// well within its limit. A call larger than the burst runs into as large a debt as
// one that is admitted from the grant, and needs the same level.
func (b *localBucket) borrowThreshold(size float64) float64 {
	sufficient := min(max(borrowCallMultiple*size, headroomFraction*b.burst), borrowSufficientFraction*b.burst)
	return max(sufficient, b.debtThreshold(size))
}

// estimatedLevel returns what all entries together may admit now, as far as this
// entry knows.
func (b *localBucket) estimatedLevel(now time.Time) float64 {
	refilled := b.globalLevel + b.globalRate*now.Sub(b.globalLevelAt).Seconds()
	return min(b.burst, refilled) - (b.spent - b.acknowledgedSpent)
}

// retryAfter returns how long until a refused call may be admitted. While the
// account is well within its limit, that is when all entries together have room for
// it, since the caller may retry at another entry. At its limit, other calls wait
// for the same tokens, and this entry's own share determines when the call's turn
// comes.
func (b *localBucket) retryAfter(now time.Time, required, size float64) time.Duration {
	own := seconds((required - b.level) / b.rate)
	if b.globalLevelAt.IsZero() || now.Sub(b.globalLevelAt) > contactTimeout {
		return own
	}
	estimatedLevel := b.estimatedLevel(now)
	if estimatedLevel < headroomFraction*b.burst {
		return own
	}
	return min(own, max(minWait, seconds((b.borrowThreshold(size)-estimatedLevel)/b.globalRate)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// requiredLevel returns the level that a call of size requires.
//
// A call larger than the whole bucket could never be admitted, so it may run into
// debt from a full bucket. Without contact no other entry would know of a debt, and
// each entry could run into one of its own.
func (b *localBucket) requiredLevel(now time.Time, size float64) float64 {
	maxRequired := b.capacity
	if !b.globalLevelAt.IsZero() && now.Sub(b.globalLevelAt) <= contactTimeout {
		maxRequired = min(maxRequired, b.demand/b.callRate)
	}
	return min(size, maxRequired)
}

func (b *localBucket) setLimits(account *matcher.Account, w Window) {
	b.burst = w.burst(account)
	b.maxDebt = maxDebtFraction * w.allowed(account)
	b.smallSize = smallSizeFraction * w.allowed(account)
	b.globalRate = w.rate(account)
	b.rate = b.globalRate * b.share
	b.capacity = entryAllowance(b.burst, b.burst, b.share)
}

func (b *localBucket) refill(now time.Time) {
	if passed := now.Sub(b.refilledAt).Seconds(); passed > 0 {
		b.level = max(b.level, min(b.maxLevel, b.level+passed*b.rate))
		b.refilledAt = now
	}
	b.level = min(b.level, b.offlineAllowance(now))
}

// offlineAllowance returns what the entry may admit from its own share alone; it is
// unbounded while responses arrive.
//
// The bucket is overcommitted, and each response corrects that. Without responses,
// an account that turns hot would use all of the overcommitted amount.
func (b *localBucket) offlineAllowance(now time.Time) float64 {
	age := now.Sub(b.globalLevelAt)
	if b.globalLevelAt.IsZero() || age <= contactTimeout {
		return math.Inf(1)
	}
	return b.globalLevel*b.share + b.rate*age.Seconds() - (b.spent - b.acknowledgedSpent)
}

// recordDemand adds a call of size to the demand estimate.
func (b *localBucket) recordDemand(now time.Time, size float64) {
	b.decayDemand(now)
	b.demand += size / demandTimeConstant.Seconds()
	b.callRate += 1 / demandTimeConstant.Seconds()
}

// decayDemand decays the demand estimate by the time since its last update.
func (b *localBucket) decayDemand(now time.Time) {
	passed := now.Sub(b.demandUpdatedAt)
	if passed <= 0 {
		return
	}
	b.demandUpdatedAt = now
	retained := math.Exp(-passed.Seconds() / demandTimeConstant.Seconds())
	b.demand *= retained
	b.callRate *= retained
}
