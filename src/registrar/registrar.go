package registrar

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// pairSize is the size of a view from which either member may be removed.
const pairSize = 2

// Options are the timeouts and intervals of a registrar.
type Options struct {
	// SuspicionTimeout is how long a member may be silent before it is removed.
	SuspicionTimeout time.Duration
	// SteadyPeriod is how long an entry must send heartbeats without a gap before it joins.
	SteadyPeriod time.Duration
	// MaxHeartbeatGap is the maximum time between two heartbeats without a gap.
	MaxHeartbeatGap time.Duration
	// SettlePeriod is how long a change is delayed so that further changes share its view.
	SettlePeriod time.Duration
	// MinViewInterval is the minimum time between two views.
	MinViewInterval time.Duration
	// HoldPeriod is how long silent members stay when half of the view or more is silent.
	HoldPeriod time.Duration
}

// Registrar is the leader's state machine for the entry view; Options are set before the first Step.
type Registrar struct {
	Options Options

	leading bool
	view    *messages.EntryView
	entries map[units.Instance]*entryState
	// changePendingSince is when the wanted members first differed from the view's.
	changePendingSince time.Time
	viewCommittedAt    time.Time
	proposedAt         time.Time
	proposedNumber     uint64
	heldSince          time.Time
}

// entryState is what the heartbeats of one entry reported.
type entryState struct {
	member          *messages.EntryMember
	steadySince     time.Time
	lastHeartbeatAt time.Time
	stopping        bool
}

// Step takes one event and returns the actions to carry out, in order.
func (r *Registrar) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case LeadershipGained:
		r.onLeadershipGained(now, e.View)
	case LeadershipLost:
		r.leading = false
		r.entries = nil
	case ViewCommitted:
		r.applyView(now, e.View)
	case HeartbeatReceived:
		r.onHeartbeat(now, e)
	case Ticked:
		return r.onTick(now)
	}
	return nil
}

// onLeadershipGained starts with a heartbeat of every member assumed now: a new leader has
// not yet received any, and without this the first tick would empty the view.
func (r *Registrar) onLeadershipGained(now time.Time, view *messages.EntryView) {
	r.leading = true
	r.proposedNumber = 0
	r.heldSince = time.Time{}
	r.entries = make(map[units.Instance]*entryState)
	r.applyView(now, view)
}

// applyView stores a view. For members of which this leader has received no heartbeat,
// one is assumed now, since a previous leader that received theirs can have proposed the view.
func (r *Registrar) applyView(now time.Time, view *messages.EntryView) {
	r.view = view
	r.viewCommittedAt = now
	r.changePendingSince = time.Time{}
	if !r.leading {
		return
	}
	for _, member := range view.GetMembers() {
		name := units.Instance(member.GetEntry())
		known := r.entries[name]
		if known != nil && known.member.GetIncarnation() >= member.GetIncarnation() {
			continue
		}
		r.entries[name] = &entryState{
			member:          member,
			steadySince:     now,
			lastHeartbeatAt: now,
		}
	}
}

func (r *Registrar) onHeartbeat(now time.Time, e HeartbeatReceived) {
	if !r.leading {
		return
	}
	name := units.Instance(e.Member.GetEntry())
	known := r.entries[name]
	if known != nil && e.Member.GetIncarnation() < known.member.GetIncarnation() {
		// A delayed heartbeat of an earlier incarnation must not restore a member
		// that has lost its records.
		return
	}
	restartSteadiness := known == nil ||
		e.Member.GetIncarnation() > known.member.GetIncarnation() ||
		now.Sub(known.lastHeartbeatAt) > r.Options.MaxHeartbeatGap
	if restartSteadiness {
		known = &entryState{steadySince: now}
		r.entries[name] = known
	}
	known.member = e.Member
	known.lastHeartbeatAt = now
	known.stopping = known.stopping || e.Stopping
}

func (r *Registrar) onTick(now time.Time) []Action {
	if !r.leading {
		return nil
	}
	members, changes, held := r.nextMembers(now)
	r.evictStale(now)
	if held != nil && r.heldSince.IsZero() {
		r.heldSince = now
		return []Action{*held}
	}
	if held == nil {
		r.heldSince = time.Time{}
	}
	if len(changes) == 0 {
		r.changePendingSince = time.Time{}
		return nil
	}
	if r.changePendingSince.IsZero() {
		r.changePendingSince = now
	}
	if !r.isProposalDue(now) {
		return nil
	}
	r.proposedNumber = r.view.GetNumber() + 1
	r.proposedAt = now
	return []Action{Propose{
		View: &messages.EntryView{
			Number:          r.proposedNumber,
			Members:         members,
			PreviousMembers: r.view.GetMembers(),
		},
		Changes: changes,
	}}
}

// isProposalDue reports whether the next view may be proposed now.
func (r *Registrar) isProposalDue(now time.Time) bool {
	if now.Sub(r.changePendingSince) < r.Options.SettlePeriod {
		return false
	}
	first := r.view.GetNumber() == 0
	if !first && now.Sub(r.viewCommittedAt) < r.Options.MinViewInterval {
		return false
	}
	proposalPending := r.proposedNumber == r.view.GetNumber()+1
	return !proposalPending || now.Sub(r.proposedAt) >= r.Options.MinViewInterval
}

// nextMembers returns the members that the next view should have, sorted by name, and
// the changes from the current view.
func (r *Registrar) nextMembers(now time.Time) ([]*messages.EntryMember, []Change, *RemovalHeld) {
	var changes []Change
	wanted := make(map[string]*messages.EntryMember)
	var silent []*messages.EntryMember
	for _, member := range r.view.GetMembers() {
		c := r.entries[units.Instance(member.GetEntry())]
		switch {
		case c == nil || now.Sub(c.lastHeartbeatAt) >= r.Options.SuspicionTimeout:
			silent = append(silent, member)
			wanted[member.GetEntry()] = member
		case c.stopping:
			changes = append(changes, newChange(member, Stopped))
		case c.member.GetIncarnation() != member.GetIncarnation():
			changes = append(changes, newChange(member, Restarted))
			wanted[member.GetEntry()] = c.member
		case !proto.Equal(c.member, member):
			changes = append(changes, newChange(member, Moved))
			wanted[member.GetEntry()] = c.member
		default:
			wanted[member.GetEntry()] = member
		}
	}
	removed, held := r.removableMembers(now, silent)
	for _, member := range removed {
		delete(wanted, member.GetEntry())
		changes = append(changes, newChange(member, Silent))
	}
	changes = append(changes, r.addJoining(now, wanted)...)
	return sortedByName(wanted), changes, held
}

// addJoining adds the entries to wanted that are not in the view and have sent
// heartbeats without a gap for long enough.
func (r *Registrar) addJoining(now time.Time, wanted map[string]*messages.EntryMember) []Change {
	present := make(map[string]bool)
	for _, member := range r.view.GetMembers() {
		present[member.GetEntry()] = true
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		c := r.entries[name]
		steady := c.lastHeartbeatAt.Sub(c.steadySince) >= r.Options.SteadyPeriod && now.Sub(c.lastHeartbeatAt) <= r.Options.MaxHeartbeatGap
		if c.stopping || !steady || present[string(name)] {
			continue
		}
		wanted[string(name)] = c.member
		changes = append(changes, newChange(c.member, Joined))
	}
	return changes
}

// removableMembers returns the silent members that the next view removes.
//
// A leader that is partitioned from the entries receives no heartbeats. If it removed
// all members, the owners of every record would change at once and no majority of the
// previous owners could be read, so that answered calls would end as unknown. One view
// therefore removes less than half of the previous one's members, and none while half
// or more are silent, until HoldPeriod has passed and a transient partition is ruled out.
func (r *Registrar) removableMembers(now time.Time, silent []*messages.EntryMember) ([]*messages.EntryMember, *RemovalHeld) {
	total := len(r.view.GetMembers())
	maxRemoved := max((total-1)/2, 0)
	// With two members, both hold every record, so the remaining one has them all.
	if total == pairSize {
		maxRemoved = 1
	}
	if len(silent) <= maxRemoved {
		return silent, nil
	}
	held := &RemovalHeld{
		Silent:  len(silent),
		Members: total,
	}
	if r.heldSince.IsZero() || now.Sub(r.heldSince) < r.Options.HoldPeriod {
		return nil, held
	}
	slices.SortFunc(silent, func(a, b *messages.EntryMember) int {
		return r.lastHeartbeat(a).Compare(r.lastHeartbeat(b))
	})
	return silent[:max(maxRemoved, 1)], held
}

func (r *Registrar) lastHeartbeat(member *messages.EntryMember) time.Time {
	if c := r.entries[units.Instance(member.GetEntry())]; c != nil {
		return c.lastHeartbeatAt
	}
	return time.Time{}
}

// evictStale removes the state of entries that are not members and have been silent for longer than HoldPeriod.
func (r *Registrar) evictStale(now time.Time) {
	present := make(map[units.Instance]bool)
	for _, member := range r.view.GetMembers() {
		present[units.Instance(member.GetEntry())] = true
	}
	maps.DeleteFunc(r.entries, func(name units.Instance, c *entryState) bool {
		return !present[name] && now.Sub(c.lastHeartbeatAt) > r.Options.HoldPeriod
	})
}

func newChange(member *messages.EntryMember, reason Reason) Change {
	return Change{
		Entry:  units.Instance(member.GetEntry()),
		Reason: reason,
	}
}

func sortedByName(members map[string]*messages.EntryMember) []*messages.EntryMember {
	list := make([]*messages.EntryMember, 0, len(members))
	for _, name := range slices.Sorted(maps.Keys(members)) {
		list = append(list, members[name])
	}
	return list
}
