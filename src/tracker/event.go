package tracker

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is an input of the tracker's state machine.
type Event interface{ event() }

// Announced reports that an upstream's own announcement has arrived at this entry.
type Announced struct {
	Announcement *messages.Announcement
}

// RumourReceived reports a rumour about an upstream that another entry has sent.
type RumourReceived struct {
	Rumour *messages.Rumour
}

// Ticked reports that time has passed.
type Ticked struct{}

func (Announced) event()      {}
func (RumourReceived) event() {}
func (Ticked) event()         {}

// Action is an effect that the caller of Step must carry out.
type Action interface{ action() }

// Changed reports that the set of usable upstreams has changed.
type Changed struct{}

// Left reports that an upstream is leaving or gone.
type Left struct {
	Upstream *Upstream
	Reason   string
}

// Suspected reports that an upstream is silent here; other entries may still receive its
// announcements.
type Suspected struct {
	Upstream *Upstream
	Silence  string
	// HealthMultiplier is the multiplier of the timeouts that applied, 1 while this process is healthy.
	HealthMultiplier int
}

// Refuted reports that a suspected upstream has announced itself again.
type Refuted struct {
	Upstream *Upstream
}

// Probe requests what other entries know of a silent upstream.
type Probe struct {
	Upstream units.Upstream
}

// Spread requests that a rumour be gossiped to other entries.
type Spread struct {
	Rumour *messages.Rumour
	// Urgent is set when the rumour says more than that the upstream is live.
	Urgent bool
}

// MissingAnnouncement requests the full announcement of an upstream that a rumour has named and whose
// announcement is not known here.
type MissingAnnouncement struct {
	Upstream units.Upstream
}

// Refused reports that an announcement was refused and changed nothing.
type Refused struct {
	Err error
}

func (Changed) action()             {}
func (Left) action()                {}
func (Suspected) action()           {}
func (Refuted) action()             {}
func (Probe) action()               {}
func (Spread) action()              {}
func (MissingAnnouncement) action() {}
func (Refused) action()             {}

// RefusedError is the reason why an announcement was refused, and the remedy.
type RefusedError struct {
	Upstream units.Upstream
	Reason   string
	Remedy   string
}

// Error includes the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement of %q refused: %s; %s", e.Upstream, e.Reason, e.Remedy)
}
