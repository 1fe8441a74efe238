package distributor

import "github.com/rosecroft/rosecroft/src/messages"

const (
	// mostRefusals is how many beats in a row relays may be of no use.
	mostRefusals = 2
	// orphanBeats is how many beats go to control before the relays are tried again.
	orphanBeats = 25
)

// Route decides where an entry reports: to its relays in turn, or to control
// while they are gone or cut off, so that they take nobody with them.
type Route struct {
	next     int
	refusals int
	orphan   int
}

// Target returns the relay for the next beat, nil for control itself.
func (r *Route) Target(relays []*messages.EntryMember) *messages.EntryMember {
	if len(relays) == 0 {
		return nil
	}
	if r.orphan > 0 {
		r.orphan--
		return nil
	}
	return relays[r.next%len(relays)]
}

// Tried takes whether a relay was in contact with control.
func (r *Route) Tried(useful bool) {
	if useful {
		r.refusals = 0
		return
	}
	r.next++
	r.refusals++
	if r.refusals < mostRefusals {
		return
	}
	r.refusals = 0
	r.orphan = orphanBeats
}
