package matcher

import (
	"cmp"
	"maps"
	"slices"
)

// maxRanks is the number of ranks that upstreams distinguish.
const maxRanks = 10

// Urgencies is what a call is ranked by: first the urgency of its account, or that of its
// route if the account has none; then the urgency of its route.
type Urgencies struct {
	Urgency      int
	RouteUrgency int
}

// NewUrgencies returns the urgencies of an account's calls on a route. The account may be
// nil.
func NewUrgencies(account *Account, route *Route) Urgencies {
	u := Urgencies{
		Urgency:      route.Urgency,
		RouteUrgency: route.Urgency,
	}
	if account != nil && account.HasUrgency {
		u.Urgency = account.Urgency
	}
	return u
}

// computeRanks returns the ranks of all urgencies that calls can have, below maxRanks.
//
// Most accounts have the same urgency. If calls were ranked by that alone, calls with a
// target of some tenths of a second would wait at upstreams behind prompts whose prefill
// takes as long.
func computeRanks(d *Configuration) map[Urgencies]int {
	urgencies := make(map[Urgencies]bool)
	for i := range d.Routes {
		urgencies[NewUrgencies(nil, &d.Routes[i])] = true
		for j := range d.Accounts {
			urgencies[NewUrgencies(&d.Accounts[j], &d.Routes[i])] = true
		}
	}
	sorted := slices.SortedFunc(maps.Keys(urgencies), func(a, b Urgencies) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.RouteUrgency, b.RouteUrgency))
	})
	ranks := make(map[Urgencies]int, len(sorted))
	for i, u := range sorted {
		ranks[u] = i
		if len(sorted) > maxRanks {
			ranks[u] = i * maxRanks / len(sorted)
		}
	}
	return ranks
}

// DeferralRanks are the ranks of one pair of urgencies where calls are deferred.
type DeferralRanks struct {
	// OnTime is the rank of calls that can be on time, and Deferred that of the others. Calls are not
	// deferred where both are the same, as at the last of ten ranks.
	OnTime   int
	Deferred int
}

// computeDeferralRanks divides each rank into two as far as maxRanks allows.
//
// Where there are too few ranks, deferred calls of the less urgent ranks share that of the calls on time of
// the next rank, with which they take turns in the order of arrival: they go ahead of no call of a higher
// urgency, and no later call of a lower urgency goes ahead of them. The deferred calls of the last rank have
// nothing to yield to but calls of their own urgency.
func computeDeferralRanks(ranks map[Urgencies]int) map[Urgencies]DeferralRanks {
	count := 0
	for _, rank := range ranks {
		count = max(count, rank+1)
	}
	// own is how many of the most urgent ranks have one of their own for deferred calls. The last rank
	// needs one too, as there is no next rank to share.
	own := min(count, max(0, maxRanks-count-1))
	divided := make(map[Urgencies]DeferralRanks, len(ranks))
	for u, rank := range ranks {
		onTime := rank + min(rank, own)
		divided[u] = DeferralRanks{
			OnTime:   onTime,
			Deferred: min(onTime+1, maxRanks-1),
		}
	}
	return divided
}
