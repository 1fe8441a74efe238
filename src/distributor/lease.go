package distributor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Lease determines until when an entry may serve its configuration. It is renewed by contact with
// a control leader that holds a majority, directly or through a relay, or by contact with a
// majority of the entry view. A contact that knows a newer version or view than the entry never
// renews it.
type Lease struct {
	// Duration is how long the lease lasts after a contact.
	Duration time.Duration

	controlContactAt time.Time
	peerContactAt    time.Time
}

// EntryState is the state of an entry at the time of an event.
type EntryState struct {
	Entry       units.Instance
	Incarnation uint64
	Version     units.Version
	View        *messages.EntryView
}

// Event is a contact that may renew a lease.
type Event interface{ event() }

// ControlConfirmed reports that a leader answered the entry's heartbeat.
type ControlConfirmed struct {
	// SentAt is when the heartbeat was sent. For an answer from a relay, the age of the relay's
	// own contact with control is subtracted.
	SentAt   time.Time
	Accepted units.Version
}

// PeersResponded carries the responses of other entries to one round of contact requests.
type PeersResponded struct {
	SentAt    time.Time
	Responses []*messages.PeerContactResponse
}

func (ControlConfirmed) event() {}
func (PeersResponded) event()   {}

// Step handles an event and returns when the lease expires.
func (l *Lease) Step(state EntryState, event Event) time.Time {
	switch e := event.(type) {
	case ControlConfirmed:
		// Without this check, an entry that knows of a newer version but cannot get it would
		// serve the old one forever, while the operator waits for the new one to be in force.
		if e.Accepted <= state.Version && e.SentAt.After(l.controlContactAt) {
			l.controlContactAt = e.SentAt
		}
	case PeersResponded:
		if hasMajority(state, e.Responses) && e.SentAt.After(l.peerContactAt) {
			l.peerContactAt = e.SentAt
		}
	}
	return l.ExpiresAt()
}

// ExpiresAt returns when the lease expires, the zero time before the first contact.
func (l *Lease) ExpiresAt() time.Time {
	latest := l.controlContactAt
	if l.peerContactAt.After(latest) {
		latest = l.peerContactAt
	}
	if latest.IsZero() {
		return latest
	}
	return latest.Add(l.Duration)
}

// ControlContactAge returns the time since the last contact with control.
func (l *Lease) ControlContactAge(now time.Time) time.Duration { return now.Sub(l.controlContactAt) }

// hasMajority reports whether more than half of the view's members, including the entry itself,
// have responded and know nothing newer. A member is one incarnation of an entry. An entry that
// has restarted has another incarnation and no longer knows which version it had in force, so it
// does not count until a view lists the new incarnation.
func hasMajority(state EntryState, responses []*messages.PeerContactResponse) bool {
	agreeing := 0
	for _, member := range state.View.GetMembers() {
		if member.GetEntry() == string(state.Entry) {
			if member.GetIncarnation() == state.Incarnation {
				agreeing++
			}
			continue
		}
		for _, response := range responses {
			if response.GetEntry() != member.GetEntry() || response.GetIncarnation() != member.GetIncarnation() {
				continue
			}
			if units.Version(response.GetVersionInForce()) <= state.Version && response.GetVersionInForce() > 0 &&
				response.GetViewNumber() <= state.View.GetNumber() {
				agreeing++
			}
			break
		}
	}
	return state.Version > 0 && agreeing > len(state.View.GetMembers())/2
}
