package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/distributor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// observeInterval is how often the leader looks who has the version in force.
	observeInterval = 100 * time.Millisecond
	// directFor is how long after its last own heartbeat an entry gets pushes.
	directFor = time.Second
)

// distribution brings the accepted configuration to the entries and knows where
// it is in force. The last entry views are replicated; the rest is the leader's.
type distribution struct {
	state  *configurationMachine
	pusher *distributor.Pusher
	views  distributor.Views
	source *distributor.Source

	proof      distributor.Proof
	entries    map[units.Instance]*entryState
	leading    bool
	observedAt time.Time
}

// entryState is what the leader last heard of an entry.
type entryState struct {
	// heartbeat is nil for a member of a view that this leader has not heard.
	heartbeat *messages.EntryHeartbeat
	at        time.Time
	// directAt is when the entry last reported without a relay.
	directAt time.Time
	// fencedSince is when the entry must have stopped, the zero time where that is
	// not proved. It stays true until the entry is heard again or another view is
	// committed, whose majority could agree with the entry's version.
	fencedSince time.Time
	fencedView  uint64
}

// Name is the key in snapshots.
func (d *distribution) Name() string { return "entry-views" }

// Apply keeps the last views, by the same rule as the registry's.
func (d *distribution) Apply(_ units.Index, command *messages.Command) proto.Message {
	view := command.GetEntryView()
	if view != nil && view.GetNumber() == d.views.Newest().GetNumber()+1 {
		d.views = d.views.With(view)
	}
	return nil
}

// Snapshot returns the views.
func (d *distribution) Snapshot() ([]byte, error) {
	return proto.Marshal(&messages.EntryViews{
		Views: d.views,
	})
}

// Restore replaces the views.
func (d *distribution) Restore(content []byte) error {
	views := &messages.EntryViews{}
	if err := proto.Unmarshal(content, views); err != nil {
		return fmt.Errorf("read the entry views of a snapshot: %w", err)
	}
	d.views = views.GetViews()
	return nil
}

// refresh takes over a newly accepted configuration.
func (d *distribution) refresh() {
	if d.state.Version() > d.source.Version() {
		d.source = d.source.With(d.state.Version(), d.state.Document())
	}
}

// push sends a new version to the entries that report to this leader.
func (d *distribution) push(ctx context.Context, now time.Time) {
	for _, e := range d.entries {
		if now.Sub(e.directAt) < directFor {
			d.pusher.Push(ctx, e.heartbeat.GetPeerAddress(), d.source.Update(units.Version(e.heartbeat.GetVersionInForce())))
		}
	}
}

// note takes one entry's heartbeat, its own or brought by a relay.
func (d *distribution) note(now time.Time, heartbeat *messages.EntryHeartbeat, direct bool) {
	name := units.Instance(heartbeat.GetEntry())
	e := d.entries[name]
	if e == nil {
		e = &entryState{}
		d.entries[name] = e
	}
	if !overtaken(heartbeat, e.heartbeat) {
		e.heartbeat = heartbeat
	}
	e.at = now
	e.fencedSince = time.Time{}
	if direct {
		e.directAt = now
	}
}

// overtaken reports whether a heartbeat tells less than the last one, since a
// relay brought it after the entry had reported by another way.
func overtaken(heartbeat, last *messages.EntryHeartbeat) bool {
	if heartbeat.GetIncarnation() != last.GetIncarnation() {
		return heartbeat.GetIncarnation() < last.GetIncarnation()
	}
	return heartbeat.GetVersionInForce() < last.GetVersionInForce()
}

// Lead looks who has the accepted version and which entries must have stopped.
func (d *distribution) Lead(now time.Time, _ units.Term) []*messages.Command {
	if !d.leading {
		d.leading = true
		d.proof.Reset()
		d.expect(now)
	}
	if now.Sub(d.observedAt) < observeInterval {
		return nil
	}
	d.observedAt = now
	accepted := d.state.Version()
	d.proof.Observe(now, accepted, d.views, func(member *messages.EntryMember) bool {
		return d.has(member, accepted)
	})
	for name, e := range d.entries {
		d.settle(now, name, e)
	}
	return nil
}

// Rest forgets what only a leader may claim.
func (d *distribution) Rest() {
	d.leading = false
	d.proof.Reset()
	d.entries = make(map[units.Instance]*entryState)
}

// expect makes a new leader count the members of the last views before it has
// heard them; one that is cut off would not be missed otherwise.
func (d *distribution) expect(now time.Time) {
	for _, view := range d.views {
		for _, member := range view.GetMembers() {
			name := units.Instance(member.GetEntry())
			if d.entries[name] == nil {
				d.entries[name] = &entryState{at: now}
			}
		}
	}
}

// has reports whether a life of an entry has the version, or can agree with
// nobody any more since the entry has started again.
func (d *distribution) has(member *messages.EntryMember, version units.Version) bool {
	e := d.entries[units.Instance(member.GetEntry())]
	if e == nil || e.heartbeat == nil {
		return false
	}
	if e.heartbeat.GetIncarnation() > member.GetIncarnation() {
		return true
	}
	return e.heartbeat.GetIncarnation() == member.GetIncarnation() &&
		units.Version(e.heartbeat.GetVersionInForce()) >= version
}

// settle notes an entry that must have stopped, and forgets one that has left.
func (d *distribution) settle(now time.Time, name units.Instance, e *entryState) {
	newest := d.views.Newest().GetNumber()
	if e.fencedView != newest {
		e.fencedSince = time.Time{}
	}
	if e.fencedSince.IsZero() {
		since, fenced := d.proof.Fenced(now, d.views, e.heartbeat.GetViewNumber())
		behind := units.Version(e.heartbeat.GetVersionInForce()) < d.state.Version()
		if fenced && behind {
			e.fencedSince = since
			e.fencedView = newest
		}
	}
	silent := now.Sub(e.at) > goneAfter*d.proof.Fence
	left := e.heartbeat.GetStopping() || !e.fencedSince.IsZero() || d.current(e)
	if silent && left && !d.inView(name) {
		delete(d.entries, name)
	}
}

func (d *distribution) current(e *entryState) bool {
	return e.heartbeat != nil && units.Version(e.heartbeat.GetVersionInForce()) == d.state.Version()
}

func (d *distribution) inView(name units.Instance) bool {
	return slices.ContainsFunc(d.views.Newest().GetMembers(), func(member *messages.EntryMember) bool {
		return member.GetEntry() == string(name)
	})
}

// report adds to a status where the accepted version is in force and who is missing.
func (d *distribution) report(now time.Time, status *messages.Status) {
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[name]
		fenced := !e.fencedSince.IsZero() || e.heartbeat.GetStopping()
		// An entry that has left and can serve nothing older is not missed.
		if !d.inView(name) && (fenced || d.current(e)) && now.Sub(e.at) > d.proof.Fence {
			continue
		}
		status.Entries++
		if d.current(e) || fenced {
			status.InForce++
		}
		if !d.current(e) {
			status.Missing = append(status.Missing, d.missing(now, name, e))
		}
	}
}

// missing says why an entry lacks the accepted version.
func (d *distribution) missing(now time.Time, name units.Instance, e *entryState) *messages.EntryStatus {
	reason := fmt.Sprintf("behind at version %d, heard %s ago", e.heartbeat.GetVersionInForce(), rounded(now.Sub(e.at)))
	switch {
	case units.Version(e.heartbeat.GetVersionInForce()) > d.state.Version():
		// Only a log that began anew on empty disks knows less than an entry.
		reason = fmt.Sprintf("ahead at version %d: control has lost what it accepted; submit the configuration with a higher version",
			e.heartbeat.GetVersionInForce())
	case e.heartbeat == nil:
		reason = fmt.Sprintf("not heard since this leader began %s ago", rounded(now.Sub(e.at)))
	case e.heartbeat.GetStopping():
		reason = "stopping, takes no new calls"
	case now.Sub(e.at) > directFor:
		reason = fmt.Sprintf("behind at version %d, silent since %s", e.heartbeat.GetVersionInForce(), rounded(now.Sub(e.at)))
	}
	if !e.fencedSince.IsZero() {
		reason += fmt.Sprintf(", fenced since %s at least", rounded(now.Sub(e.fencedSince)))
	}
	return &messages.EntryStatus{
		Entry:          string(name),
		VersionInForce: e.heartbeat.GetVersionInForce(),
		Fenced:         !e.fencedSince.IsZero() || e.heartbeat.GetStopping(),
		Reason:         reason,
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
