package allocator

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
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
