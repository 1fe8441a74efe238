package informer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/gossiper"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is something that happened to an entry.
type Event interface{ event() }

// Announced says that an upstream has announced itself here.
type Announced struct {
	Announcement *messages.Announcement
}

// Viewed says that the entry view is new.
type Viewed struct {
	View *messages.EntryView
}

// Received says that another entry's message has arrived; the outcome has the response.
type Received struct {
	Gossip *messages.Gossip
}

// Answered says that another entry has answered.
type Answered struct {
	To       units.Instance
	Gossip   *messages.Gossip
	Response *messages.GossipResponse
}

// Failed says that another entry has not answered.
type Failed struct {
	To     units.Instance
	Gossip *messages.Gossip
	Took   time.Duration
}

// Ticked says that time has passed.
type Ticked struct{}

func (Announced) event() {}
func (Viewed) event()    {}
func (Received) event()  {}
func (Answered) event()  {}
func (Failed) event()    {}
func (Ticked) event()    {}

// Outcome is what one event leads to.
type Outcome struct {
	// Changed is set where the set of usable upstreams is new.
	Changed bool
	// Refused is why an announcement was refused, nil where it was not.
	Refused error
	Sends   []gossiper.Send
	// Response answers a received message.
	Response *messages.GossipResponse
	// Left, Suspected and Refuted are for the log.
	Left      []tracker.Left
	Suspected []tracker.Suspected
	Refuted   []tracker.Refuted
	// Confirmed names leaving upstreams of which another entry now knows.
	Confirmed []units.Upstream
}
