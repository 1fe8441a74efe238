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
	// entry in reach. Each second longer, large calls of accounts far from their
	// limits are refused: 25 after one lost leader at eight entries.
	settleAfter = 800 * time.Millisecond
	// firstLevel is the part of a bucket that a leader takes to be full where no
	// entry was told of its level by one before.
	firstLevel = 0.1
	// silentAfter is the time without a poll after which an entry is taken to
	// admit its whole part of the rate.
	silentAfter = 600 * time.Millisecond
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
}

type entry struct {
	incarnation units.Incarnation
	heardAt     time.Time
	accounts    map[units.Account]Demand
	// assumed is what was charged for the entry while it was silent.
	assumed map[units.Account]float64
	parts   map[units.Account]float64
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
	}
	known := d.entries[name]
	for account, demand := range accounts {
		bucket := d.buckets[account]
		switch {
		case bucket == nil:
		case known == nil:
			// What it admitted since it heard a leader before this one was charged
			// by nobody. What this one has forgotten with the entry's lease is.
			if demand.LevelAge == 0 || demand.LevelAge > now.Sub(d.Since) {
				bucket.level -= demand.Unheard
			}
		case known.incarnation != incarnation:
			bucket.level -= demand.Spent
		default:
			bucket.level -= demand.Spent - known.accounts[account].Spent - known.assumed[account]
		}
	}
	parts := make(map[units.Account]float64)
	if known != nil {
		parts = known.parts
	}
	d.entries[name] = &entry{
		incarnation: incarnation,
		heardAt:     now,
		accounts:    accounts,
		assumed:     make(map[units.Account]float64),
		parts:       parts,
	}
}

// Forget takes out an entry that has said that it stops.
func (d *Divider) Forget(name units.Instance) { delete(d.entries, name) }

// Uses reports whether an entry uses parts.
func (d *Divider) Uses(name units.Instance) bool { return d.entries[name] != nil }

// Entries returns how many entries use parts now.
func (d *Divider) Entries(now time.Time) int {
	for name, e := range d.entries {
		if now.Sub(e.heardAt) > d.Lease {
			delete(d.entries, name)
		}
	}
	return len(d.entries)
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
	if now.Sub(d.Since) < settleAfter {
		return 0, 0, false
	}
	level = d.refill(now, account)
	total := 0.0
	for _, e := range d.entries {
		total += e.accounts[account.Name].Rate
	}
	part = 1 / float64(count)
	if total > 0 {
		part = evenPart*part + (1-evenPart)*own.accounts[account.Name].Rate/total
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
	for _, e := range d.entries {
		if now.Sub(e.heardAt) > silentAfter {
			admitted := rate * passed * e.parts[account.Name]
			bucket.level -= admitted
			e.assumed[account.Name] += admitted
		}
	}
	return bucket.level
}

// inherited returns what an account's bucket holds when this instance has heard the
// entries for the first time.
//
// A leader that guesses gives out what its predecessor already did: with two of
// them lost within one window an account ran 1.6% more than its limit allows. The
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
