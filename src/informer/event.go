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

// Announced reports that an upstream has announced itself to this entry.
type Announced struct {
	Announcement *messages.Announcement
}

// ViewChanged reports a new view of the entries.
type ViewChanged struct {
	View *messages.EntryView
}

// MessageReceived reports that another entry's message has arrived; the outcome holds the response.
type MessageReceived struct {
	Gossip *messages.Gossip
}

// ResponseReceived reports that another entry has answered a message.
type ResponseReceived struct {
	To       units.Instance
	Gossip   *messages.Gossip
	Response *messages.GossipResponse
}

// SendFailed reports that another entry has not answered a message.
type SendFailed struct {
	To       units.Instance
	Gossip   *messages.Gossip
	Duration time.Duration
}

// Ticked reports that time has passed.
type Ticked struct{}

func (Announced) event()        {}
func (ViewChanged) event()      {}
func (MessageReceived) event()  {}
func (ResponseReceived) event() {}
func (SendFailed) event()       {}
func (Ticked) event()           {}

// Outcome is the result of one event.
type Outcome struct {
	// Changed is set if the set of usable upstreams has changed.
	Changed bool
	// Refused is the reason why an announcement was refused, nil if it was not.
	Refused error
	Sends   []gossiper.Send
	// Response answers a received message.
	Response *messages.GossipResponse
	// Left, Suspected and Refuted are for logging.
	Left      []tracker.Left
	Suspected []tracker.Suspected
	Refuted   []tracker.Refuted
	// Confirmed names the leaving upstreams whose leaving mark another entry has acknowledged.
	Confirmed []units.Upstream
}
