package allocator

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// Figures is what a leader believes of one account.
type Figures struct {
	// Level and Burst are of the account's bucket in tokens, Demand is the demand of all entries in tokens a second.
	Level  float64
	Burst  float64
	Demand float64
	// Entries is the number of entries that hold shares, Silent of those that have not polled lately.
	Entries int
	Silent  int
}

// Figures returns what is believed of an account; known is false while it has no bucket.
func (a *Allocator) Figures(now time.Time, account *matcher.Account) (figures Figures, known bool) {
	bucket := a.buckets[account.Name]
	if bucket == nil {
		return Figures{}, false
	}
	entries := a.CountEntries(now)
	return Figures{
		Level:   bucket.level,
		Burst:   a.Window.burst(account),
		Demand:  a.demandRates[account.Name],
		Entries: entries,
		Silent:  len(a.silentEntries),
	}, true
}

// Allowed returns how many tokens of an account may run in any one window.
func (w Window) Allowed(account *matcher.Account) float64 { return w.allowed(account) }

// DemandShare returns an entry's share of an account's limit by the demand that entries have reported, from 0 to 1.
func (a *Allocator) DemandShare(now time.Time, entry units.Instance, account units.Account) float64 {
	own := a.entries[entry]
	if own == nil {
		return 0
	}
	return a.shareByDemand(own.demands[account], account, a.CountEntries(now))
}
