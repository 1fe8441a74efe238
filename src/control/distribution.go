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
	// observeInterval is how often the leader checks which entries have the accepted
	// version in force.
	observeInterval = 100 * time.Millisecond
	// directExpiry is how long after an entry's last heartbeat without a relay the
	// leader pushes new versions to it.
	directExpiry = time.Second
)

// distribution distributes the accepted configuration to the entries and tracks where
// it is in force. The last entry views are replicated; all other state is held by the
// leader only.
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

// entryState is the leader's state of one entry.
type entryState struct {
	// heartbeat is nil for a member of a view that has sent no heartbeat to this leader.
	heartbeat       *messages.EntryHeartbeat
	lastHeartbeatAt time.Time
	// directAt is when the entry last reported without a relay.
	directAt time.Time
	// fencedSince is when the entry must have stopped, the zero time if that is not
	// proved. It remains valid until the entry sends a heartbeat again or another view
	// is committed, since the new view's majority could agree with the entry's version.
	fencedSince time.Time
	fencedView  uint64
}

// Name returns the state machine's key in snapshots.
func (d *distribution) Name() string { return "entry-views" }

// Apply stores a committed view if its number is the next, by the same rule as the
// registry.
func (d *distribution) Apply(_ units.Index, command *messages.Command) proto.Message {
	view := command.GetEntryView()
	if view != nil && view.GetNumber() == d.views.Newest().GetNumber()+1 {
		d.views = d.views.With(view)
	}
	return nil
}

// Snapshot returns the encoded views.
func (d *distribution) Snapshot() ([]byte, error) {
	return proto.Marshal(&messages.EntryViews{
		Views: d.views,
	})
}

// Restore replaces the views.
func (d *distribution) Restore(content []byte) error {
	views := &messages.EntryViews{}
	if err := proto.Unmarshal(content, views); err != nil {
		return fmt.Errorf("decode the entry views of a snapshot: %w", err)
	}
	d.views = views.GetViews()
	return nil
}

// updateSource adopts a newly accepted configuration.
func (d *distribution) updateSource() {
	if d.state.Version() > d.source.Version() {
		d.source = d.source.With(d.state.Version(), d.state.Document())
	}
}

// push sends a new version to the entries that report to this leader without a relay.
func (d *distribution) push(ctx context.Context, now time.Time) {
	for _, e := range d.entries {
		if now.Sub(e.directAt) < directExpiry {
			d.pusher.Push(ctx, e.heartbeat.GetPeerAddress(), d.source.Update(units.Version(e.heartbeat.GetVersionInForce())))
		}
	}
}

// recordHeartbeat records one entry's heartbeat, sent directly or by a relay.
func (d *distribution) recordHeartbeat(now time.Time, heartbeat *messages.EntryHeartbeat, direct bool) {
	name := units.Instance(heartbeat.GetEntry())
	e := d.entries[name]
	if e == nil {
		e = &entryState{}
		d.entries[name] = e
	}
	if !isOutdated(heartbeat, e.heartbeat) {
		e.heartbeat = heartbeat
	}
	e.lastHeartbeatAt = now
	e.fencedSince = time.Time{}
	if direct {
		e.directAt = now
	}
}

// isOutdated reports whether a heartbeat is older than the last one. That happens if a
// relay delivers it after the entry has sent a newer one by another way.
func isOutdated(heartbeat, last *messages.EntryHeartbeat) bool {
	if heartbeat.GetIncarnation() != last.GetIncarnation() {
		return heartbeat.GetIncarnation() < last.GetIncarnation()
	}
	return heartbeat.GetVersionInForce() < last.GetVersionInForce()
}

// Lead determines which entries have the accepted version and which must have stopped.
func (d *distribution) Lead(now time.Time, _ units.Term) []*messages.Command {
	if !d.leading {
		d.leading = true
		d.proof.Reset()
		d.addViewMembers(now)
	}
	if now.Sub(d.observedAt) < observeInterval {
		return nil
	}
	d.observedAt = now
	accepted := d.state.Version()
	d.proof.Observe(now, accepted, d.views, func(member *messages.EntryMember) bool {
		return d.hasVersion(member, accepted)
	})
	for name, e := range d.entries {
		d.updateEntry(now, name, e)
	}
	return nil
}

// StopLeading drops the state that is valid only at the leader.
func (d *distribution) StopLeading() {
	d.leading = false
	d.proof.Reset()
	d.entries = make(map[units.Instance]*entryState)
}

// addViewMembers makes a new leader track the members of the last views before their
// first heartbeat. Otherwise an entry that cannot reach the leader would not be
// reported as missing.
func (d *distribution) addViewMembers(now time.Time) {
	for _, view := range d.views {
		for _, member := range view.GetMembers() {
			name := units.Instance(member.GetEntry())
			if d.entries[name] == nil {
				d.entries[name] = &entryState{lastHeartbeatAt: now}
			}
		}
	}
}

// hasVersion reports whether an incarnation of an entry has the version, or has ended
// because the entry has restarted, so that it can no longer agree with others.
func (d *distribution) hasVersion(member *messages.EntryMember, version units.Version) bool {
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

// updateEntry records whether an entry must have stopped, and forgets one that has left.
func (d *distribution) updateEntry(now time.Time, name units.Instance, e *entryState) {
	newest := d.views.Newest().GetNumber()
	if e.fencedView != newest {
		e.fencedSince = time.Time{}
	}
	if e.fencedSince.IsZero() {
		since, fenced := d.proof.FencedSince(now, d.views, e.heartbeat.GetViewNumber())
		behind := units.Version(e.heartbeat.GetVersionInForce()) < d.state.Version()
		if fenced && behind {
			e.fencedSince = since
			e.fencedView = newest
		}
	}
	silent := now.Sub(e.lastHeartbeatAt) > entryExpiryPeriods*d.proof.LeaseDuration
	canBeForgotten := e.heartbeat.GetStopping() || !e.fencedSince.IsZero() || d.isCurrent(e)
	if silent && canBeForgotten && !d.isInNewestView(name) {
		delete(d.entries, name)
	}
}

// isCurrent reports whether an entry has the accepted version in force.
func (d *distribution) isCurrent(e *entryState) bool {
	return e.heartbeat != nil && units.Version(e.heartbeat.GetVersionInForce()) == d.state.Version()
}

func (d *distribution) isInNewestView(name units.Instance) bool {
	return slices.ContainsFunc(d.views.Newest().GetMembers(), func(member *messages.EntryMember) bool {
		return member.GetEntry() == string(name)
	})
}

// addToStatus adds to a status how many entries have the accepted version in force and
// which do not.
func (d *distribution) addToStatus(now time.Time, status *messages.Status) {
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[name]
		fenced := !e.fencedSince.IsZero() || e.heartbeat.GetStopping()
		// An entry that has left and cannot serve an older version is not missing.
		if !d.isInNewestView(name) && (fenced || d.isCurrent(e)) && now.Sub(e.lastHeartbeatAt) > d.proof.LeaseDuration {
			continue
		}
		status.Entries++
		if d.isCurrent(e) || fenced {
			status.InForce++
		}
		if !d.isCurrent(e) {
			status.Missing = append(status.Missing, d.missingStatus(now, name, e))
		}
	}
}

// missingStatus returns why an entry lacks the accepted version.
func (d *distribution) missingStatus(now time.Time, name units.Instance, e *entryState) *messages.EntryStatus {
	reason := fmt.Sprintf("behind at version %d, heard %s ago", e.heartbeat.GetVersionInForce(), roundForStatus(now.Sub(e.lastHeartbeatAt)))
	switch {
	case units.Version(e.heartbeat.GetVersionInForce()) > d.state.Version():
		// Only a log that was started again on empty disks is behind an entry.
		reason = fmt.Sprintf("ahead at version %d: control has lost what it accepted; submit the configuration with a higher version",
			e.heartbeat.GetVersionInForce())
	case e.heartbeat == nil:
		reason = fmt.Sprintf("not heard since this leader began %s ago", roundForStatus(now.Sub(e.lastHeartbeatAt)))
	case e.heartbeat.GetStopping():
		reason = "stopping, takes no new calls"
	case now.Sub(e.lastHeartbeatAt) > directExpiry:
		reason = fmt.Sprintf("behind at version %d, silent since %s", e.heartbeat.GetVersionInForce(), roundForStatus(now.Sub(e.lastHeartbeatAt)))
	}
	if !e.fencedSince.IsZero() {
		reason += fmt.Sprintf(", fenced since %s at least", roundForStatus(now.Sub(e.fencedSince)))
	}
	return &messages.EntryStatus{
		Entry:          string(name),
		VersionInForce: e.heartbeat.GetVersionInForce(),
		Fenced:         !e.fencedSince.IsZero() || e.heartbeat.GetStopping(),
		Reason:         reason,
	}
}

func roundForStatus(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
