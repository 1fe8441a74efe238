package tracker

import (
	"fmt"
	"net/url"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// tombstoneFor is how long a leaving mark outlives its upstream, longer than
// any announcement can be under way.
const tombstoneFor = 5 * time.Minute

// Event is something that happened to the table.
type Event interface{ event() }

// Announced says that an upstream's announcement has arrived.
type Announced struct {
	Announcement *messages.Announcement
}

// Ticked says that time has passed.
type Ticked struct{}

func (Announced) event() {}
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

// Refused says that an announcement changed nothing.
type Refused struct {
	Err error
}

func (Changed) action() {}
func (Left) action()    {}
func (Refused) action() {}

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

// Tracker is the table of announced upstreams.
type Tracker struct {
	// Expiry is how long an upstream counts as live without an announcement.
	Expiry time.Duration

	upstreams map[units.Upstream]*Upstream
	gone      map[units.Upstream]tombstone
	numbered  uint32
}

// tombstone keeps a late announcement from bringing an ended incarnation back.
type tombstone struct {
	incarnation units.Incarnation
	until       time.Time
}

// Step takes one event and returns the actions to carry out, in order.
func (t *Tracker) Step(now time.Time, event Event) []Action {
	if t.upstreams == nil {
		t.upstreams = make(map[units.Upstream]*Upstream)
		t.gone = make(map[units.Upstream]tombstone)
	}
	switch e := event.(type) {
	case Announced:
		return t.announce(now, e.Announcement)
	case Ticked:
		return t.expire(now)
	}
	return nil
}

// Usable returns the live upstreams that are not leaving.
func (t *Tracker) Usable() []*Upstream {
	usable := make([]*Upstream, 0, len(t.upstreams))
	for _, upstream := range t.upstreams {
		if !upstream.Leaving {
			usable = append(usable, upstream)
		}
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

func (t *Tracker) announce(now time.Time, a *messages.Announcement) []Action {
	name := units.Upstream(a.GetUpstream())
	if err := check(a); err != nil {
		return []Action{Refused{Err: err}}
	}
	next := fromAnnouncement(now, a)
	if stone, buried := t.gone[name]; buried && next.Incarnation <= stone.incarnation {
		return nil
	}
	known := t.upstreams[name]
	if known != nil && !newer(known, next) {
		return nil
	}
	// A leaving mark is final for its incarnation: a repeated older
	// announcement would send new work to a machine that is taken back.
	if known != nil && known.Leaving && known.Incarnation == next.Incarnation {
		return nil
	}
	if known != nil && known.Incarnation == next.Incarnation {
		next.Live = known.Live
	} else {
		t.numbered++
		next.Live.Number = t.numbered
	}
	next.Load.correct(next.Live)
	t.upstreams[name] = next
	actions := []Action{Changed{}}
	if next.Leaving {
		actions = append(actions, Left{
			Upstream: next,
			Reason:   "announced",
		})
	}
	return actions
}

func newer(known, next *Upstream) bool {
	if known.Incarnation != next.Incarnation {
		return next.Incarnation > known.Incarnation
	}
	return next.Sequence > known.Sequence
}

func (t *Tracker) expire(now time.Time) []Action {
	var actions []Action
	for name, upstream := range t.upstreams {
		upstream.Live.sample(now)
		silent := now.Sub(upstream.HeardAt) >= t.Expiry
		left := upstream.Leaving && !now.Before(upstream.LeavesAt)
		if !silent && !left {
			continue
		}
		delete(t.upstreams, name)
		if upstream.Leaving {
			t.gone[name] = tombstone{
				incarnation: upstream.Incarnation,
				until:       now.Add(tombstoneFor),
			}
		}
		actions = append(actions, Changed{}, Left{
			Upstream: upstream,
			Reason:   "silent",
		})
	}
	for name, stone := range t.gone {
		if now.After(stone.until) {
			delete(t.gone, name)
		}
	}
	return actions
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
