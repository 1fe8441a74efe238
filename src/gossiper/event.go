package gossiper

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input to the gossiper.
type Event interface{ event() }

// ViewChanged reports a new set of entries.
type ViewChanged struct {
	View *messages.EntryView
}

// TableChanged reports that this entry's table has changed.
type TableChanged struct {
	Rumour *messages.Rumour
	Urgent bool
	// From is the entry that sent the rumour, "" if the upstream announced itself here.
	From units.Instance
	// PassOn is set if that entry asked to pass the rumour on in this data centre.
	PassOn bool
}

// ProbeRequested requests what other entries know of a silent upstream.
type ProbeRequested struct {
	Line *messages.DigestLine
}

// RumourRequested reports that another entry requested the rumour about an upstream.
type RumourRequested struct {
	By     units.Instance
	Rumour *messages.Rumour
}

// SendFailed reports that a message got no response.
type SendFailed struct {
	To     units.Instance
	Gossip *messages.Gossip
	// Duration is the time from sending the message to the failure.
	Duration time.Duration
}

// Ticked reports that time has passed.
type Ticked struct {
	// Flush sends what is queued without waiting for the interval.
	Flush bool
	// Refreshes returns rumours that refresh the upstreams that announce themselves to this entry.
	Refreshes func() []*messages.Rumour
	// Digest returns the digest lines of what this entry knows.
	Digest func(all bool) []*messages.DigestLine
}

func (ViewChanged) event()     {}
func (TableChanged) event()    {}
func (ProbeRequested) event()  {}
func (RumourRequested) event() {}
func (SendFailed) event()      {}
func (Ticked) event()          {}

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
	// RoundInterval is the time between two rounds.
	RoundInterval time.Duration
	// RefreshInterval is the minimum time between two refreshes of one upstream.
	RefreshInterval time.Duration
	// DigestInterval is the time between two digests.
	DigestInterval time.Duration
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
