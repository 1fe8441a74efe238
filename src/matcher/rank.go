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
