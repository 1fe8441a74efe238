package allocator

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// earlierGrants is what entries report of the shares that an earlier leader granted them. Entries that are cut off
// use such shares until their leases expire. A leader that has never received a poll of such an entry learns of it
// from the others: they report how many entries shared the limits, and the shares of those that do not report are
// what is missing to the whole.
type earlierGrants struct {
	// heard are the entries that have polled this leader.
	heard map[units.Instance]struct{}
	// entries is the number of entries in the latest response of an earlier leader, respondedAt its time.
	entries     int
	respondedAt time.Time
	// shares are the sums of the earlier shares that entries have reported, and charged is what was charged for
	// entries that have not polled this leader.
	shares  map[units.Account]float64
	charged map[units.Account]float64
}

// isEarlier reports whether an entry's last response came from an earlier leader.
func (a *Allocator) isEarlier(now time.Time, demand Demand) bool {
	return demand.LevelAge > now.Sub(a.Since)
}

func (a *Allocator) hasEarlier(now time.Time, demands map[units.Account]Demand) bool {
	for _, demand := range demands {
		if a.isEarlier(now, demand) {
			return true
		}
	}
	return false
}

// recordEarlier records the shares that an entry reports in its first poll. It returns what was charged for the entry
// before that and is to be replaced by what it reports.
func (a *Allocator) recordEarlier(now time.Time, name units.Instance, demands map[units.Account]Demand) map[units.Account]float64 {
	g := &a.earlier
	if _, heard := g.heard[name]; heard {
		return nil
	}
	// Only an entry with an earlier share matters after the lease; others would add to the set without bound.
	if now.Sub(a.Since) > a.Lease && !a.hasEarlier(now, demands) {
		return nil
	}
	if g.heard == nil {
		g.heard = make(map[units.Instance]struct{})
		g.shares = make(map[units.Account]float64)
		g.charged = make(map[units.Account]float64)
	}
	g.heard[name] = struct{}{}
	credits := make(map[units.Account]float64)
	for account, demand := range demands {
		if !a.isEarlier(now, demand) {
			continue
		}
		if unheard := 1 - g.shares[account]; unheard > 0 {
			credits[account] = g.charged[account] * min(1, demand.Share/unheard)
			g.charged[account] -= credits[account]
		}
		g.shares[account] += demand.Share
		if at := now.Add(-demand.LevelAge); demand.Entries > 0 && at.After(g.respondedAt) {
			g.entries, g.respondedAt = demand.Entries, at
		}
	}
	return credits
}

// chargeUnheard returns how many tokens to charge for entries that have not polled this leader, for the time since
// the last charge; rate is that of the account's bucket.
func (a *Allocator) chargeUnheard(now, since time.Time, account units.Account, rate float64) float64 {
	g := &a.earlier
	if len(g.heard) >= g.entries {
		return 0
	}
	// No lease of an earlier leader's response lasts longer.
	if end := a.Since.Add(a.Lease); now.After(end) {
		now = end
	}
	admitted := rate * max(0, now.Sub(since).Seconds()) * max(0, 1-g.shares[account])
	g.charged[account] += admitted
	return admitted
}

// assumedShare returns the share that a silent entry is assumed to use. Without a grant of this leader, that is the
// one of an earlier leader, which an older version of an entry does not report.
func (a *Allocator) assumedShare(e *entryState, account units.Account) float64 {
	if share, granted := e.shares[account]; granted {
		return share
	}
	demand, reported := e.demands[account]
	switch {
	case !reported:
		return 0
	case demand.LevelAge == 0:
		return initialShare
	case demand.Share > 0:
		return demand.Share
	}
	return a.shareByDemand(demand, account, len(a.entries))
}
