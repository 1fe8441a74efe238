package apportioner

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
)

const (
	// demandTime is how fast the measure of demand follows; callers come in
	// clumps of some tenths of a second.
	demandTime = 1500 * time.Millisecond
	// firstPart is an entry's part until control has told it one.
	firstPart = 0.05
	// saveTime is how long an entry without contact saves up its part of the rate.
	saveTime = 300 * time.Millisecond
	// contactFor is how long after an answer an entry uses more than its own part of
	// what the account's bucket held: two polls and what they take.
	contactFor = 600 * time.Millisecond
	// borrowFor is how long after an answer an entry knows what all together may admit:
	// some polls. borrowTimes is how many calls of a size there must be room for where
	// one is to run on that, borrowFull the part of the whole that is always enough.
	borrowFor   = 400 * time.Millisecond
	borrowTimes = 2.0
	borrowFull  = 0.8
	// wideShare is the part of its burst that an account has left while it is well
	// within its limit, leastWait two polls.
	wideShare = 0.3
	leastWait = 100 * time.Millisecond
	// debtUse is the part of a window that a debt may be, less than half of what the
	// bucket leaves of it; wholeBurst is the part of the bucket that counts as full.
	debtUse    = 0.05
	wholeBurst = 0.98
)

// bucket is what this entry was lent of one account's limit.
type bucket struct {
	part float64
	rate float64
	// most is what the level may grow to without contact, full what it is while
	// the account uses nothing.
	most  float64
	full  float64
	level float64
	at    time.Time
	// spent is what was admitted since the start, told what of it was said in the
	// last poll.
	spent float64
	told  float64
	// heard is what of it a leader has answered, which said that the bucket of
	// all entries held poolLevel at poolAt.
	heard     float64
	poolLevel float64
	poolAt    time.Time
	// demand is what callers ask for, in tokens a second, calls how many calls that is.
	demand  float64
	calls   float64
	askedAt time.Time
	// burst, poolRate and debt are the whole account's: what its bucket holds, how fast
	// it fills, and how far below nothing it may go.
	burst    float64
	poolRate float64
	debt     float64
	// borrowed says that a call has run on more than was lent since the last answer.
	borrowed bool
}

func (b *bucket) charge(size float64) {
	b.level -= size
	b.spent += size
}

// affords reports whether a call that runs into debt leaves what all entries admit
// within the window: a debt is in no other entry's count before the next answers, and
// one large call of a small account is more than what covers such moments. A call that
// is larger than all that there can be runs alone, when everything is there.
func (b *bucket) affords(now time.Time, size float64) bool {
	if size <= b.level || b.poolAt.IsZero() || now.Sub(b.poolAt) > contactFor {
		return true
	}
	return b.pool(now) >= min(size-b.debt, wholeBurst*b.burst)
}

// borrows reports whether a call may run on what all entries together may still
// admit, though this entry was lent less.
//
// An entry that had no call of an account lately is lent a small part of it, and a large
// call is more. Refused there, the largest calls of accounts that are well within their
// limits come back seconds later, or not at all. Several entries may
// borrow at once: each does so once between two answers, and only where there is
// room for two such calls, or nearly all that there can be.
func (b *bucket) borrows(now time.Time, size float64) bool {
	if b.borrowed || b.poolAt.IsZero() || now.Sub(b.poolAt) > borrowFor {
		return false
	}
	return b.pool(now) >= b.ample(size)
}

// ample returns what all entries together must have room for where a call is to run
// on that: for several such calls, and for an account well within its limit.
func (b *bucket) ample(size float64) float64 {
	return min(max(borrowTimes*size, wideShare*b.burst), borrowFull*b.burst)
}

// pool returns what all entries may admit now, as far as this one knows.
func (b *bucket) pool(now time.Time) float64 {
	filled := b.poolLevel + b.poolRate*now.Sub(b.poolAt).Seconds()
	return min(b.burst, filled) - (b.spent - b.heard)
}

// wait returns when a call that was refused may find room. While the account is well
// within its limit, that is when all entries together have it; the caller's next entry
// may be another. At its limit, others wait for the same, and this entry's own part
// says when its turn comes.
func (b *bucket) wait(now time.Time, want, size float64) time.Duration {
	own := seconds((want - b.level) / b.rate)
	if b.poolAt.IsZero() || now.Sub(b.poolAt) > contactFor {
		return own
	}
	pool := b.pool(now)
	if pool < wideShare*b.burst {
		return own
	}
	return min(own, max(leastWait, seconds((b.ample(size)-pool)/b.poolRate)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// room returns what the level must be for a call of size.
//
// A call larger than the whole bucket would never be admitted; it may run into debt
// from a full one. Without contact a debt would be known to nobody else, and each
// entry would run into one of its own.
func (b *bucket) room(now time.Time, size float64) float64 {
	most := b.full
	if !b.poolAt.IsZero() && now.Sub(b.poolAt) <= contactFor {
		most = min(most, b.demand/b.calls)
	}
	return min(size, most)
}

func (b *bucket) size(account *matcher.Account, w Window) {
	b.burst = w.burst(account)
	b.debt = debtUse * w.allowed(account)
	b.poolRate = w.rate(account)
	b.rate = b.poolRate * b.part
	b.full = lent(b.burst, b.burst, b.part)
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = max(b.level, min(b.most, b.level+passed*b.rate))
		b.at = now
	}
	b.level = min(b.level, b.own(now))
}

// own returns what the entry may admit of its own part alone, without bound while
// answers come.
//
// The bucket is lent out several times over, which the next answers mend. An
// account that turns hot while there are none would use all of that.
func (b *bucket) own(now time.Time) float64 {
	age := now.Sub(b.poolAt)
	if b.poolAt.IsZero() || age <= contactFor {
		return math.Inf(1)
	}
	return b.poolLevel*b.part + b.rate*age.Seconds() - (b.spent - b.heard)
}

// ask notes a call of size in the measure of demand.
func (b *bucket) ask(now time.Time, size float64) {
	b.fade(now)
	b.demand += size / demandTime.Seconds()
	b.calls += 1 / demandTime.Seconds()
}

// fade lets the measure of demand forget.
func (b *bucket) fade(now time.Time) {
	passed := now.Sub(b.askedAt)
	if passed <= 0 {
		return
	}
	b.askedAt = now
	left := math.Exp(-passed.Seconds() / demandTime.Seconds())
	b.demand *= left
	b.calls *= left
}
