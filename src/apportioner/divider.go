package apportioner

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// evenPart is the part of each limit that is shared evenly, so that an entry
	// without lately any call of an account can serve its first ones.
	evenPart = 0.2
	// settleAfter is how long a new leader leaves parts as they are: after a poll
	// that waited for the last leader in vain, and some more, it has heard every
	// entry in reach. For as long, large calls of accounts far from their limits are
	// refused.
	settleAfter = 800 * time.Millisecond
	// firstLevel is the part of a bucket that a leader takes to be full where no
	// entry was told of its level by one before.
	firstLevel = 0.1
	// silentAfter is the time without a poll after which an entry is taken to
	// admit its whole part of the rate.
	silentAfter = 600 * time.Millisecond
	// reviewInterval is how often all entries are looked through: a small part of
	// the time between two polls of one.
	reviewInterval = 20 * time.Millisecond
)

// Demand is what an entry's callers asked of an account.
type Demand struct {
	// Rate is what they asked for lately, in tokens a second, Spent what was
	// admitted since the entry's start.
	Rate  float64
	Spent float64
	// Unheard is the part of Spent that no leader has answered.
	Unheard float64
	// Level is what the account's bucket held by the last leader's answer, LevelAge
	// how long ago that came, 0 for never.
	Level    float64
	LevelAge time.Duration
}

// Divider keeps the accounts' buckets and lends them to entries; it is a state
// machine without a clock.
type Divider struct {
	// Lease is how long an entry uses its part without contact.
	Lease  time.Duration
	Window Window
	// Since is when this instance began to divide.
	Since time.Time

	entries map[units.Instance]*entry
	buckets map[units.Account]*pool
	// asked is the sum of the entries' rates, and silent the entries without a poll
	// for silentAfter; both are made anew at reviewedAt.
	asked      map[units.Account]float64
	silent     []*entry
	reviewedAt time.Time
}

type entry struct {
	incarnation units.Incarnation
	heardAt     time.Time
	accounts    map[units.Account]Demand
	// assumed is what was charged for the entry while it was silent.
	assumed map[units.Account]float64
	parts   map[units.Account]float64
}

// assume notes what was charged for the entry while it is silent.
func (e *entry) assume(account units.Account, tokens float64) {
	if e.assumed == nil {
		e.assumed = make(map[units.Account]float64)
	}
	e.assumed[account] += tokens
}

// pool is one account's bucket for all entries.
type pool struct {
	level float64
	at    time.Time
}

// Hear charges what an entry has admitted since its last poll.
func (d *Divider) Hear(now time.Time, name units.Instance, incarnation units.Incarnation, accounts map[units.Account]Demand) {
	if d.entries == nil {
		d.entries = make(map[units.Instance]*entry)
		d.buckets = make(map[units.Account]*pool)
		d.asked = make(map[units.Account]float64)
	}
	e, known := d.entries[name]
	if !known {
		e = &entry{parts: make(map[units.Account]float64)}
		d.entries[name] = e
	}
	for account, demand := range accounts {
		d.asked[account] += demand.Rate - e.accounts[account].Rate
		bucket := d.buckets[account]
		switch {
		case bucket == nil:
		case !known:
			// What it admitted since it heard a leader before this one was charged
			// by nobody. What this one has forgotten with the entry's lease is.
			if demand.LevelAge == 0 || demand.LevelAge > now.Sub(d.Since) {
				bucket.level -= demand.Unheard
			}
		case e.incarnation != incarnation:
			bucket.level -= demand.Spent
		default:
			bucket.level -= demand.Spent - e.accounts[account].Spent - e.assumed[account]
		}
	}
	e.incarnation = incarnation
	e.heardAt = now
	e.accounts = accounts
	clear(e.assumed)
}

// Forget takes out an entry that has said that it stops.
func (d *Divider) Forget(name units.Instance) {
	delete(d.entries, name)
	d.reviewedAt = time.Time{}
}

// Uses reports whether an entry uses parts.
func (d *Divider) Uses(name units.Instance) bool { return d.entries[name] != nil }

// Entries returns how many entries use parts now.
func (d *Divider) Entries(now time.Time) int {
	d.review(now)
	return len(d.entries)
}

// Settled reports whether every entry in reach has been heard.
func (d *Divider) Settled(now time.Time) bool { return now.Sub(d.Since) >= settleAfter }

// review looks through all entries: at each poll it would cost the leader the square
// of their number, and a leader of two hundred would have time for nothing else.
func (d *Divider) review(now time.Time) {
	if !d.reviewedAt.IsZero() && now.Sub(d.reviewedAt) < reviewInterval {
		return
	}
	d.reviewedAt = now
	d.silent = d.silent[:0]
	// Made anew, the sums do not keep what rounding leaves.
	clear(d.asked)
	for name, e := range d.entries {
		age := now.Sub(e.heardAt)
		if age > d.Lease {
			delete(d.entries, name)
			continue
		}
		if age > silentAfter {
			d.silent = append(d.silent, e)
		}
		for account, demand := range e.accounts {
			d.asked[account] += demand.Rate
		}
	}
}

// Part returns an entry's part of an account's limit, from 0 to 1, and what all
// entries may still admit; false while that is not known well enough to change
// what the entry has.
func (d *Divider) Part(now time.Time, name units.Instance, account *matcher.Account) (part, level float64, known bool) {
	count := d.Entries(now)
	own := d.entries[name]
	if own == nil {
		return 0, 0, false
	}
	if !d.Settled(now) {
		return 0, 0, false
	}
	level = d.refill(now, account)
	part = 1 / float64(count)
	if total := d.asked[account.Name]; total > 0 {
		part = evenPart*part + (1-evenPart)*min(1, own.accounts[account.Name].Rate/total)
	}
	own.parts[account.Name] = part
	return part, level, true
}

// refill lets an account's bucket fill, less what silent entries may be admitting.
func (d *Divider) refill(now time.Time, account *matcher.Account) float64 {
	rate, burst := d.Window.rate(account), d.Window.burst(account)
	bucket := d.buckets[account.Name]
	if bucket == nil {
		bucket = &pool{
			level: d.inherited(now, account),
			at:    now,
		}
		d.buckets[account.Name] = bucket
	}
	passed := now.Sub(bucket.at).Seconds()
	bucket.at = now
	bucket.level = min(burst, bucket.level+rate*passed)
	for _, e := range d.silent {
		if now.Sub(e.heardAt) > silentAfter {
			admitted := rate * passed * e.parts[account.Name]
			bucket.level -= admitted
			e.assume(account.Name, admitted)
		}
	}
	return bucket.level
}

// inherited returns what an account's bucket holds when this instance has heard the
// entries for the first time.
//
// A leader that guesses gives out what its predecessor already did: with two of
// them lost within one window an account runs more than its limit allows. The
// last level that any entry was told, less what nobody has charged since, is exact
// but for answers that were on their way.
func (d *Divider) inherited(now time.Time, account *matcher.Account) float64 {
	rate, burst := d.Window.rate(account), d.Window.burst(account)
	settled := min(settleAfter, now.Sub(d.Since))
	level, age, unheard := firstLevel*burst+rate*settled.Seconds(), time.Duration(0), 0.0
	for _, e := range d.entries {
		told := e.accounts[account.Name]
		unheard += told.Unheard
		if told.LevelAge == 0 {
			continue
		}
		passed := now.Sub(e.heardAt) + told.LevelAge
		if age == 0 || passed < age {
			age = passed
			level = told.Level + rate*passed.Seconds()
		}
	}
	return min(burst, level) - unheard
}
