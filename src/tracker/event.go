package tracker

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Event is something that happened to the table.
type Event interface{ event() }

// Announced says that an upstream's own announcement has arrived here.
type Announced struct {
	Announcement *messages.Announcement
}

// Told says that another entry has told of an upstream.
type Told struct {
	Rumour *messages.Rumour
}

// Ticked says that time has passed.
type Ticked struct{}

func (Announced) event() {}
func (Told) event()      {}
func (Ticked) event()    {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Changed says that the set of usable upstreams is new.
type Changed struct{}

// Left says that an upstream leaves or is gone.
type Left struct {
	Upstream *Upstream
	Reason   string
}

// Suspected says that an upstream is silent; others may have heard it.
type Suspected struct {
	Upstream *Upstream
	Silence  string
	// Health is the multiplier under which the silence counted, 1 when all is well.
	Health int
}

// Refuted says that a suspected upstream has been heard again.
type Refuted struct {
	Upstream *Upstream
}

// Probe asks for other entries' knowledge of a silent upstream.
type Probe struct {
	Upstream units.Upstream
}

// Spread says that other entries should know.
type Spread struct {
	Rumour *messages.Rumour
	// Urgent is set for more than a sign of life.
	Urgent bool
}

// Lacking says that a rumour named an upstream whose whole announcement is not known here.
type Lacking struct {
	Upstream units.Upstream
}

// Refused says that an announcement changed nothing.
type Refused struct {
	Err error
}

func (Changed) action()   {}
func (Left) action()      {}
func (Suspected) action() {}
func (Refuted) action()   {}
func (Probe) action()     {}
func (Spread) action()    {}
func (Lacking) action()   {}
func (Refused) action()   {}

// RefusedError says why an announcement was refused.
type RefusedError struct {
	Upstream units.Upstream
	Reason   string
	Remedy   string
}

// Error names the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement of %q refused: %s; %s", e.Upstream, e.Reason, e.Remedy)
}
