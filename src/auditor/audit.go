package auditor

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// InstanceLoad is the load that one instance handled in a period.
type InstanceLoad struct {
	// Name is the name of an entry or an upstream.
	Name    string
	Service units.Service
	Calls   int
	// Concurrency is the mean number of calls in progress.
	Concurrency float64
	Answered    int
	// Counterparts is the number of entries that sent calls to an upstream, or the number of
	// upstreams to which an entry sent calls.
	Counterparts int
	// MedianFirstByte and P95FirstByte are the median and the 95th percentile of the time to the
	// first byte, P95LongestPause is the 95th percentile of the longest pauses of streams.
	MedianFirstByte time.Duration
	P95FirstByte    time.Duration
	P95LongestPause time.Duration
}

// Distribution describes how evenly the calls of a period were distributed.
type Distribution struct {
	// Service is the service whose upstreams are described, "" for the entries.
	Service   units.Service
	Instances int
	Calls     int
	// Imbalance is the ratio of the highest concurrency of an instance to the mean.
	Imbalance float64
}

// Audit is the evaluation of a period of the entries' logs.
type Audit struct {
	From          time.Time
	Until         time.Time
	Entries       []InstanceLoad
	Upstreams     []InstanceLoad
	Distributions []Distribution
	// Routes holds the outcomes of the calls by route.
	Routes []RouteSummary
}

// NewAudit evaluates the period of length span that ends with the latest call.
func NewAudit(calls []Call, span time.Duration) Audit {
	var a Audit
	for i := range calls {
		if calls[i].EndedAt.After(a.Until) {
			a.Until = calls[i].EndedAt
		}
	}
	a.From = a.Until.Add(-span)
	entries, upstreams := make(totals), make(totals)
	routes := make(routeSummaries)
	for i := range calls {
		a.addCall(&calls[i], entries, upstreams)
		if !calls[i].EndedAt.Before(a.From) {
			routes.addCall(&calls[i])
		}
	}
	a.Routes = routes.sorted()
	a.Entries = entries.loads(span)
	a.Upstreams = upstreams.loads(span)
	a.Distributions = distributions(a.Entries, a.Upstreams)
	return a
}

func (a *Audit) addCall(c *Call, entries, upstreams totals) {
	startedAt := c.StartedAt()
	overlap := earlier(c.EndedAt, a.Until).Sub(later(startedAt, a.From))
	if overlap < 0 || c.EndedAt.Before(a.From) {
		return
	}
	entry := entries.get(instanceKey{name: string(c.Entry)})
	entry.addCall(c, overlap, c.Outcome == outcomeAnswered)
	for i, v := range c.Attempts {
		upstream := upstreams.get(instanceKey{
			name:    string(v.Upstream),
			service: c.Service,
		})
		entry.counterparts[string(v.Upstream)] = true
		upstream.counterparts[string(c.Entry)] = true
		if i < len(c.Attempts)-1 {
			// The times in the log line are those of the last attempt.
			upstream.calls++
			continue
		}
		upstream.addCall(c, overlap, v.Result == outcomeAnswered)
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

type instanceKey struct {
	name    string
	service units.Service
}

// instanceTotals holds the totals of one instance.
type instanceTotals struct {
	calls        int
	answered     int
	callTime     time.Duration
	counterparts map[string]bool
	firstBytes   []time.Duration
	pauses       []time.Duration
}

type totals map[instanceKey]*instanceTotals

func (s totals) get(key instanceKey) *instanceTotals {
	if s[key] == nil {
		s[key] = &instanceTotals{counterparts: make(map[string]bool)}
	}
	return s[key]
}

func (i *instanceTotals) addCall(c *Call, overlap time.Duration, answered bool) {
	i.calls++
	i.callTime += overlap
	if !answered {
		return
	}
	i.answered++
	i.firstBytes = append(i.firstBytes, c.FirstByte)
	i.pauses = append(i.pauses, c.LongestPause)
}

// loads returns the load of each instance, sorted by service and descending concurrency.
func (s totals) loads(span time.Duration) []InstanceLoad {
	list := make([]InstanceLoad, 0, len(s))
	for key, t := range s {
		list = append(list, InstanceLoad{
			Name:            key.name,
			Service:         key.service,
			Calls:           t.calls,
			Concurrency:     t.callTime.Seconds() / span.Seconds(),
			Answered:        t.answered,
			Counterparts:    len(t.counterparts),
			MedianFirstByte: quantile(t.firstBytes, 0.5),
			P95FirstByte:    quantile(t.firstBytes, 0.95),
			P95LongestPause: quantile(t.pauses, 0.95),
		})
	}
	slices.SortFunc(list, func(a, b InstanceLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Concurrency, a.Concurrency), cmp.Compare(a.Name, b.Name))
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

// distributions returns how evenly the entries, and the upstreams of each service, were used.
func distributions(entries, upstreams []InstanceLoad) []Distribution {
	list := []Distribution{newDistribution("", entries)}
	for len(upstreams) > 0 {
		service := upstreams[0].Service
		end := slices.IndexFunc(upstreams, func(c InstanceLoad) bool { return c.Service != service })
		if end < 0 {
			end = len(upstreams)
		}
		list = append(list, newDistribution(service, upstreams[:end]))
		upstreams = upstreams[end:]
	}
	return list
}

func newDistribution(service units.Service, list []InstanceLoad) Distribution {
	d := Distribution{
		Service:   service,
		Instances: len(list),
	}
	most, total := 0.0, 0.0
	for _, c := range list {
		d.Calls += c.Calls
		most = max(most, c.Concurrency)
		total += c.Concurrency
	}
	if total > 0 {
		d.Imbalance = most * float64(len(list)) / total
	}
	return d
}
