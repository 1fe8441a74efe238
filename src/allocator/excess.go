package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// excessTimeout is the time without a call beyond the limit after which an account counts as within it; an account
// at its limit would otherwise be reported at each poll.
const excessTimeout = 2 * time.Second

// Excess is a change of whether an account asks for more than its limit, as an entry sees it.
type Excess struct {
	Account  units.Account
	Exceeded bool
	// Demand and Limit are in tokens per second, for all entries; Demand is 0 if unknown.
	Demand float64
	Limit  float64
}

// TakeExcesses returns what has changed since the last time, by account; nothing changes without ByUrgency.
func (l *LocalLimiter) TakeExcesses(now time.Time) []Excess {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []Excess
	for name, b := range l.buckets {
		exceeded := !b.exceededAt.IsZero() && now.Sub(b.exceededAt) < excessTimeout
		if exceeded == b.reportedExcess {
			continue
		}
		b.reportedExcess = exceeded
		changes = append(changes, Excess{
			Account:  name,
			Exceeded: exceeded,
			Demand:   b.totalDemand,
			Limit:    b.globalRate,
		})
	}
	slices.SortFunc(changes, func(a, b Excess) int { return cmp.Compare(a.Account, b.Account) })
	return changes
}
