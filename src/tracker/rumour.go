package tracker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// hearRumour merges what another entry tells.
func (t *Tracker) hearRumour(now time.Time, r *messages.Rumour) []Action {
	a := r.GetAnnouncement()
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	// What lay in a frozen process for longer than an upstream may be silent
	// says nothing of the present.
	stale := age >= toldPatience*t.Expiry && r.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED
	if a.GetUpstream() == "" || age < 0 || stale {
		return nil
	}
	known := t.upstreams[units.Upstream(a.GetUpstream())]
	switch r.GetState() {
	case messages.UpstreamState_UPSTREAM_STATE_SUSPECTED:
		return t.hearSuspicion(now, known, a)
	case messages.UpstreamState_UPSTREAM_STATE_GONE:
		return t.hearEnd(now, known, a)
	case messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED, messages.UpstreamState_UPSTREAM_STATE_LEAVING:
		return t.hearLife(now, known, a, age)
	}
	return nil
}

func (t *Tracker) hearLife(now time.Time, known *Upstream, a *messages.Announcement, age time.Duration) []Action {
	if a.GetAddress() == "" {
		whole := t.complete(known, a)
		if whole == nil {
			return t.lacking(known, a)
		}
		a = whole
	}
	if check(a) != nil {
		return nil
	}
	next := fromAnnouncement(now.Add(-age), a)
	next.LeavesAt = now.Add(time.Duration(a.GetLeavingWithinMs()) * time.Millisecond)
	if contests(known, next) {
		return []Action{Refused{Err: contested(known)}}
	}
	return t.accept(now, known, next)
}

// complete adds the constant part of a known announcement to a sign of life.
func (t *Tracker) complete(known *Upstream, a *messages.Announcement) *messages.Announcement {
	if known == nil || known.Incarnation != units.Incarnation(a.GetIncarnation()) {
		return nil
	}
	whole := proto.CloneOf(known.Announcement)
	whole.Sequence = a.GetSequence()
	whole.Load = a.GetLoad()
	return whole
}

func (t *Tracker) lacking(known *Upstream, a *messages.Announcement) []Action {
	incarnation := units.Incarnation(a.GetIncarnation())
	if known != nil && known.Incarnation > incarnation {
		return nil
	}
	stone := t.gone[units.Upstream(a.GetUpstream())]
	if stone != nil && (incarnation < stone.incarnation || stone.ends(incarnation, a.GetSequence())) {
		return nil
	}
	return []Action{Lacking{Upstream: units.Upstream(a.GetUpstream())}}
}

// hearSuspicion takes over another entry's suspicion, or refutes it with something newer.
func (t *Tracker) hearSuspicion(now time.Time, known *Upstream, a *messages.Announcement) []Action {
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

// hearEnd takes over that an incarnation has ended.
func (t *Tracker) hearEnd(now time.Time, known *Upstream, a *messages.Announcement) []Action {
	name := units.Upstream(a.GetUpstream())
	incarnation := units.Incarnation(a.GetIncarnation())
	if known == nil {
		t.bury(now, name, incarnation, a.GetSequence(), a.GetLeaving())
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
	return t.end(now, known, "told")
}

// rumour is what this entry tells others of an upstream.
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
		AgeMs:        max(0, now.Sub(u.HeardAt)).Milliseconds(),
	}
}

// Rumour returns what to tell of one upstream, nil where it is not known.
func (t *Tracker) Rumour(now time.Time, name units.Upstream) *messages.Rumour {
	if known := t.upstreams[name]; known != nil {
		return known.rumour(now)
	}
	if stone := t.gone[name]; stone != nil {
		return stone.rumour(name)
	}
	return nil
}

// Digest returns how far this entry's knowledge goes; without all, of the
// upstreams that it hears itself.
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
			State:       u.rumour(u.HeardAt).GetState(),
		})
	}
	return lines
}

// Compare returns what this entry knows better than a digest, and what it lacks.
func (t *Tracker) Compare(now time.Time, digest []*messages.DigestLine) (better []*messages.Rumour, wanted []string) {
	for _, line := range digest {
		name := units.Upstream(line.GetUpstream())
		own := t.Rumour(now, name)
		switch {
		case own == nil || own.GetAnnouncement().GetIncarnation() < line.GetIncarnation():
			wanted = append(wanted, line.GetUpstream())
		case tells(own, line):
			better = append(better, own)
		}
	}
	return better, wanted
}

// tells reports whether a rumour goes beyond a digest's line.
func tells(own *messages.Rumour, line *messages.DigestLine) bool {
	a := own.GetAnnouncement()
	if a.GetIncarnation() != line.GetIncarnation() {
		return a.GetIncarnation() > line.GetIncarnation()
	}
	if a.GetSequence() != line.GetSequence() {
		return a.GetSequence() > line.GetSequence()
	}
	return own.GetState() > line.GetState()
}
