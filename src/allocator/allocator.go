package allocator

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// evenFraction is the fraction of each limit that is shared evenly, so that an
	// entry without recent calls of an account can admit its first ones.
	evenFraction = 0.2
	// settleDelay is for how long a new leader leaves shares unchanged: a poll that
	// waits for the previous leader until its timeout, and a margin, by when every
	// reachable entry has polled. During this time, large calls of accounts far
	// from their limits are refused.
	settleDelay = 800 * time.Millisecond
	// defaultLevelFraction is the fraction of its burst that a leader assumes an
	// account's bucket to hold where no entry reports a level from an earlier
	// leader.
	defaultLevelFraction = 0.1
	// silenceTimeout is the time without a poll after which an entry is assumed to
	// admit its full share of the rate.
	silenceTimeout = 600 * time.Millisecond
	// refreshInterval is how often all entries are scanned: a small fraction of an
	// entry's poll interval.
	refreshInterval = 20 * time.Millisecond
)

// Demand is what an entry reports of its calls for an account.
type Demand struct {
	// Rate is the recent demand in tokens per second, Spent the number of tokens
	// admitted since the entry's start.
	Rate  float64
	Spent float64
	// Unacknowledged is the part of Spent that no leader has acknowledged.
	Unacknowledged float64
	// Level is the level of the account's bucket in the last leader's response,
	// LevelAge the age of that response; 0 if there was none.
	Level    float64
	LevelAge time.Duration
	// Share is the share that this response granted, and Entries the number of entries
	// that its leader shared the limit between; 0 if unknown.
	Share   float64
	Entries int
}

// Allocator keeps the accounts' buckets and grants shares of them to entries; it is a
// state machine without a clock.
type Allocator struct {
	// Lease is for how long an entry uses its share without contact.
	Lease  time.Duration
	Window Window
	// Since is when this instance became the allocating leader.
	Since time.Time

	entries map[units.Instance]*entryState
	buckets map[units.Account]*globalBucket
	// demandRates is the sum of the entries' demand rates for each account, and
	// silentEntries the entries without a poll for silenceTimeout; both are
	// recomputed at refreshedAt.
	demandRates   map[units.Account]float64
	silentEntries []*entryState
	refreshedAt   time.Time
	earlier       earlierGrants
}

type entryState struct {
	incarnation units.Incarnation
	reportedAt  time.Time
	demands     map[units.Account]Demand
	// assumedSpent is what was charged for the entry while it was silent.
	assumedSpent map[units.Account]float64
	// shares are those that this leader has granted.
	shares map[units.Account]float64
}

// recordAssumed records tokens charged for the entry while it is silent.
func (e *entryState) recordAssumed(account units.Account, tokens float64) {
	if e.assumedSpent == nil {
		e.assumedSpent = make(map[units.Account]float64)
	}
	e.assumedSpent[account] += tokens
}

// globalBucket is one account's bucket for all entries.
type globalBucket struct {
	level      float64
	refilledAt time.Time
}

// RecordDemand charges the accounts' buckets with what an entry has admitted since its last
// poll.
func (a *Allocator) RecordDemand(now time.Time, name units.Instance, incarnation units.Incarnation, demands map[units.Account]Demand) {
	if a.entries == nil {
		a.entries = make(map[units.Instance]*entryState)
		a.buckets = make(map[units.Account]*globalBucket)
		a.demandRates = make(map[units.Account]float64)
	}
	for account, tokens := range a.recordEarlier(now, name, demands) {
		if bucket := a.buckets[account]; bucket != nil {
			bucket.level += tokens
		}
	}
	e, known := a.entries[name]
	if !known {
		e = &entryState{shares: make(map[units.Account]float64)}
		a.entries[name] = e
	}
	for account, demand := range demands {
		a.demandRates[account] += demand.Rate - e.demands[account].Rate
		bucket := a.buckets[account]
		switch {
		case bucket == nil:
		case !known:
			// No leader charged what the entry admitted since the last response of
			// the previous leader. If this leader has answered the entry before and
			// dropped it when its lease expired, that usage is already charged.
			if demand.LevelAge == 0 || a.isEarlier(now, demand) {
				bucket.level -= demand.Unacknowledged
			}
		case e.incarnation != incarnation:
			bucket.level -= demand.Spent
		default:
			bucket.level -= demand.Spent - e.demands[account].Spent - e.assumedSpent[account]
		}
	}
	e.incarnation = incarnation
	e.reportedAt = now
	e.demands = demands
	clear(e.assumedSpent)
}

// RemoveEntry removes an entry that has announced its shutdown.
func (a *Allocator) RemoveEntry(name units.Instance) {
	delete(a.entries, name)
	a.refreshedAt = time.Time{}
}

// HasEntry reports whether an entry holds shares.
func (a *Allocator) HasEntry(name units.Instance) bool { return a.entries[name] != nil }

// CountEntries returns how many entries hold shares now.
func (a *Allocator) CountEntries(now time.Time) int {
	a.refresh(now)
	return len(a.entries)
}

// Settled reports whether this leader has been active for long enough that every
// reachable entry has polled it.
func (a *Allocator) Settled(now time.Time) bool { return now.Sub(a.Since) >= settleDelay }

// refresh drops entries whose lease has expired and recomputes the sums over all
// entries. Scanning all entries at each poll would cost the leader time quadratic
// in their number; with two hundred entries it would have no time for anything
// else.
func (a *Allocator) refresh(now time.Time) {
	if !a.refreshedAt.IsZero() && now.Sub(a.refreshedAt) < refreshInterval {
		return
	}
	a.refreshedAt = now
	a.silentEntries = a.silentEntries[:0]
	// Recomputing the sums removes accumulated rounding errors.
	clear(a.demandRates)
	for name, e := range a.entries {
		age := now.Sub(e.reportedAt)
		if age > a.Lease {
			delete(a.entries, name)
			continue
		}
		if age > silenceTimeout {
			a.silentEntries = append(a.silentEntries, e)
		}
		for account, demand := range e.demands {
			a.demandRates[account] += demand.Rate
		}
	}
}

// Share returns an entry's share of an account's limit, from 0 to 1, and what all
// entries may still admit; known is false while that is not known well enough to
// change the entry's share.
func (a *Allocator) Share(now time.Time, name units.Instance, account *matcher.Account) (share, level float64, known bool) {
	count := a.CountEntries(now)
	own := a.entries[name]
	if own == nil {
		return 0, 0, false
	}
	if !a.Settled(now) {
		return 0, 0, false
	}
	level = a.refill(now, account)
	share = a.shareByDemand(own.demands[account.Name], account.Name, count)
	own.shares[account.Name] = share
	return share, level, true
}

// shareByDemand returns the share of an account's limit for an entry's demand, among count entries.
func (a *Allocator) shareByDemand(demand Demand, account units.Account, count int) float64 {
	share := 1 / float64(count)
	if total := a.demandRates[account]; total > 0 {
		share = evenFraction*share + (1-evenFraction)*min(1, demand.Rate/total)
	}
	return share
}

// refill adds the tokens accrued since the last refill to an account's bucket, less
// what silent entries may be admitting, and returns its level.
func (a *Allocator) refill(now time.Time, account *matcher.Account) float64 {
	rate, burst := a.Window.rate(account), a.Window.burst(account)
	bucket := a.buckets[account.Name]
	isNew := bucket == nil
	if isNew {
		bucket = &globalBucket{
			level:      a.initialLevel(now, account),
			refilledAt: now,
		}
		a.buckets[account.Name] = bucket
	}
	lastRefill := bucket.refilledAt
	passed := now.Sub(lastRefill)
	bucket.refilledAt = now
	level := bucket.level + rate*passed.Seconds()
	for _, e := range a.silentEntries {
		if silence := now.Sub(e.reportedAt); silence > silenceTimeout {
			// The initial level leaves out what entries have admitted since their reports.
			uncharged := passed
			if isNew {
				uncharged = silence
			}
			admitted := rate * uncharged.Seconds() * a.assumedShare(e, account.Name)
			level -= admitted
			e.recordAssumed(account.Name, admitted)
		}
	}
	if isNew {
		lastRefill = a.earlier.respondedAt
	}
	level -= a.chargeUnheard(now, lastRefill, account.Name, rate)
	// Without polls no refill comes between, and what is admitted meanwhile comes out of what accrues, not of a full bucket.
	bucket.level = min(burst, level)
	return bucket.level
}

// initialLevel returns the level of an account's bucket once this instance has
// received the entries' first polls.
//
// A leader that guesses could give out again what its predecessor already gave out:
// if two leaders are lost within one window, an account could run more than its
// limit allows. The most recent level reported to any entry, less the usage that no
// leader has charged since, is exact except for responses that were in flight.
func (a *Allocator) initialLevel(now time.Time, account *matcher.Account) float64 {
	rate, burst := a.Window.rate(account), a.Window.burst(account)
	settleTime := min(settleDelay, now.Sub(a.Since))
	level, age, unacknowledged := defaultLevelFraction*burst+rate*settleTime.Seconds(), time.Duration(0), 0.0
	for _, e := range a.entries {
		demand := e.demands[account.Name]
		unacknowledged += demand.Unacknowledged
		if demand.LevelAge == 0 {
			continue
		}
		passed := now.Sub(e.reportedAt) + demand.LevelAge
		if age == 0 || passed < age {
			age = passed
			level = demand.Level + rate*passed.Seconds()
		}
	}
	return min(burst, level) - unacknowledged
}
