package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
)

// summaryTTL is how long one summary is used to answer polls, a small fraction of the
// interval between two polls of an entry.
const summaryTTL = tickInterval

// maxLoads is how many upstreams' loads a summary holds, more than one entry compares in the
// interval between two polls.
const maxLoads = 256

// pollSummary is the part of a response that is the same for all polls. It is computed once
// for all polls within summaryTTL and not changed afterwards: computed for each poll, it
// would cost the leader the square of the number of entries.
type pollSummary struct {
	at       time.Time
	trueTime time.Time
	entries  uint32
	controls []string
	inFlight *messages.UpstreamLoads
}

// summary returns the current summary, from the cache where it is recent enough.
func (c *coordinator) summary(now time.Time) *pollSummary {
	if c.pollSummary != nil && now.Sub(c.pollSummary.at) < summaryTTL {
		return c.pollSummary
	}
	c.pollSummary = &pollSummary{
		at:       now,
		trueTime: c.trueTime(now),
		entries:  uint32(c.allocator.CountEntries(now)),
		controls: c.controls(),
		inFlight: EncodeLoads(placer.Busiest(c.inFlight.TakeTotal(c.allocator.HasEntry), maxLoads)),
	}
	return c.pollSummary
}
