package tracker

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// tombstoneTTL is how long the end of an incarnation is remembered, longer than any
	// announcement can be in transit.
	tombstoneTTL = 5 * time.Minute
	// reviveSpan and reviveCount are the time over which, and the number of announcements by
	// which, an upstream that was removed for its silence must announce itself to return
	// under its old incarnation.
	reviveSpan  = time.Second
	reviveCount = 3
	// reviveGap is the silence after which these are counted from the start.
	reviveGap = 5 * time.Second
	// maxHealthMultiplier bounds the factor by which an unhealthy process extends its
	// timeouts.
	maxHealthMultiplier = 8
	// resumeGracePeriod is how long a resumed process takes to drain what was queued in its
	// sockets.
	resumeGracePeriod = time.Second
	// recoveryInterval is how long a process must be healthy to lower its score by one.
	recoveryInterval = time.Second
	// indirectTimeoutFactor multiplies the timeouts for upstreams that announce themselves
	// to other entries only: their announcements arrive at the pace of gossip, and the
	// entries that receive them directly report silence.
	indirectTimeoutFactor = 3
	// probeDivisor divides the time between suspicion and expiry: other entries have that
	// fraction of it to refute a suspicion before it is spread.
	probeDivisor = 2
)

// tombstone keeps a late announcement from bringing an ended incarnation back.
type tombstone struct {
	incarnation units.Incarnation
	sequence    uint64
	// leaving marks the end as final, so that no announcement revives the incarnation.
	leaving bool
	until   time.Time
	// since, last and count record the first and last time and the number of announcements
	// newer than the end.
	since time.Time
	last  time.Time
	count int
}

// health is this process's own ability to receive announcements, after Lifeguard's local
// health awareness.
type health struct {
	tickedAt time.Time
	// resumedAt is when this process last resumed after a pause.
	resumedAt time.Time
	// score counts recent signs of trouble, from 0 to maxHealthMultiplier-1.
	score     int
	changedAt time.Time
}

// HealthMultiplier returns the multiplier of this process's timeouts, 1 while it is healthy.
func (t *Tracker) HealthMultiplier() int { return t.health.score + 1 }

func (t *Tracker) tick(now time.Time) []Action {
	t.recover(now)
	t.detectLocalFault(now)
	var actions []Action
	for _, upstream := range t.upstreams {
		upstream.Local.sample(now)
		if upstream.Direct && now.Sub(upstream.DirectAt) >= t.Expiry && upstream.DirectAt.Before(upstream.AnnouncedAt) {
			upstream = t.update(upstream, func(next *Upstream) { next.Direct = false })
		}
		actions = append(actions, t.checkLiveness(now, upstream)...)
	}
	for name, ended := range t.tombstones {
		if now.After(ended.until) {
			delete(t.tombstones, name)
		}
	}
	return actions
}

// detectPause detects that this process was suspended or starved of processor time.
//
// It could receive no announcements in that time. Without this check it would declare every
// upstream gone as soon as it resumes.
func (t *Tracker) detectPause(now time.Time) {
	h := &t.health
	if t.PauseThreshold == 0 || h.tickedAt.IsZero() || now.Sub(h.tickedAt) < t.PauseThreshold {
		return
	}
	h.tickedAt = now
	h.resumedAt = now
	h.score = min(h.score+1, maxHealthMultiplier-1)
	h.changedAt = now
}

// isJustResumed reports whether this process resumed within resumeGracePeriod.
//
// What arrives then may have been queued in its sockets for as long as the pause, and nothing in
// a message shows its age. Accepted as new, it would revive upstreams that ended meanwhile, here
// and at all other entries. Live ones announce themselves again.
func (t *Tracker) isJustResumed(now time.Time) bool {
	return !t.health.resumedAt.IsZero() && now.Sub(t.health.resumedAt) < resumeGracePeriod
}

func justResumedError(a *messages.Announcement) error {
	return &RefusedError{
		Upstream: units.Upstream(a.GetUpstream()),
		Reason:   "this entry has been asleep and cannot tell late announcements from new ones",
		Remedy:   "announce again, here or to another entry",
	}
}

// recover lowers the score of a process that has been healthy for recoveryInterval.
func (t *Tracker) recover(now time.Time) {
	h := &t.health
	h.tickedAt = now
	if h.score > 0 && now.Sub(h.changedAt) >= recoveryInterval {
		h.score--
		h.changedAt = now
	}
}

// detectLocalFault raises the score when more than half of the upstreams that announce
// themselves to this entry are silent together, since the fault is then likely on this side.
func (t *Tracker) detectLocalFault(now time.Time) {
	if t.PauseThreshold == 0 || t.SuspicionTimeout == 0 || now.Sub(t.health.changedAt) < recoveryInterval {
		return
	}
	direct, silent := 0, 0
	for _, upstream := range t.upstreams {
		if !upstream.Direct || upstream.Leaving {
			continue
		}
		direct++
		if t.silence(now, upstream) >= t.SuspicionTimeout {
			silent++
		}
	}
	if direct > 2 && 2*silent > direct && t.health.score < maxHealthMultiplier-1 {
		t.health.score++
		t.health.changedAt = now
	}
}

// silence returns how long an upstream has been silent while this process was running.
func (t *Tracker) silence(now time.Time, u *Upstream) time.Duration {
	return now.Sub(latest(u.AnnouncedAt, t.health.resumedAt))
}

// checkLiveness moves a silent upstream from announced to suspected, and from suspected to gone.
func (t *Tracker) checkLiveness(now time.Time, u *Upstream) []Action {
	if u.Leaving {
		if now.Before(u.LeavesAt) {
			return nil
		}
		return t.remove(now, u, "left")
	}
	multiplier := time.Duration(t.HealthMultiplier())
	if u.AnnouncedAt.After(u.DirectAt) {
		multiplier *= indirectTimeoutFactor
	}
	silence := t.silence(now, u)
	switch {
	case silence >= t.Expiry*multiplier:
		return t.remove(now, u, "silent")
	case t.SuspicionTimeout == 0 || silence < t.SuspicionTimeout*multiplier:
		return nil
	case !u.Suspected:
		return t.suspect(now, u, false)
	case !u.SuspicionSpread && silence >= t.spreadSuspicionAfter()*multiplier:
		t.update(u, func(next *Upstream) { next.SuspicionSpread = true })
		return []Action{Spread{
			Rumour: u.rumour(now),
			Urgent: true,
		}}
	}
	return nil
}

// spreadSuspicionAfter returns the silence after which a suspicion that no probe has refuted is
// spread.
func (t *Tracker) spreadSuspicionAfter() time.Duration {
	return t.SuspicionTimeout + (t.Expiry-t.SuspicionTimeout)/probeDivisor
}

// suspect marks an upstream as suspected. A suspicion that another entry has reported is spread
// at once. For one of its own, this entry first probes other entries, since the upstream may
// have moved its announcements there.
func (t *Tracker) suspect(now time.Time, u *Upstream, reported bool) []Action {
	next := t.update(u, func(next *Upstream) {
		next.Suspected = true
		next.SuspicionSpread = reported
	})
	actions := []Action{Changed{}, Suspected{
		Upstream:         next,
		Silence:          now.Sub(u.AnnouncedAt).String(),
		HealthMultiplier: t.HealthMultiplier(),
	}}
	if reported {
		return append(actions, Spread{
			Rumour: next.rumour(now),
			Urgent: true,
		})
	}
	return append(actions, Probe{Upstream: u.Name})
}

// remove removes an upstream and records that its incarnation has ended.
func (t *Tracker) remove(now time.Time, u *Upstream, reason string) []Action {
	delete(t.upstreams, u.Name)
	t.recordEnd(now, u.Name, u.Incarnation, u.Sequence, u.Leaving)
	actions := []Action{Changed{}, Left{
		Upstream: u,
		Reason:   reason,
	}}
	// Every entry removes a leaving upstream by its own clock.
	if u.Leaving {
		return actions
	}
	return append(actions, Spread{
		Rumour: t.tombstones[u.Name].rumour(u.Name),
		Urgent: true,
	})
}

// recordEnd creates or extends the tombstone of an upstream's incarnation.
func (t *Tracker) recordEnd(now time.Time, name units.Upstream, incarnation units.Incarnation, sequence uint64, leaving bool) {
	ended := t.tombstones[name]
	if ended == nil || incarnation > ended.incarnation {
		ended = &tombstone{incarnation: incarnation}
		t.tombstones[name] = ended
	}
	if incarnation < ended.incarnation {
		return
	}
	ended.sequence = max(ended.sequence, sequence)
	ended.leaving = ended.leaving || leaving
	ended.until = now.Add(tombstoneTTL)
	ended.count = 0
}

// canEnter reports whether an announcement may enter its upstream into the table.
//
// An entry that resumes after a pause relays announcements of upstreams that ended in the
// meantime. They arrive in one burst, so an upstream counts as live only if it continues
// to announce itself for reviveSpan after its recorded end.
func (t *Tracker) canEnter(now time.Time, next *Upstream) bool {
	ended := t.tombstones[next.Name]
	if ended == nil || next.Incarnation > ended.incarnation {
		return true
	}
	if next.Incarnation < ended.incarnation {
		return false
	}
	ended.leaving = ended.leaving || next.Leaving
	if ended.covers(next.Incarnation, next.Sequence) {
		return false
	}
	ended.sequence = next.Sequence
	if ended.count == 0 || now.Sub(ended.last) > reviveGap {
		ended.since = now
		ended.count = 0
	}
	ended.last = now
	ended.count++
	return ended.count >= reviveCount && now.Sub(ended.since) >= reviveSpan
}

// covers reports whether an announcement of the ended incarnation is not newer than its end.
func (t *tombstone) covers(incarnation units.Incarnation, sequence uint64) bool {
	return incarnation == t.incarnation && (t.leaving || sequence <= t.sequence)
}

func (t *tombstone) rumour(name units.Upstream) *messages.Rumour {
	return &messages.Rumour{
		State: messages.UpstreamState_UPSTREAM_STATE_GONE,
		Announcement: &messages.Announcement{
			Upstream:    string(name),
			Incarnation: uint64(t.incarnation),
			Sequence:    t.sequence,
			Leaving:     t.leaving,
		},
	}
}

// update replaces an upstream by a changed copy, since request goroutines read published ones.
func (t *Tracker) update(u *Upstream, edit func(next *Upstream)) *Upstream {
	next := *u
	edit(&next)
	t.upstreams[u.Name] = &next
	return &next
}
