package matcher

import (
	"slices"
	"strings"

	"github.com/rosecroft/rosecroft/src/units"
)

// Table looks up a configuration's routes, services and accounts. It is immutable.
type Table struct {
	Configuration *Configuration

	hosts    map[string][]*Route
	keys     map[string]*Account
	services map[units.Service]*Service
	accounts map[units.Account]*Account
	ranks    map[Urgencies]int
	// deferral are the ranks where calls are deferred.
	deferral map[Urgencies]DeferralRanks
}

// NewTable returns the table of a configuration that has passed Validate.
func NewTable(d *Configuration) *Table {
	t := &Table{
		Configuration: d,
		hosts:         make(map[string][]*Route),
		keys:          make(map[string]*Account),
		services:      make(map[units.Service]*Service),
		accounts:      make(map[units.Account]*Account),
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &d.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		t.accounts[d.Accounts[i].Name] = &d.Accounts[i]
		for _, key := range d.Accounts[i].Keys {
			t.keys[key] = &d.Accounts[i]
		}
	}
	t.ranks = computeRanks(d)
	t.deferral = computeDeferralRanks(t.ranks)
	return t
}

// Rank returns the rank of a call's urgencies among all those of the configuration; 0 is
// the most urgent.
func (t *Table) Rank(u Urgencies) int { return t.ranks[u] }

// DeferralRanks returns the ranks of a call's urgencies where calls are deferred.
func (t *Table) DeferralRanks(u Urgencies) DeferralRanks { return t.deferral[u] }

// Route returns the route of a host whose prefix is the longest match for the path, or nil
// for none. A port in the host is ignored.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that holds a key, or nil for none.
func (t *Table) AccountByKey(key string) *Account { return t.keys[key] }

// Account returns an account by its name, or nil for none.
func (t *Table) Account(name units.Account) *Account { return t.accounts[name] }

// Service returns a service by its name, or nil for none.
func (t *Table) Service(name units.Service) *Service { return t.services[name] }

// ChooseService returns the service for a call of a route. chance is a random number in [0, 1)
// that distributes the calls in proportion to the weights.
func (r *Route) ChooseService(chance float64) units.Service {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	left := chance * float64(total)
	chosen := units.Service("")
	for _, s := range r.Splits {
		if s.Weight == 0 {
			continue
		}
		chosen = s.Service
		left -= float64(s.Weight)
		if left < 0 {
			break
		}
	}
	return chosen
}

// Repeatable reports whether a call of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
