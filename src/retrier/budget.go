package retrier

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// use is the part of the bound that new attempts of calls may take. Streams under
	// way, whose callers have half an answer, find room beyond it.
	use = 0.75
	// resumeUse is the part that both together may take: calls that go out while
	// control renews the count of entries, and those whose arrival is late, need the
	// rest.
	resumeUse = 0.9
	// parts divide the window for counting; one more than these is kept, since the
	// first of them is in the window in part.
	parts = 20
	slots = parts + 1
)

// Budget counts calls and further attempts of each service in a sliding window;
// it may be used from several goroutines.
type Budget struct {
	// Window, Ratio and Slack are the bound on the fleet: further attempts are at
	// most Ratio times the calls plus Slack in any Window.
	Window time.Duration
	Ratio  float64
	Slack  float64
	// Now is the clock.
	Now func() time.Time

	mu       sync.Mutex
	entries  int
	services map[units.Service]*counts
}

// counts are the last slots' calls and further attempts.
type counts struct {
	first   int64
	calls   [slots]float64
	further [slots]float64
}

// SetEntries tells over how many entries the slack is shared.
func (b *Budget) SetEntries(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// Call notes a call's first attempt.
func (b *Budget) Call(service units.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, slot := b.counts(service)
	c.calls[slot]++
}

// Earn does nothing: calls are counted when they begin.
func (b *Budget) Earn(units.Service) {}

// Spend reports whether one more attempt may be made, and counts it if so.
func (b *Budget) Spend(service units.Service) bool { return b.spend(service, use) }

// Resume reports whether a stream under way may go on at another upstream, and
// counts it if so.
//
// Half of the upstreams of a full fleet are taken back at once, each with some tens
// of streams, and those that are left refuse most of them. Without a bound each
// stream would knock several times at all of them, and the upstreams would have that
// much less time for what they have taken in.
func (b *Budget) Resume(service units.Service) bool { return b.spend(service, resumeUse) }

func (b *Budget) spend(service units.Service, use float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, slot := b.counts(service)
	calls, further := 0.0, 0.0
	for i := range slots {
		calls += c.calls[i]
		further += c.further[i]
	}
	if further+1 > use*(b.Ratio*calls+b.Slack/float64(max(1, b.entries))) {
		return false
	}
	c.further[slot]++
	return true
}

// counts returns a service's counts with the slots of the past cleared.
func (b *Budget) counts(service units.Service) (c *counts, slot int) {
	if b.services == nil {
		b.services = make(map[units.Service]*counts)
	}
	current := b.Now().UnixNano() / (b.Window.Nanoseconds() / parts)
	c = b.services[service]
	if c == nil {
		c = &counts{first: current - slots + 1}
		b.services[service] = c
	}
	for c.first+slots <= current {
		if c.first+2*slots <= current {
			*c = counts{first: current - slots + 1}
			break
		}
		old := c.first % slots
		c.calls[old], c.further[old] = 0, 0
		c.first++
	}
	return c, int(current % slots)
}
