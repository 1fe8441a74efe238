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
	// silentIntervals is how many heartbeats may fail to come before an upstream
	// counts as silent: one late and one lost leave it in use.
	silentIntervals = 3.5
	// goneMemory is how long an upstream that is gone is remembered, longer than
	// a heartbeat that a cut has held up may still arrive.
	goneMemory = 2 * time.Minute
	// silentMemory is how long a silent upstream is kept in the table.
	silentMemory = time.Minute
)

// Table is what is known of all upstreams; it is a state machine without a clock.
type Table struct {
	// ID names this life of the table, since cursors of another mean nothing.
	ID uint64
	// Interval is the time from one heartbeat of an upstream to the next.
	Interval time.Duration

	entries map[units.Upstream]*Entry
	cursor  uint64
	// holders are the upstreams that use each address.
	holders map[string]units.Upstream
	// changes holds the last change of each upstream, and some that others have followed,
	// in their order.
	changes []change
	// digest was made when the cursor was digestAt, nil for none.
	digest   Digest
	digestAt uint64
}

// change is one upstream's change and the table's cursor after it.
type change struct {
	cursor uint64
	id     units.Upstream
}

// spareChanges is how many changes that others have followed are kept before they are
// taken out.
const spareChanges = 256

// Entry is what is known of one upstream.
type Entry struct {
	Registration
	// HeardAt is when the last heartbeat arrived anywhere, FirstAt when this
	// incarnation was first heard of here.
	HeardAt time.Time
	FirstAt time.Time
	// changed is the table's cursor at the entry's last change.
	changed uint64
}

// Hear takes one heartbeat, which arrived age ago, and reports whether it changes
// what a caller of the upstream should do. An older one than the last changes nothing.
func (t *Table) Hear(now time.Time, r Registration, age time.Duration) bool {
	if t.entries == nil {
		t.entries = make(map[units.Upstream]*Entry)
		t.holders = make(map[string]units.Upstream)
	}
	known := t.entries[r.ID]
	if known != nil && !follows(&known.Registration, &r) {
		return false
	}
	entry := &Entry{
		Registration: r,
		HeardAt:      now.Add(-age),
		FirstAt:      now,
	}
	if known != nil && known.Born == r.Born {
		entry.FirstAt = known.FirstAt
	}
	if t.supersede(entry) {
		return false
	}
	// A heartbeat that was overtaken on its way may say "ready" after one that
	// said "leaving"; an incarnation that leaves never comes back.
	if known != nil && known.Born == r.Born && known.State > r.State {
		entry.State = known.State
		entry.LeavesIn = known.LeavesIn
	}
	t.entries[r.ID] = entry
	if entry.State != Gone {
		t.holders[entry.Address] = entry.ID
	}
	if known != nil && alike(&known.Registration, &entry.Registration) {
		entry.changed = known.changed
		return false
	}
	t.touch(entry)
	return true
}

// follows reports whether b was said after a.
func follows(a, b *Registration) bool {
	if a.Born != b.Born {
		return b.Born > a.Born
	}
	return b.Sequence > a.Sequence || b.Sequence == a.Sequence && b.State > a.State
}

// alike reports whether a caller would treat both the same.
func alike(a, b *Registration) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.State == b.State && a.Silent == b.Silent && a.DataCentre == b.DataCentre && a.Release == b.Release &&
		(a.ColdFor > 0) == (b.ColdFor > 0)
}

// supersede marks as gone what ran at the address before, and reports whether r
// itself is of the past: its address has a later tenant. Without it a heartbeat
// that a cut held up would bring a dead upstream back at another one's address.
// Where upstreams do not say when they started, the one heard of first is the
// earlier one.
func (t *Table) supersede(r *Entry) bool {
	other := t.entries[t.holders[r.Address]]
	if other == nil || other.ID == r.ID || other.Address != r.Address || other.State == Gone {
		return false
	}
	if other.Born > r.Born || other.Born == r.Born && other.FirstAt.After(r.FirstAt) {
		return true
	}
	other.State = Gone
	t.touch(other)
	return false
}

// Leave notes that an upstream takes no work any more; it reports whether that is new.
func (t *Table) Leave(now time.Time, id units.Upstream) bool {
	entry := t.entries[id]
	if entry == nil || entry.State == Gone {
		return false
	}
	entry.State = Gone
	entry.Sequence++
	entry.HeardAt = now
	t.touch(entry)
	return true
}

// Expire marks silent upstreams and forgets those that are long gone; it reports
// whether anything changed.
func (t *Table) Expire(now time.Time) bool {
	changed := false
	limit := time.Duration(silentIntervals * float64(t.Interval))
	for id, entry := range t.entries {
		silence := now.Sub(entry.HeardAt)
		switch {
		case entry.State == Gone && silence > goneMemory, entry.State != Gone && silence > silentMemory:
			delete(t.entries, id)
			t.digest = nil
			if t.holders[entry.Address] == id {
				delete(t.holders, entry.Address)
			}
		case entry.State != Gone && !entry.Silent && silence > limit:
			entry.Silent = true
			t.touch(entry)
			changed = true
		}
	}
	return changed
}

func (t *Table) touch(entry *Entry) {
	t.cursor++
	entry.changed = t.cursor
	t.changes = append(t.changes, change{
		cursor: t.cursor,
		id:     entry.ID,
	})
	if len(t.changes) > 2*len(t.entries)+spareChanges {
		t.changes = slices.DeleteFunc(t.changes, func(c change) bool { return !t.stands(c) })
	}
}

// stands reports whether a change is the last one of its upstream.
func (t *Table) stands(c change) bool {
	entry := t.entries[c.id]
	return entry != nil && entry.changed == c.cursor
}

// Cursor returns the place up to which a reader has read the table now.
func (t *Table) Cursor() uint64 { return t.cursor }

// Since returns what has changed behind a cursor of the table with this id; with
// another id it returns everything.
func (t *Table) Since(now time.Time, id, cursor uint64) []*messages.RegisteredUpstream {
	changes, _ := t.Part(now, id, cursor, t.cursor, math.MaxInt)
	return changes
}

// Part returns the first most changes behind a cursor and up to another one, as Since, and
// the cursor behind them.
//
// A table of thousands of upstreams in one answer takes longer over a slow link than its
// reader waits, who would ask for all of it again.
func (t *Table) Part(now time.Time, id, cursor, until uint64, most int) (changes []*messages.RegisteredUpstream, reached uint64) {
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
		if !t.stands(c) {
			continue
		}
		if len(changes) == most {
			return changes, reached
		}
		entry := t.entries[c.id]
		changes = append(changes, entry.message(max(0, now.Sub(entry.HeardAt))))
		reached = c.cursor
	}
	return changes, until
}

// Follow takes what another table said of an upstream; it reports whether that
// changes what a caller should do.
func (t *Table) Follow(now time.Time, m *messages.RegisteredUpstream) bool {
	r := fromMessage(m)
	age := time.Duration(m.GetAgeMs()) * time.Millisecond
	known := t.entries[r.ID]
	// The other table may know no more than this one but for the silence.
	if known != nil && known.Born == r.Born && known.State == r.State && known.Silent != r.Silent && r.Sequence >= known.Sequence {
		known.Silent = r.Silent
		known.Sequence = r.Sequence
		known.HeardAt = now.Add(-age)
		t.touch(known)
		return true
	}
	return t.Hear(now, r, age)
}

// Message returns what is known of one upstream, nil for nothing.
func (t *Table) Message(now time.Time, id units.Upstream) *messages.RegisteredUpstream {
	entry := t.entries[id]
	if entry == nil {
		return nil
	}
	return entry.message(max(0, now.Sub(entry.HeardAt)))
}

// Entries returns what is known of all upstreams, sorted by id; it is not to be changed.
func (t *Table) Entries() []*Entry {
	entries := make([]*Entry, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		entries = append(entries, t.entries[id])
	}
	return entries
}
