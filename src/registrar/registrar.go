package registrar

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// pair is the size of a view of which either member may be lost.
const pair = 2

// Options are the periods of a registrar.
type Options struct {
	// Suspicion is how long a member may be silent before it is removed.
	Suspicion time.Duration
	// Steady is how long an entry must be heard without a gap before it joins.
	Steady time.Duration
	// Gap is the silence that ends steadiness.
	Gap time.Duration
	// Settle is how long a change waits for others to go into the same view.
	Settle time.Duration
	// Between is the least time between two views.
	Between time.Duration
	// Hold is how long silent members stay when half of the view or more is silent.
	Hold time.Duration
}

// Registrar is the leader's knowledge of the entries; Options are set before the first Step.
type Registrar struct {
	Options Options

	leading bool
	view    *messages.EntryView
	heard   map[units.Instance]*candidate
	// wantedSince is when the view first differed from what was heard.
	wantedSince time.Time
	changedAt   time.Time
	proposedAt  time.Time
	proposed    uint64
	holding     time.Time
}

// candidate is one entry as it was last heard.
type candidate struct {
	member   *messages.EntryMember
	since    time.Time
	at       time.Time
	stopping bool
}

// Step takes one event and returns the actions to carry out, in order.
func (r *Registrar) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Led:
		r.lead(now, e.View)
	case Lost:
		r.leading = false
		r.heard = nil
	case Applied:
		r.apply(now, e.View)
	case Heard:
		r.hear(now, e)
	case Ticked:
		return r.tick(now)
	}
	return nil
}

// lead starts with every member counted as heard now: a new leader has heard
// nobody yet, and without this the first tick would empty the view.
func (r *Registrar) lead(now time.Time, view *messages.EntryView) {
	r.leading = true
	r.proposed = 0
	r.holding = time.Time{}
	r.heard = make(map[units.Instance]*candidate)
	r.apply(now, view)
}

// apply takes a view; members that this leader has not heard count as heard
// now, since the view can come from a leader that had heard them.
func (r *Registrar) apply(now time.Time, view *messages.EntryView) {
	r.view = view
	r.changedAt = now
	r.wantedSince = time.Time{}
	if !r.leading {
		return
	}
	for _, member := range view.GetMembers() {
		name := units.Instance(member.GetEntry())
		known := r.heard[name]
		if known != nil && known.member.GetIncarnation() >= member.GetIncarnation() {
			continue
		}
		r.heard[name] = &candidate{
			member: member,
			since:  now,
			at:     now,
		}
	}
}

func (r *Registrar) hear(now time.Time, e Heard) {
	if !r.leading {
		return
	}
	name := units.Instance(e.Member.GetEntry())
	known := r.heard[name]
	if known != nil && e.Member.GetIncarnation() < known.member.GetIncarnation() {
		// A heartbeat of an ended life, late on its way, must not bring back
		// a member that has lost its records.
		return
	}
	fresh := known == nil ||
		e.Member.GetIncarnation() > known.member.GetIncarnation() ||
		now.Sub(known.at) > r.Options.Gap
	if fresh {
		known = &candidate{since: now}
		r.heard[name] = known
	}
	known.member = e.Member
	known.at = now
	known.stopping = known.stopping || e.Stopping
}

func (r *Registrar) tick(now time.Time) []Action {
	if !r.leading {
		return nil
	}
	members, changes, held := r.next(now)
	r.forget(now)
	if held != nil && r.holding.IsZero() {
		r.holding = now
		return []Action{*held}
	}
	if held == nil {
		r.holding = time.Time{}
	}
	if len(changes) == 0 {
		r.wantedSince = time.Time{}
		return nil
	}
	if r.wantedSince.IsZero() {
		r.wantedSince = now
	}
	if !r.due(now) {
		return nil
	}
	r.proposed = r.view.GetNumber() + 1
	r.proposedAt = now
	return []Action{Propose{
		View: &messages.EntryView{
			Number:          r.proposed,
			Members:         members,
			PreviousMembers: r.view.GetMembers(),
		},
		Changes: changes,
	}}
}

// due reports whether the next view may be proposed now.
func (r *Registrar) due(now time.Time) bool {
	if now.Sub(r.wantedSince) < r.Options.Settle {
		return false
	}
	first := r.view.GetNumber() == 0
	if !first && now.Sub(r.changedAt) < r.Options.Between {
		return false
	}
	underWay := r.proposed == r.view.GetNumber()+1
	return !underWay || now.Sub(r.proposedAt) >= r.Options.Between
}

// next returns the members that the view should have, in the order of their names.
func (r *Registrar) next(now time.Time) ([]*messages.EntryMember, []Change, *Held) {
	var changes []Change
	wanted := make(map[string]*messages.EntryMember)
	var silent []*messages.EntryMember
	for _, member := range r.view.GetMembers() {
		c := r.heard[units.Instance(member.GetEntry())]
		switch {
		case c == nil || now.Sub(c.at) >= r.Options.Suspicion:
			silent = append(silent, member)
			wanted[member.GetEntry()] = member
		case c.stopping:
			changes = append(changes, change(member, Stopped))
		case c.member.GetIncarnation() != member.GetIncarnation():
			changes = append(changes, change(member, Restarted))
			wanted[member.GetEntry()] = c.member
		case !proto.Equal(c.member, member):
			changes = append(changes, change(member, Moved))
			wanted[member.GetEntry()] = c.member
		default:
			wanted[member.GetEntry()] = member
		}
	}
	removed, held := r.removable(now, silent)
	for _, member := range removed {
		delete(wanted, member.GetEntry())
		changes = append(changes, change(member, Silent))
	}
	changes = append(changes, r.join(now, wanted)...)
	return sorted(wanted), changes, held
}

// join adds the entries that are not in the view and have been heard steadily.
func (r *Registrar) join(now time.Time, wanted map[string]*messages.EntryMember) []Change {
	present := make(map[string]bool)
	for _, member := range r.view.GetMembers() {
		present[member.GetEntry()] = true
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(r.heard)) {
		c := r.heard[name]
		steady := c.at.Sub(c.since) >= r.Options.Steady && now.Sub(c.at) <= r.Options.Gap
		if c.stopping || !steady || present[string(name)] {
			continue
		}
		wanted[string(name)] = c.member
		changes = append(changes, change(c.member, Joined))
	}
	return changes
}

// removable returns which silent members leave with the next view.
//
// A leader behind a cut hears nobody. If it removed them all, the owners of
// every record would change at once and no majority of the old ones could be
// read, so that calls that were answered would end as unknown. One view
// therefore removes less than half of the one before, and nobody while half or
// more is silent, until Hold has passed and the silence is no passing cut.
func (r *Registrar) removable(now time.Time, silent []*messages.EntryMember) ([]*messages.EntryMember, *Held) {
	total := len(r.view.GetMembers())
	most := max((total-1)/2, 0)
	// Of two members both hold every record, so that the one left has them all.
	if total == pair {
		most = 1
	}
	if len(silent) <= most {
		return silent, nil
	}
	held := &Held{
		Silent:  len(silent),
		Members: total,
	}
	if r.holding.IsZero() || now.Sub(r.holding) < r.Options.Hold {
		return nil, held
	}
	slices.SortFunc(silent, func(a, b *messages.EntryMember) int {
		return r.lastHeard(a).Compare(r.lastHeard(b))
	})
	return silent[:max(most, 1)], held
}

func (r *Registrar) lastHeard(member *messages.EntryMember) time.Time {
	if c := r.heard[units.Instance(member.GetEntry())]; c != nil {
		return c.at
	}
	return time.Time{}
}

// forget drops what was heard of entries that are long silent and no members.
func (r *Registrar) forget(now time.Time) {
	present := make(map[units.Instance]bool)
	for _, member := range r.view.GetMembers() {
		present[units.Instance(member.GetEntry())] = true
	}
	maps.DeleteFunc(r.heard, func(name units.Instance, c *candidate) bool {
		return !present[name] && now.Sub(c.at) > r.Options.Hold
	})
}

func change(member *messages.EntryMember, reason Reason) Change {
	return Change{
		Entry:  units.Instance(member.GetEntry()),
		Reason: reason,
	}
}

func sorted(members map[string]*messages.EntryMember) []*messages.EntryMember {
	list := make([]*messages.EntryMember, 0, len(members))
	for _, name := range slices.Sorted(maps.Keys(members)) {
		list = append(list, members[name])
	}
	return list
}
