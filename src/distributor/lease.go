package distributor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Lease says until when an entry may serve its configuration. It is renewed by
// contact with a control leader that holds a majority, direct or by a relay, or
// with a majority of the entry view, and never by anyone who knows a newer
// version or view than the entry.
type Lease struct {
	// Fence is how long a contact counts.
	Fence time.Duration

	control time.Time
	peers   time.Time
}

// Holding is what an entry has at the moment of an event.
type Holding struct {
	Entry       units.Instance
	Incarnation uint64
	Version     units.Version
	View        *messages.EntryView
}

// Event is something that may renew a lease.
type Event interface{ event() }

// ControlHeard says that a leader confirmed the entry's question of a time.
type ControlHeard struct {
	// Asked is when the question left; a relay's answer counts from when the
	// relay asked.
	Asked    time.Time
	Accepted units.Version
}

// PeersHeard brings the answers of entries to one round of questions.
type PeersHeard struct {
	Asked   time.Time
	Answers []*messages.PeerContactResponse
}

func (ControlHeard) event() {}
func (PeersHeard) event()   {}

// Step takes an event and returns until when the entry may serve.
func (l *Lease) Step(holding Holding, event Event) time.Time {
	switch e := event.(type) {
	case ControlHeard:
		// An entry that knows of a newer version and cannot get it would serve the
		// old one for ever, while the operator waits for the new one to be in force.
		if e.Accepted <= holding.Version && e.Asked.After(l.control) {
			l.control = e.Asked
		}
	case PeersHeard:
		if majority(holding, e.Answers) && e.Asked.After(l.peers) {
			l.peers = e.Asked
		}
	}
	return l.Until()
}

// Until returns when the lease ends, the zero time before the first contact.
func (l *Lease) Until() time.Time {
	latest := l.control
	if l.peers.After(latest) {
		latest = l.peers
	}
	if latest.IsZero() {
		return latest
	}
	return latest.Add(l.Fence)
}

// ControlAge returns how long ago control was last in contact.
func (l *Lease) ControlAge(now time.Time) time.Duration { return now.Sub(l.control) }

// majority reports whether more than half of the view's lives, the entry's own
// included, have answered and know nothing newer. A life that started again has
// another incarnation and has forgotten what it had in force, so that it does
// not count before a view names it.
func majority(holding Holding, answers []*messages.PeerContactResponse) bool {
	agreeing := 0
	for _, member := range holding.View.GetMembers() {
		if member.GetEntry() == string(holding.Entry) {
			if member.GetIncarnation() == holding.Incarnation {
				agreeing++
			}
			continue
		}
		for _, answer := range answers {
			if answer.GetEntry() != member.GetEntry() || answer.GetIncarnation() != member.GetIncarnation() {
				continue
			}
			if units.Version(answer.GetVersionInForce()) <= holding.Version && answer.GetVersionInForce() > 0 &&
				answer.GetViewNumber() <= holding.View.GetNumber() {
				agreeing++
			}
			break
		}
	}
	return holding.Version > 0 && agreeing > len(holding.View.GetMembers())/2
}
