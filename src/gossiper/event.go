package gossiper

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input to the gossiper.
type Event interface{ event() }

// Viewed reports a new set of entries.
type Viewed struct {
	View *messages.EntryView
}

// News reports that this entry's table has changed.
type News struct {
	Rumour *messages.Rumour
	Urgent bool
	// From is the entry that sent the rumour, "" if the upstream announced itself here.
	From units.Instance
	// PassOn is set if that entry asked to pass the rumour on in this data centre.
	PassOn bool
}

// Probed requests what other entries know of a silent upstream.
type Probed struct {
	Line *messages.DigestLine
}

// Asked reports that another entry requested the rumour about an upstream.
type Asked struct {
	By     units.Instance
	Rumour *messages.Rumour
}

// Failed reports that a message got no response.
type Failed struct {
	To     units.Instance
	Gossip *messages.Gossip
	// Took is the time from sending the message to the failure.
	Took time.Duration
}

// Ticked reports that time has passed.
type Ticked struct {
	// Now sends what is queued without waiting for the interval.
	Now bool
	// Alive returns rumours that refresh the upstreams that announce themselves to this entry.
	Alive func() []*messages.Rumour
	// Digest returns the digest lines of what this entry knows.
	Digest func(all bool) []*messages.DigestLine
}

func (Viewed) event() {}
func (News) event()   {}
func (Probed) event() {}
func (Asked) event()  {}
func (Failed) event() {}
func (Ticked) event() {}

// Send is a message to be sent; it may be lost.
type Send struct {
	To      units.Instance
	Address string
	Gossip  *messages.Gossip
}

// Options are the gossiper's parameters and limits.
type Options struct {
	ID         units.Instance
	DataCentre units.DataCentre
	// Interval is the time between two rounds.
	Interval time.Duration
	// Refresh is the minimum time between two refreshes of one upstream.
	Refresh time.Duration
	// Digest is the time between two digests.
	Digest time.Duration
	// BytesPerSecond bounds refreshes and digests. Changes are sent even beyond it.
	BytesPerSecond int
	// SmallFleet is the number of entries below which every entry keeps all upstreams.
	SmallFleet int
	// Keepers is how many entries of its own data centre keep an entry's upstreams in a larger
	// fleet.
	Keepers int
	// Relays is how many entries of each other data centre receive rumours directly.
	Relays int
	// Probes is how many entries are asked before a suspicion is spread.
	Probes int
}
