package tracker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// mergeRumour merges a rumour that another entry has sent.
func (t *Tracker) mergeRumour(now time.Time, r *messages.Rumour) []Action {
	a := r.GetAnnouncement()
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	// A rumour that was held in a suspended process for longer than an upstream may be
	// silent says nothing about the present.
	stale := age >= indirectTimeoutFactor*t.Expiry && r.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED
	if a.GetUpstream() == "" || age < 0 || stale {
		return nil
	}
	known := t.upstreams[units.Upstream(a.GetUpstream())]
	switch r.GetState() {
	case messages.UpstreamState_UPSTREAM_STATE_SUSPECTED:
		return t.mergeSuspicion(now, known, a)
	case messages.UpstreamState_UPSTREAM_STATE_GONE:
		return t.mergeEnd(now, known, a)
	case messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED, messages.UpstreamState_UPSTREAM_STATE_LEAVING:
		return t.mergeAnnouncement(now, known, a, age)
	}
	return nil
}

func (t *Tracker) mergeAnnouncement(now time.Time, known *Upstream, a *messages.Announcement, age time.Duration) []Action {
	if a.GetAddress() == "" {
		full := t.completeAnnouncement(known, a)
		if full == nil {
			return t.requestAnnouncement(known, a)
		}
		a = full
	}
	if validate(a) != nil {
		return nil
	}
	next := fromAnnouncement(now.Add(-age), a)
	next.LeavesAt = now.Add(time.Duration(a.GetLeavingWithinMs()) * time.Millisecond)
	if isNameConflict(known, next) {
		return []Action{Refused{Err: nameConflictError(known)}}
	}
	return t.accept(now, known, next)
}

// completeAnnouncement adds the static fields of the known announcement to a rumour's, which
// may carry the sequence number and the load alone. It returns nil where the incarnation is not
// known.
func (t *Tracker) completeAnnouncement(known *Upstream, a *messages.Announcement) *messages.Announcement {
	if known == nil || known.Incarnation != units.Incarnation(a.GetIncarnation()) {
		return nil
	}
	full := proto.CloneOf(known.Announcement)
	full.Sequence = a.GetSequence()
	full.Load = a.GetLoad()
	return full
}

// requestAnnouncement requests the full announcement that a rumour names, unless the
// incarnation is older than the known one or is known to have ended.
func (t *Tracker) requestAnnouncement(known *Upstream, a *messages.Announcement) []Action {
	incarnation := units.Incarnation(a.GetIncarnation())
	if known != nil && known.Incarnation > incarnation {
		return nil
	}
	ended := t.tombstones[units.Upstream(a.GetUpstream())]
	if ended != nil && (incarnation < ended.incarnation || ended.covers(incarnation, a.GetSequence())) {
		return nil
	}
	return []Action{MissingAnnouncement{Upstream: units.Upstream(a.GetUpstream())}}
}

// mergeSuspicion adopts another entry's suspicion, or refutes it by a newer announcement.
func (t *Tracker) mergeSuspicion(now time.Time, known *Upstream, a *messages.Announcement) []Action {
	if known == nil || known.Incarnation != units.Incarnation(a.GetIncarnation()) || known.Leaving {
		return nil
	}
	if known.Sequence > a.GetSequence() {
		return []Action{Spread{
			Rumour: known.rumour(now),
			Urgent: true,
		}}
	}
	if known.Suspected {
		return nil
	}
	return t.suspect(now, known, true)
}

// mergeEnd adopts a rumour that an incarnation has ended, or refutes it by a newer
// announcement.
func (t *Tracker) mergeEnd(now time.Time, known *Upstream, a *messages.Announcement) []Action {
	name := units.Upstream(a.GetUpstream())
	incarnation := units.Incarnation(a.GetIncarnation())
	if known == nil {
		t.recordEnd(now, name, incarnation, a.GetSequence(), a.GetLeaving())
		return nil
	}
	if known.Incarnation > incarnation {
		return nil
	}
	if known.Incarnation == incarnation && !a.GetLeaving() && known.Sequence > a.GetSequence() {
		return []Action{Spread{
			Rumour: known.rumour(now),
			Urgent: true,
		}}
	}
	return t.remove(now, known, "told")
}

// rumour returns the rumour about an upstream that this entry sends to others.
func (u *Upstream) rumour(now time.Time) *messages.Rumour {
	state := messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED
	a := u.Announcement
	switch {
	case u.Leaving:
		state = messages.UpstreamState_UPSTREAM_STATE_LEAVING
		a = proto.CloneOf(a)
		a.LeavingWithinMs = max(0, u.LeavesAt.Sub(now)).Milliseconds()
	case u.Suspected:
		state = messages.UpstreamState_UPSTREAM_STATE_SUSPECTED
	}
	return &messages.Rumour{
		Announcement: a,
		State:        state,
		AgeMs:        max(0, now.Sub(u.AnnouncedAt)).Milliseconds(),
	}
}

// Rumour returns the rumour about one upstream, nil where it is unknown.
func (t *Tracker) Rumour(now time.Time, name units.Upstream) *messages.Rumour {
	if known := t.upstreams[name]; known != nil {
		return known.rumour(now)
	}
	if ended := t.tombstones[name]; ended != nil {
		return ended.rumour(name)
	}
	return nil
}

// Digest returns the version of each upstream's state that this entry holds. Unless all is
// set, it covers only the upstreams that announce themselves to this entry.
func (t *Tracker) Digest(all bool) []*messages.DigestLine {
	lines := make([]*messages.DigestLine, 0, len(t.upstreams))
	for name, u := range t.upstreams {
		if !all && !u.Direct {
			continue
		}
		lines = append(lines, &messages.DigestLine{
			Upstream:    string(name),
			Incarnation: uint64(u.Incarnation),
			Sequence:    u.Sequence,
			State:       u.rumour(u.AnnouncedAt).GetState(),
		})
	}
	return lines
}

// Compare returns rumours about the upstreams whose state here is newer than the digest's, and
// the names of those whose incarnation in the digest is newer or unknown here.
func (t *Tracker) Compare(now time.Time, digest []*messages.DigestLine) (better []*messages.Rumour, wanted []string) {
	for _, line := range digest {
		name := units.Upstream(line.GetUpstream())
		local := t.Rumour(now, name)
		switch {
		case local == nil || local.GetAnnouncement().GetIncarnation() < line.GetIncarnation():
			wanted = append(wanted, line.GetUpstream())
		case isAhead(local, line):
			better = append(better, local)
		}
	}
	return better, wanted
}

// isAhead reports whether a rumour is newer than a digest's line.
func isAhead(local *messages.Rumour, line *messages.DigestLine) bool {
	a := local.GetAnnouncement()
	if a.GetIncarnation() != line.GetIncarnation() {
		return a.GetIncarnation() > line.GetIncarnation()
	}
	if a.GetSequence() != line.GetSequence() {
		return a.GetSequence() > line.GetSequence()
	}
	return local.GetState() > line.GetState()
}
