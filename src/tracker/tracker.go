package tracker

import (
	"fmt"
	"net/url"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Tracker is the table of announced upstreams; its fields are set before the first Step.
type Tracker struct {
	// Suspicion is the silence after which an upstream is suspected; 0 suspects none.
	Suspicion time.Duration
	// Expiry is how long an upstream counts as live without an announcement.
	Expiry time.Duration
	// Late is the time between two ticks from which this process counts as
	// having been asleep; 0 never does.
	Late time.Duration

	upstreams map[units.Upstream]*Upstream
	gone      map[units.Upstream]*tombstone
	health    health
	numbered  uint32
}

// Step takes one event and returns the actions to carry out, in order.
func (t *Tracker) Step(now time.Time, event Event) []Action {
	if t.upstreams == nil {
		t.upstreams = make(map[units.Upstream]*Upstream)
		t.gone = make(map[units.Upstream]*tombstone)
	}
	t.noteSleep(now)
	switch e := event.(type) {
	case Announced:
		if t.drowsy(now) {
			return []Action{Refused{Err: drowsy(e.Announcement)}}
		}
		return t.announce(now, e.Announcement)
	case Told:
		if t.drowsy(now) {
			return nil
		}
		return t.hearRumour(now, e.Rumour)
	case Ticked:
		return t.tick(now)
	}
	return nil
}

// Usable returns the upstreams that may get new work.
//
// Suspected ones are left out, except where more than half of a service is
// suspected at once: then the fault is more likely on this side, and leaving
// them out would refuse calls that the upstreams could serve.
func (t *Tracker) Usable() []*Upstream {
	live := make(map[units.Service]int)
	suspected := make(map[units.Service]int)
	for _, upstream := range t.upstreams {
		if !upstream.serves() {
			continue
		}
		live[upstream.Service]++
		if upstream.Suspected {
			suspected[upstream.Service]++
		}
	}
	usable := make([]*Upstream, 0, len(t.upstreams))
	for _, upstream := range t.upstreams {
		if !upstream.serves() {
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

// All returns every known upstream, the leaving ones included.
func (t *Tracker) All() []*Upstream {
	all := make([]*Upstream, 0, len(t.upstreams))
	for _, upstream := range t.upstreams {
		all = append(all, upstream)
	}
	return all
}

// Upstream returns what is known of one upstream, nil where it is not known.
func (t *Tracker) Upstream(name units.Upstream) *Upstream { return t.upstreams[name] }

func (t *Tracker) announce(now time.Time, a *messages.Announcement) []Action {
	if err := check(a); err != nil {
		return []Action{Refused{Err: err}}
	}
	next := fromAnnouncement(now, a)
	next.Direct = true
	next.DirectAt = now
	known := t.upstreams[next.Name]
	if contests(known, next) {
		return []Action{Refused{Err: contested(known)}}
	}
	return t.accept(now, known, next)
}

// accept takes an announcement that is newer than what is known.
func (t *Tracker) accept(now time.Time, known, next *Upstream) []Action {
	if !t.revives(now, next) || (known != nil && !newer(known, next)) {
		return nil
	}
	// A leaving mark is final for its incarnation: a repeated older
	// announcement would send new work to a machine that is taken back.
	sameLife := known != nil && known.Incarnation == next.Incarnation
	if sameLife && known.Leaving {
		return nil
	}
	delete(t.gone, next.Name)
	urgent := known == nil || news(known, next)
	if sameLife {
		next.keep(known)
	} else {
		t.numbered++
		next.Live.Number = t.numbered
	}
	next.Load.correct(next.Live)
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

// news reports whether an announcement is more than a sign of life.
//
// An upstream that moved its announcements here is news: the entry that heard
// it before would else take it for dead.
func news(known, next *Upstream) bool {
	moved := next.Direct && !known.Direct
	return known.Suspected || moved || !sameConstants(known.Announcement, next.Announcement)
}

// keep takes over what outlasts a single announcement.
func (u *Upstream) keep(known *Upstream) {
	u.Live = known.Live
	u.Direct = u.Direct || known.Direct
	u.DirectAt = later(u.DirectAt, known.DirectAt)
	u.HeardAt = later(u.HeardAt, known.HeardAt)
}

// contests reports whether next takes the name of an upstream that lives elsewhere.
//
// Otherwise a misconfigured or hostile instance could draw a live upstream's
// calls to itself by announcing its name with a higher incarnation. Once the
// known one leaves or falls silent, the name is free.
func contests(known, next *Upstream) bool {
	return known != nil && !known.Leaving && !known.Suspected &&
		known.Address != next.Address && next.Incarnation > known.Incarnation
}

func contested(known *Upstream) error {
	return &RefusedError{
		Upstream: known.Name,
		Reason:   fmt.Sprintf("the name belongs to a live upstream at %s", known.Address),
		Remedy:   "choose another name, or announce again once that one has left",
	}
}

func newer(known, next *Upstream) bool {
	if known.Incarnation != next.Incarnation {
		return next.Incarnation > known.Incarnation
	}
	if next.Leaving && !known.Leaving {
		return true
	}
	return next.Sequence > known.Sequence
}

// sameConstants reports whether two announcements differ in their sequence and load alone.
func sameConstants(a, b *messages.Announcement) bool {
	a, b = constants(a), constants(b)
	return proto.Equal(a, b)
}

func constants(a *messages.Announcement) *messages.Announcement {
	c := proto.CloneOf(a)
	c.Sequence = 0
	c.Load = nil
	c.LeavingWithinMs = 0
	return c
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func check(a *messages.Announcement) error {
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
