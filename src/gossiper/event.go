package gossiper

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is something that happened to the gossiper.
type Event interface{ event() }

// Viewed says that the set of entries is new.
type Viewed struct {
	View *messages.EntryView
}

// News says that this entry's table has changed.
type News struct {
	Rumour *messages.Rumour
	Urgent bool
	// From is the entry that told of it, "" for the upstream itself.
	From units.Instance
	// PassOn is set where that entry asked to tell this data centre.
	PassOn bool
}

// Probed asks what others know of a silent upstream.
type Probed struct {
	Line *messages.DigestLine
}

// Asked says that another entry wants to be told of an upstream.
type Asked struct {
	By     units.Instance
	Rumour *messages.Rumour
}

// Failed says that a message got no answer.
type Failed struct {
	To     units.Instance
	Gossip *messages.Gossip
	// Took is how long the answer was waited for.
	Took time.Duration
}

// Ticked says that time has passed.
type Ticked struct {
	// Now sends what is queued without waiting for the interval.
	Now bool
	// Alive are signs of life of the upstreams that this entry hears itself.
	Alive func() []*messages.Rumour
	// Digest returns how far this entry's knowledge goes.
	Digest func(all bool) []*messages.DigestLine
}

func (Viewed) event() {}
func (News) event()   {}
func (Probed) event() {}
func (Asked) event()  {}
func (Failed) event() {}
func (Ticked) event() {}

// Send asks for a message to be sent; it may be lost.
type Send struct {
	To      units.Instance
	Address string
	Gossip  *messages.Gossip
}

// Options are the gossiper's limits.
type Options struct {
	ID         units.Instance
	DataCentre units.DataCentre
	// Interval is the time between two rounds.
	Interval time.Duration
	// Refresh is the least time between two signs of life of one upstream.
	Refresh time.Duration
	// Digest is the time between two digests.
	Digest time.Duration
	// BytesPerSecond bounds signs of life and digests; news goes beyond it.
	BytesPerSecond int
	// SmallFleet is the number of entries up to which each keeps all upstreams.
	SmallFleet int
	// Keepers is how many entries of its own data centre keep an entry's upstreams in a larger fleet.
	Keepers int
	// Relays is how many entries of each other data centre are told directly.
	Relays int
	// Probes is how many entries are asked before a suspicion is spread.
	Probes int
}
