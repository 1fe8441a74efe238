package appraiser

import (
	"sync"

	"github.com/rosecroft/rosecroft/src/units"
)

// maxCollected bounds the upstreams whose statements are kept until they are reported: more than
// an entry gets answers of between two polls.
const maxCollected = 512

// Collector keeps an entry's statements of upstreams until they are reported. It is safe for
// concurrent use.
type Collector struct {
	mu        sync.Mutex
	estimates map[units.IncarnationID]Estimate
}

// Record records the slowdown that an upstream stated, 1 as usual.
func (c *Collector) Record(id units.IncarnationID, slowdown float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	estimate, known := c.estimates[id]
	if !known && len(c.estimates) >= maxCollected {
		return
	}
	if c.estimates == nil {
		c.estimates = make(map[units.IncarnationID]Estimate)
	}
	estimate.Record(slowdown, 1)
	c.estimates[id] = estimate
}

// Take returns the statements since the last call, and forgets them.
func (c *Collector) Take() map[units.IncarnationID]Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.estimates
	c.estimates = nil
	return taken
}
