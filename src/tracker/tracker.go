package tracker

import (
	"fmt"
	"net/url"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Tracker is the table of announced upstreams. It is a state machine; its fields are set
// before the first Step.
type Tracker struct {
	// SuspicionTimeout is the silence after which an upstream is suspected; 0 suspects none.
	SuspicionTimeout time.Duration
	// Expiry is how long an upstream counts as live without an announcement.
	Expiry time.Duration
	// PauseThreshold is the time between two ticks from which this process counts as having been
	// suspended; with 0 it never does.
	PauseThreshold time.Duration

	upstreams  map[units.Upstream]*Upstream
	tombstones map[units.Upstream]*tombstone
	health     health
	lastNumber uint32
}

// Step takes one event and returns the actions to carry out, in order.
func (t *Tracker) Step(now time.Time, event Event) []Action {
	if t.upstreams == nil {
		t.upstreams = make(map[units.Upstream]*Upstream)
		t.tombstones = make(map[units.Upstream]*tombstone)
	}
	t.detectPause(now)
	switch e := event.(type) {
	case Announced:
		if t.isJustResumed(now) {
			return []Action{Refused{Err: justResumedError(e.Announcement)}}
		}
		return t.announce(now, e.Announcement)
	case RumourReceived:
		if t.isJustResumed(now) {
			return nil
		}
		return t.mergeRumour(now, e.Rumour)
	case Ticked:
		return t.tick(now)
	}
	return nil
}

// Usable returns the upstreams that may get new calls.
//
// Suspected ones are excluded, unless more than half of a service's upstreams are suspected at
// once: then the fault is more likely on this side, and excluding them would refuse calls that
// the upstreams could serve.
func (t *Tracker) Usable() []*Upstream {
	live := make(map[units.Service]int)
	suspected := make(map[units.Service]int)
	for _, upstream := range t.upstreams {
		if !upstream.acceptsWork() {
			continue
		}
		live[upstream.Service]++
		if upstream.Suspected {
			suspected[upstream.Service]++
		}
	}
	usable := make([]*Upstream, 0, len(t.upstreams))
	for _, upstream := range t.upstreams {
		if !upstream.acceptsWork() {
			continue
		}
		if upstream.Suspected && 2*suspected[upstream.Service] <= live[upstream.Service] {
			continue
		}
		usable = append(usable, upstream)
	}
	return usable
}

// Find returns an upstream by name, or nil.
func (t *Tracker) Find(name units.Upstream) *Upstream {
	return t.upstreams[name]
}

// All returns all known upstreams, including leaving ones.
func (t *Tracker) All() []*Upstream {
	all := make([]*Upstream, 0, len(t.upstreams))
	for _, upstream := range t.upstreams {
		all = append(all, upstream)
	}
	return all
}

// Upstream returns an upstream by name, or nil.
func (t *Tracker) Upstream(name units.Upstream) *Upstream { return t.upstreams[name] }

func (t *Tracker) announce(now time.Time, a *messages.Announcement) []Action {
	if err := validate(a); err != nil {
		return []Action{Refused{Err: err}}
	}
	next := fromAnnouncement(now, a)
	next.Direct = true
	next.DirectAt = now
	known := t.upstreams[next.Name]
	if isNameConflict(known, next) {
		return []Action{Refused{Err: nameConflictError(known)}}
	}
	return t.accept(now, known, next)
}

// accept enters an announcement into the table if it is newer than the known one.
func (t *Tracker) accept(now time.Time, known, next *Upstream) []Action {
	if !t.canEnter(now, next) || (known != nil && !isNewer(known, next)) {
		return nil
	}
	// Leaving is final for an incarnation: after a repeated older announcement, new calls
	// would go to a machine that is being reclaimed.
	sameIncarnation := known != nil && known.Incarnation == next.Incarnation
	if sameIncarnation && known.Leaving {
		return nil
	}
	delete(t.tombstones, next.Name)
	urgent := known == nil || isSignificant(known, next)
	if sameIncarnation {
		next.inheritFrom(known)
	} else {
		t.lastNumber++
		next.Local.ID = t.lastNumber
	}
	next.Load.subtractOwnCalls(next.Local)
	t.upstreams[next.Name] = next
	actions := []Action{Changed{}, Spread{
		Rumour: next.rumour(now),
		Urgent: urgent,
	}}
	if known != nil && known.Suspected {
		actions = append(actions, Refuted{Upstream: next})
	}
	if next.Leaving {
		actions = append(actions, Left{
			Upstream: next,
			Reason:   "announced",
		})
	}
	return actions
}

// isSignificant reports whether an announcement says more than that its upstream is live.
//
// That an upstream has moved its announcements to this entry is significant: the entry that
// received them before would otherwise treat it as failed.
func isSignificant(known, next *Upstream) bool {
	moved := next.Direct && !known.Direct
	return known.Suspected || moved || !hasSameStaticFields(known.Announcement, next.Announcement)
}

// inheritFrom copies what outlasts a single announcement from the known one.
func (u *Upstream) inheritFrom(known *Upstream) {
	u.Local = known.Local
	u.Direct = u.Direct || known.Direct
	u.DirectAt = latest(u.DirectAt, known.DirectAt)
	u.AnnouncedAt = latest(u.AnnouncedAt, known.AnnouncedAt)
}

// isNameConflict reports whether next claims the name of a live upstream at another address.
//
// Without this check, a misconfigured or hostile instance could take over a live upstream's
// calls by announcing its name with a higher incarnation. The name is free once the known
// upstream leaves or is suspected.
func isNameConflict(known, next *Upstream) bool {
	return known != nil && !known.Leaving && !known.Suspected &&
		known.Address != next.Address && next.Incarnation > known.Incarnation
}

func nameConflictError(known *Upstream) error {
	return &RefusedError{
		Upstream: known.Name,
		Reason:   fmt.Sprintf("the name belongs to a live upstream at %s", known.Address),
		Remedy:   "choose another name, or announce again once that one has left",
	}
}

func isNewer(known, next *Upstream) bool {
	if known.Incarnation != next.Incarnation {
		return next.Incarnation > known.Incarnation
	}
	if next.Leaving && !known.Leaving {
		return true
	}
	return next.Sequence > known.Sequence
}

// hasSameStaticFields reports whether two announcements differ at most in sequence, load and
// time to leave.
func hasSameStaticFields(a, b *messages.Announcement) bool {
	a, b = staticFields(a), staticFields(b)
	return proto.Equal(a, b)
}

func staticFields(a *messages.Announcement) *messages.Announcement {
	c := proto.CloneOf(a)
	c.Sequence = 0
	c.Load = nil
	c.LeavingWithinMs = 0
	return c
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func validate(a *messages.Announcement) error {
	refused := &RefusedError{
		Upstream: units.Upstream(a.GetUpstream()),
	}
	address, err := url.Parse(a.GetAddress())
	switch {
	case a.GetUpstream() == "":
		refused.Reason = "the name is empty"
		refused.Remedy = "give the upstream a name"
	case a.GetService() == "":
		refused.Reason = "the service is empty"
		refused.Remedy = "name the service as the configuration does"
	case err != nil || address.Host == "" || address.Path != "":
		refused.Reason = fmt.Sprintf("the address %q is not a base URL", a.GetAddress())
		refused.Remedy = "write it like http://127.0.0.1:9000"
	case a.GetIncarnation() == 0:
		refused.Reason = "the incarnation is 0"
		refused.Remedy = "send one that rises with each start, such as the start's time"
	default:
		return nil
	}
	return refused
}
