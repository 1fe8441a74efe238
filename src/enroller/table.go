package enroller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxMissedIntervals is the silence, in heartbeat intervals, after which an upstream counts
	// as silent. One late and one lost heartbeat leave it in use.
	maxMissedIntervals = 3.5
	// GoneRetention is how long an upstream that is gone is kept. It is longer than a network cut
	// can delay a heartbeat.
	GoneRetention = 2 * time.Minute
	// silentRetention is how long a silent upstream is kept.
	silentRetention = time.Minute
	// maxUpstreams bounds the upstreams in a table, whoever announces them: with texts of MaxTextBytes they take 48 MiB.
	// Those that have gone count as long as they are kept.
	maxUpstreams = 1 << 15
	// maxUnnamed bounds those of services that are not named, which would otherwise leave no room for others. All
	// upstreams are such until the first configuration arrives.
	maxUnnamed = 1 << 12
)

// Table holds what is known of all upstreams. It is a state machine without a clock.
type Table struct {
	// ID identifies this instance of the table; a cursor of another table is meaningless here.
	ID uint64
	// Interval is the time between two heartbeats of an upstream.
	Interval time.Duration
	// IsWithheld reports whether those that follow the table must not learn of an upstream yet; nil withholds none.
	// Republish must be called once it no longer does.
	IsWithheld func(r *Registration) bool
	// IsNamed reports whether a service is one that calls are for; nil names all. An upstream of another service changes
	// nothing that is believed of others.
	IsNamed func(service units.Service) bool

	upstreams map[units.Upstream]*Upstream
	cursor    uint64
	// byAddress maps each address to the upstream that uses it.
	byAddress map[string]units.Upstream
	// changes holds the latest change of each upstream and some superseded ones, in order.
	changes []change
	// digest was computed when the cursor was digestCursor. It is nil if there is none.
	digest       Digest
	digestCursor uint64
	former       formerReleases
}

// change is a change of one upstream and the table's cursor after it.
type change struct {
	cursor uint64
	id     units.Upstream
}

// compactionSlack is how many superseded changes are kept before they are removed.
const compactionSlack = 256

// Upstream is what is known of one upstream.
type Upstream struct {
	Registration
	// HeartbeatAt is when any control instance received the last heartbeat, and FirstSeenAt when this
	// table first recorded the incarnation.
	HeartbeatAt time.Time
	FirstSeenAt time.Time
	// changed is the table's cursor at the upstream's last change.
	changed uint64
}

// Record records one heartbeat that arrived age ago, and reports whether it changes how callers
// treat the upstream. A heartbeat older than the last one changes nothing, unless it says that the incarnation
// leaves or has gone. One that cannot be passed on, or that the table has no room for, is not recorded.
func (t *Table) Record(now time.Time, r Registration, age time.Duration) bool {
	if t.upstreams == nil {
		t.upstreams = make(map[units.Upstream]*Upstream)
		t.byAddress = make(map[string]units.Upstream)
		t.former = make(formerReleases)
	}
	known := t.upstreams[r.ID]
	switch {
	case known == nil && !t.hasRoom(&r) || r.Validate() != nil:
		return false
	case known != nil && r.endsIncarnation(&known.Registration):
		return t.end(now.Add(-age), known, &r)
	case known != nil && !isNewer(&known.Registration, &r):
		return false
	}
	upstream := &Upstream{
		Registration: r,
		HeartbeatAt:  now.Add(-age),
		FirstSeenAt:  now,
	}
	if known != nil && known.Incarnation == r.Incarnation {
		upstream.FirstSeenAt = known.FirstSeenAt
	}
	if t.isNamed(&r) && t.supersede(upstream) {
		// A later upstream has its address, and it will not use that again.
		return known != nil && r.State != Ready && t.MarkGone(now, r.ID, r.Incarnation)
	}
	return t.replace(known, upstream)
}

// replace records an upstream in place of what was known of it, nil for nothing.
func (t *Table) replace(known, upstream *Upstream) bool {
	// A heartbeat that was overtaken on its way may report "ready" after one that reported
	// "leaving". An incarnation that leaves never becomes ready again.
	if known != nil && known.Incarnation == upstream.Incarnation && known.State > upstream.State {
		upstream.State = known.State
		upstream.LeavesIn = known.LeavesIn
	}
	t.former.record(known, upstream)
	t.upstreams[upstream.ID] = upstream
	if upstream.State != Gone && t.isNamed(&upstream.Registration) {
		t.byAddress[upstream.Address] = upstream.ID
	}
	if known != nil && isEquivalent(&known.Registration, &upstream.Registration) {
		upstream.changed = known.changed
		return false
	}
	t.recordChange(upstream)
	return true
}

// isNamed reports whether a registration is of an upstream that calls are for.
func (t *Table) isNamed(r *Registration) bool {
	return !r.IsDeparture() && (t.IsNamed == nil || t.IsNamed(r.Service))
}

// hasRoom reports whether the table has room for an upstream that it does not hold.
func (t *Table) hasRoom(r *Registration) bool {
	if len(t.upstreams) >= maxUpstreams {
		return false
	}
	if t.isNamed(r) || len(t.upstreams) < maxUnnamed {
		return true
	}
	unnamed := 0
	for _, u := range t.upstreams {
		if !t.isNamed(&u.Registration) {
			unnamed++
		}
	}
	return unnamed < maxUnnamed
}

// endsIncarnation reports whether a registration says that the known incarnation leaves or has gone, which is final in
// whatever order registrations arrive.
func (r *Registration) endsIncarnation(known *Registration) bool {
	isSame := r.Incarnation == known.Incarnation || r.IsDeparture() && r.Incarnation > known.Incarnation
	return isSame && r.State > known.State && (r.State == Gone || r.Sequence < known.Sequence)
}

// IsDeparture reports whether a registration says only that all incarnations up to its own have gone.
func (r *Registration) IsDeparture() bool { return r.State == Gone && r.Address == "" }

// end records that the known incarnation of an upstream leaves or has gone.
func (t *Table) end(at time.Time, known *Upstream, r *Registration) bool {
	known.State = r.State
	known.LeavesIn = r.LeavesIn
	known.Sequence = max(known.Sequence+1, r.Sequence)
	if r.State == Gone {
		known.HeartbeatAt = at
	}
	t.recordChange(known)
	return true
}

// isNewer reports whether b was sent after a.
func isNewer(a, b *Registration) bool {
	if a.Incarnation != b.Incarnation {
		return b.Incarnation > a.Incarnation
	}
	return b.Sequence > a.Sequence || b.Sequence == a.Sequence && b.State > a.State
}

// isEquivalent reports whether callers treat both the same.
func isEquivalent(a, b *Registration) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.State == b.State && a.Silent == b.Silent && a.DataCentre == b.DataCentre && a.Release == b.Release &&
		(a.ColdFor > 0) == (b.ColdFor > 0)
}

// supersede marks the previous upstream at the address of u as gone. It reports whether u itself
// is obsolete because a later upstream uses its address. Without this, a heartbeat that was
// delayed by a network cut would bring a dead upstream back at another one's address. If
// upstreams do not report when they started, the one recorded first is the earlier one.
func (t *Table) supersede(u *Upstream) bool {
	other := t.upstreams[t.byAddress[u.Address]]
	if other == nil || other.ID == u.ID || other.Address != u.Address || other.State == Gone {
		return false
	}
	if other.Incarnation > u.Incarnation || other.Incarnation == u.Incarnation && other.FirstSeenAt.After(u.FirstSeenAt) {
		return true
	}
	other.State = Gone
	t.recordChange(other)
	return false
}

// MarkGone marks the incarnations of an upstream up to the given one as gone, and reports whether that changes anything.
// They are kept as gone also where none is known, for heartbeats of them that are late.
func (t *Table) MarkGone(now time.Time, id units.Upstream, incarnation units.Incarnation) bool {
	return t.Record(now, NewDeparture(id, incarnation), 0)
}

// Holds reports whether the table knows that an incarnation of an upstream is in this state or a later one, or that a later
// incarnation has taken its place.
func (t *Table) Holds(id units.Upstream, incarnation units.Incarnation, state State) bool {
	known := t.upstreams[id]
	return known != nil && (known.Incarnation > incarnation || known.State >= state)
}

// Expire marks silent upstreams and removes those that have been gone or silent for long. It
// reports whether it marked any.
func (t *Table) Expire(now time.Time) bool {
	changed := false
	silenceLimit := time.Duration(maxMissedIntervals * float64(t.Interval))
	for id, upstream := range t.upstreams {
		silentFor := now.Sub(upstream.HeartbeatAt)
		switch {
		case upstream.State == Gone && silentFor > GoneRetention, upstream.State != Gone && silentFor > silentRetention:
			delete(t.upstreams, id)
			t.digest = nil
			if t.byAddress[upstream.Address] == id {
				delete(t.byAddress, upstream.Address)
			}
		case upstream.State != Gone && !upstream.Silent && silentFor > silenceLimit:
			upstream.Silent = true
			t.recordChange(upstream)
			changed = true
		}
	}
	return changed
}

func (t *Table) recordChange(upstream *Upstream) {
	t.cursor++
	upstream.changed = t.cursor
	t.changes = append(t.changes, change{
		cursor: t.cursor,
		id:     upstream.ID,
	})
	if len(t.changes) > 2*len(t.upstreams)+compactionSlack {
		t.changes = slices.DeleteFunc(t.changes, func(c change) bool { return !t.isCurrent(c) })
	}
}

// isCurrent reports whether a change is the latest one of its upstream.
func (t *Table) isCurrent(c change) bool {
	upstream := t.upstreams[c.id]
	return upstream != nil && upstream.changed == c.cursor
}

// Cursor returns the cursor after the latest change.
func (t *Table) Cursor() uint64 { return t.cursor }

// ChangesSince returns the changes after a cursor of the table with this ID; with another ID it returns
// everything.
func (t *Table) ChangesSince(now time.Time, id, cursor uint64) []*messages.RegisteredUpstream {
	changes, _ := t.page(now, id, cursor, t.cursor, math.MaxInt, nil)
	return changes
}

// Page returns the first maxChanges changes after one cursor and up to another, as ChangesSince does,
// and the cursor after them. It leaves out what is withheld.
//
// Sending a table of thousands of upstreams in one response over a slow link would take longer
// than the reader's timeout, and the reader would then request all of it again.
func (t *Table) Page(now time.Time, id, cursor, until uint64, maxChanges int) (changes []*messages.RegisteredUpstream, reached uint64) {
	return t.page(now, id, cursor, until, maxChanges, t.IsWithheld)
}

func (t *Table) page(now time.Time, id, cursor, until uint64, maxChanges int, isWithheld func(*Registration) bool) (changes []*messages.RegisteredUpstream, reached uint64) {
	if id != t.ID {
		cursor = 0
	}
	if cursor >= until {
		return nil, cursor
	}
	first, _ := slices.BinarySearchFunc(t.changes, cursor+1, func(c change, cursor uint64) int {
		return cmp.Compare(c.cursor, cursor)
	})
	for _, c := range t.changes[first:] {
		if c.cursor > until {
			break
		}
		if !t.isCurrent(c) {
			continue
		}
		if len(changes) == maxChanges {
			return changes, reached
		}
		upstream := t.upstreams[c.id]
		if isWithheld != nil && isWithheld(&upstream.Registration) {
			continue
		}
		changes = append(changes, upstream.Message(max(0, now.Sub(upstream.HeartbeatAt))))
		reached = c.cursor
	}
	return changes, until
}

// Republish lets those that follow the table learn of the upstreams that are no longer withheld.
func (t *Table) Republish(isReleased func(r *Registration) bool) {
	for _, id := range slices.Sorted(maps.Keys(t.upstreams)) {
		if upstream := t.upstreams[id]; isReleased(&upstream.Registration) {
			t.recordChange(upstream)
		}
	}
}

// isWithheld reports whether those that follow the table must not learn of an upstream yet.
func (t *Table) isWithheld(u *Upstream) bool {
	return t.IsWithheld != nil && t.IsWithheld(&u.Registration)
}

// Merge merges what another table reported of an upstream, and reports whether that changes how
// callers treat it.
func (t *Table) Merge(now time.Time, m *messages.RegisteredUpstream) bool {
	r := FromMessage(m)
	age := time.Duration(m.GetAgeMs()) * time.Millisecond
	known := t.upstreams[r.ID]
	// The other table may know nothing newer than this one except whether the upstream is silent.
	if known != nil && known.Incarnation == r.Incarnation && known.State == r.State && known.Silent != r.Silent && r.Sequence >= known.Sequence {
		known.Silent = r.Silent
		known.Sequence = r.Sequence
		known.HeartbeatAt = now.Add(-age)
		t.recordChange(known)
		return true
	}
	return t.Record(now, r, age)
}

// Message returns what is known of one upstream, nil if it is unknown.
func (t *Table) Message(now time.Time, id units.Upstream) *messages.RegisteredUpstream {
	upstream := t.upstreams[id]
	if upstream == nil {
		return nil
	}
	return upstream.Message(max(0, now.Sub(upstream.HeartbeatAt)))
}

// IncarnationOf returns the incarnation of an upstream, 0 if the upstream is unknown.
func (t *Table) IncarnationOf(id units.Upstream) units.Incarnation {
	if upstream := t.upstreams[id]; upstream != nil {
		return upstream.Incarnation
	}
	return 0
}

// Upstreams returns all upstreams, sorted by ID. The caller must not modify them.
func (t *Table) Upstreams() []*Upstream {
	list := make([]*Upstream, 0, len(t.upstreams))
	for _, id := range slices.Sorted(maps.Keys(t.upstreams)) {
		list = append(list, t.upstreams[id])
	}
	return list
}
