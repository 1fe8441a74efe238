package matcher

import (
	"cmp"
	"maps"
	"slices"
)

// mostRanks is how many ranks upstreams tell apart.
const mostRanks = 10

// Urgencies are what a call is ranked by: that of its account, or of its route where the
// account has none, and then that of its route.
type Urgencies struct {
	Urgency int
	Route   int
}

// UrgenciesOf returns the urgencies of an account's calls on a route; the account may be nil.
func UrgenciesOf(account *Account, route *Route) Urgencies {
	u := Urgencies{
		Urgency: route.Urgency,
		Route:   route.Urgency,
	}
	if account != nil && account.HasUrgency {
		u.Urgency = account.Urgency
	}
	return u
}

// ranksOf returns the rank of all urgencies that calls can have.
//
// Most accounts have the same urgency. Ranked by that alone, calls that callers want within
// some tenths of a second wait at upstreams behind prompts that are read for as long.
func ranksOf(d *Declaration) map[Urgencies]int {
	found := make(map[Urgencies]bool)
	for i := range d.Routes {
		found[UrgenciesOf(nil, &d.Routes[i])] = true
		for j := range d.Accounts {
			found[UrgenciesOf(&d.Accounts[j], &d.Routes[i])] = true
		}
	}
	sorted := slices.SortedFunc(maps.Keys(found), func(a, b Urgencies) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Route, b.Route))
	})
	ranks := make(map[Urgencies]int, len(sorted))
	for i, u := range sorted {
		ranks[u] = i
		if len(sorted) > mostRanks {
			ranks[u] = i * mostRanks / len(sorted)
		}
	}
	return ranks
}
