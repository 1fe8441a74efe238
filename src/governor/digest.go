package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
)

// digestAge is how long one digest answers polls, a small part of the time between two
// of one entry.
const digestAge = tickInterval

// mostLoads is how many upstreams' loads a digest holds: more than one entry compares in
// the time between two polls.
const mostLoads = 256

// digest is what every poll is answered with alike. It is made once for the polls of
// some moments and not changed after: what is worked out for each poll anew costs the
// leader the square of the number of entries.
type digest struct {
	at       time.Time
	trueTime time.Time
	entries  uint32
	controls []string
	underWay *messages.UpstreamLoads
}

// summary returns the digest of the moment.
func (c *coordinator) summary(now time.Time) *digest {
	if c.digest != nil && now.Sub(c.digest.at) < digestAge {
		return c.digest
	}
	c.digest = &digest{
		at:       now,
		trueTime: c.trueTime(now),
		entries:  uint32(c.divider.CountEntries(now)),
		controls: c.controls(),
		underWay: EncodeLoads(placer.Busiest(c.underWay.TakeTotal(c.divider.HasEntry), mostLoads)),
	}
	return c.digest
}
