package auditor

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Carried is what one instance carried in a span of time.
type Carried struct {
	// Name is an entry's or an upstream's.
	Name    string
	Service units.Service
	Calls   int
	// UnderWay is how many calls were there at once, on average.
	UnderWay float64
	Answered int
	// Others is how many entries sent calls to an upstream, or to how many upstreams an
	// entry did.
	Others int
	// First and Late are the median and the 95th percentile of the time to the first
	// byte, Pause the 95th percentile of the longest pauses of streams.
	First time.Duration
	Late  time.Duration
	Pause time.Duration
}

// Share says how evenly the calls of a span were spread.
type Share struct {
	// Of is the service whose upstreams are meant, "" for the entries.
	Of        units.Service
	Instances int
	Calls     int
	// Uneven is how many times the mean the one with the most calls under way had.
	Uneven float64
}

// Audit is what a span of a fleet's logs comes to.
type Audit struct {
	From      time.Time
	Until     time.Time
	Entries   []Carried
	Upstreams []Carried
	Shares    []Share
	// Routes tells what became of the calls, route by route.
	Routes []Ledger
}

// Take audits the last span of some calls; the newest of them ends it.
func Take(calls []Call, span time.Duration) Audit {
	var a Audit
	for i := range calls {
		if calls[i].Ended.After(a.Until) {
			a.Until = calls[i].Ended
		}
	}
	a.From = a.Until.Add(-span)
	entries, upstreams := make(sums), make(sums)
	routes := make(ledgers)
	for i := range calls {
		a.add(&calls[i], entries, upstreams)
		if !calls[i].Ended.Before(a.From) {
			routes.take(&calls[i])
		}
	}
	a.Routes = routes.sorted()
	a.Entries = entries.carried(span)
	a.Upstreams = upstreams.carried(span)
	a.Shares = shares(a.Entries, a.Upstreams)
	return a
}

func (a *Audit) add(c *Call, entries, upstreams sums) {
	began := c.Began()
	overlap := earlier(c.Ended, a.Until).Sub(later(began, a.From))
	if overlap < 0 || c.Ended.Before(a.From) {
		return
	}
	entry := entries.of(sumKey{name: string(c.Entry)})
	entry.take(c, overlap, c.Outcome == answered)
	for i, v := range c.Visits {
		upstream := upstreams.of(sumKey{
			name:    string(v.Upstream),
			service: c.Service,
		})
		entry.others[string(v.Upstream)] = true
		upstream.others[string(c.Entry)] = true
		if i < len(c.Visits)-1 {
			// Only the last attempt has the time that the line tells.
			upstream.calls++
			continue
		}
		upstream.take(c, overlap, v.End == answered)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

type sumKey struct {
	name    string
	service units.Service
}

// sum adds up one instance.
type sum struct {
	calls    int
	answered int
	underWay time.Duration
	others   map[string]bool
	firsts   []time.Duration
	pauses   []time.Duration
}

type sums map[sumKey]*sum

func (s sums) of(key sumKey) *sum {
	if s[key] == nil {
		s[key] = &sum{others: make(map[string]bool)}
	}
	return s[key]
}

func (s *sum) take(c *Call, overlap time.Duration, answered bool) {
	s.calls++
	s.underWay += overlap
	if !answered {
		return
	}
	s.answered++
	s.firsts = append(s.firsts, c.First)
	s.pauses = append(s.pauses, c.Pause)
}

// carried returns the sums, the instances with most under way first.
func (s sums) carried(span time.Duration) []Carried {
	list := make([]Carried, 0, len(s))
	for key, sum := range s {
		list = append(list, Carried{
			Name:     key.name,
			Service:  key.service,
			Calls:    sum.calls,
			UnderWay: sum.underWay.Seconds() / span.Seconds(),
			Answered: sum.answered,
			Others:   len(sum.others),
			First:    quantile(sum.firsts, 0.5),
			Late:     quantile(sum.firsts, 0.95),
			Pause:    quantile(sum.pauses, 0.95),
		})
	}
	slices.SortFunc(list, func(a, b Carried) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.UnderWay, a.UnderWay), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// shares tells how uneven entries, and each service's upstreams, were used.
func shares(entries, upstreams []Carried) []Share {
	all := []Share{shareOf("", entries)}
	for len(upstreams) > 0 {
		service := upstreams[0].Service
		end := slices.IndexFunc(upstreams, func(c Carried) bool { return c.Service != service })
		if end < 0 {
			end = len(upstreams)
		}
		all = append(all, shareOf(service, upstreams[:end]))
		upstreams = upstreams[end:]
	}
	return all
}

func shareOf(of units.Service, list []Carried) Share {
	share := Share{
		Of:        of,
		Instances: len(list),
	}
	most, total := 0.0, 0.0
	for _, c := range list {
		share.Calls += c.Calls
		most = max(most, c.UnderWay)
		total += c.UnderWay
	}
	if total > 0 {
		share.Uneven = most * float64(len(list)) / total
	}
	return share
}
