package matcher

import "testing"

// Guards against quick calls that wait behind long ones of the same account, and against a
// route's urgency that takes precedence over a more urgent account.
func TestRank(t *testing.T) {
	urgent := Account{Name: "urgent", Urgency: 0, HasUrgency: true}
	usual := Account{Name: "usual", Urgency: 1, HasUrgency: true}
	quick := Route{Name: "quick", Urgency: 0}
	long := Route{Name: "long", Urgency: 1}
	late := Route{Name: "late", Urgency: 2}
	table := NewTable(&Configuration{
		Routes:   []Route{late, quick, long},
		Accounts: []Account{usual, urgent},
	})
	order := []struct {
		name    string
		account *Account
		route   *Route
	}{
		{name: "urgent account, quick route", account: &urgent, route: &quick},
		{name: "urgent account, long route", account: &urgent, route: &long},
		{name: "urgent account, late route", account: &urgent, route: &late},
		{name: "usual account, quick route", account: &usual, route: &quick},
		{name: "usual account, long route", account: &usual, route: &long},
		{name: "usual account, late route", account: &usual, route: &late},
	}
	for i := range len(order) - 1 {
		before := table.Rank(NewUrgencies(order[i].account, order[i].route))
		after := table.Rank(NewUrgencies(order[i+1].account, order[i+1].route))
		if before >= after {
			t.Errorf("%s before %s: got ranks %d and %d, want the first lower", order[i].name, order[i+1].name, before, after)
		}
	}
	if got, want := table.Rank(NewUrgencies(nil, &quick)), 0; got != want {
		t.Errorf("quick route without an account: got rank %d, want %d", got, want)
	}
}

// Guards against ranks that upstreams do not support in a configuration with many
// urgencies.
func TestRanksAreBounded(t *testing.T) {
	d := &Configuration{}
	for i := range 7 {
		d.Routes = append(d.Routes, Route{Urgency: i})
		d.Accounts = append(d.Accounts, Account{Urgency: i, HasUrgency: true})
	}
	table := NewTable(d)
	last := 0
	for i := range d.Accounts {
		for j := range d.Routes {
			rank := table.Rank(NewUrgencies(&d.Accounts[i], &d.Routes[j]))
			if rank < last || rank >= maxRanks {
				t.Fatalf("account %d, route %d: got rank %d after %d, want none lower and at most %d", i, j, rank, last, maxRanks-1)
			}
			last = rank
		}
	}
}
