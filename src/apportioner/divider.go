package apportioner

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// evenPart is the part of each limit that is shared evenly, so that an entry
	// without lately any call of an account can serve its first ones.
	evenPart = 0.15
	// settleAfter is how long a new leader leaves parts as they are: after
	// several poll intervals it has heard every entry in reach.
	settleAfter = 1200 * time.Millisecond
)

// Divider gives each entry its part of each account's limit; it is a state
// machine without a clock.
type Divider struct {
	// Lease is how long an entry uses its part without contact.
	Lease time.Duration
	// Since is when this instance began to divide.
	Since time.Time

	entries map[units.Instance]*demand
}

type demand struct {
	heardAt  time.Time
	accounts map[units.Account]float64
}

// Hear notes what an entry's callers asked for lately, in tokens a second by account.
func (d *Divider) Hear(now time.Time, entry units.Instance, accounts map[units.Account]float64) {
	if d.entries == nil {
		d.entries = make(map[units.Instance]*demand)
	}
	d.entries[entry] = &demand{
		heardAt:  now,
		accounts: accounts,
	}
}

// Forget takes out an entry that has said that it stops.
func (d *Divider) Forget(entry units.Instance) { delete(d.entries, entry) }

// Entries returns how many entries use parts now.
func (d *Divider) Entries(now time.Time) int {
	for name, e := range d.entries {
		if now.Sub(e.heardAt) > d.Lease {
			delete(d.entries, name)
		}
	}
	return len(d.entries)
}

// Part returns an entry's part of an account's limit, from 0 to 1, and false
// while that is not known well enough to change what the entry has.
func (d *Divider) Part(now time.Time, entry units.Instance, account units.Account) (float64, bool) {
	if now.Sub(d.Since) < settleAfter {
		return 0, false
	}
	count := d.Entries(now)
	own, known := d.entries[entry]
	if !known {
		return 0, false
	}
	total := 0.0
	for _, e := range d.entries {
		total += e.accounts[account]
	}
	even := 1 / float64(count)
	if total <= 0 {
		return even, true
	}
	return evenPart*even + (1-evenPart)*own.accounts[account]/total, true
}
