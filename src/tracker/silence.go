package tracker

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// tombstoneFor is how long an end is remembered, longer than any
	// announcement can be under way.
	tombstoneFor = 5 * time.Minute
	// reviveSpan and reviveCount are what an upstream that was given up for its
	// silence must show to come back under its old incarnation.
	reviveSpan  = time.Second
	reviveCount = 3
	// reviveGap is the silence that makes it begin anew.
	reviveGap = 5 * time.Second
	// worstHealth bounds how far a process in trouble stretches its patience.
	worstHealth = 8
	// drowsyFor is how long a process that woke takes in what waited in its sockets.
	drowsyFor = time.Second
	// recoverAfter is how long a process must be well to regain one step.
	recoverAfter = time.Second
	// toldPatience multiplies the patience for upstreams that only others hear:
	// signs of life come at the pace of gossip, and who hears them tells of silence.
	toldPatience = 3
	// probeParts is the part of the time between suspicion and end that other
	// entries have to refute a suspicion before it is spread.
	probeParts = 2
)

// tombstone keeps a late announcement from bringing an ended incarnation back.
type tombstone struct {
	incarnation units.Incarnation
	sequence    uint64
	// leaving ends the incarnation for good.
	leaving bool
	until   time.Time
	// since, last and count tell of announcements newer than the end.
	since time.Time
	last  time.Time
	count int
}

// health is how well this process itself hears, after Lifeguard's local health.
type health struct {
	tickedAt time.Time
	// awakeSince is when this process last began to hear.
	awakeSince time.Time
	penalty    int
	changedAt  time.Time
}

// Health returns the multiplier on this process's patience, 1 when all is well.
func (t *Tracker) Health() int { return t.health.penalty + 1 }

func (t *Tracker) tick(now time.Time) []Action {
	t.recover(now)
	t.noteSilence(now)
	var actions []Action
	for _, upstream := range t.upstreams {
		upstream.Live.sample(now)
		if upstream.Direct && now.Sub(upstream.DirectAt) >= t.Expiry && upstream.DirectAt.Before(upstream.HeardAt) {
			upstream = t.change(upstream, func(next *Upstream) { next.Direct = false })
		}
		actions = append(actions, t.judge(now, upstream)...)
	}
	for name, stone := range t.gone {
		if now.After(stone.until) {
			delete(t.gone, name)
		}
	}
	return actions
}

// noteSleep notices that this process was frozen or starved.
//
// What it did not hear in that time it could not hear; without this it would
// declare every upstream gone in the moment it wakes.
func (t *Tracker) noteSleep(now time.Time) {
	h := &t.health
	if t.Late == 0 || h.tickedAt.IsZero() || now.Sub(h.tickedAt) < t.Late {
		return
	}
	h.tickedAt = now
	h.awakeSince = now
	h.penalty = min(h.penalty+1, worstHealth-1)
	h.changedAt = now
}

// drowsy reports whether this process woke a moment ago.
//
// What arrives then may have waited in its sockets for as long as it slept, and
// nothing in it tells. Taken for new, it would bring back upstreams that ended
// meanwhile, here and at all others. Live ones announce themselves again.
func (t *Tracker) drowsy(now time.Time) bool {
	return !t.health.awakeSince.IsZero() && now.Sub(t.health.awakeSince) < drowsyFor
}

func drowsy(a *messages.Announcement) error {
	return &RefusedError{
		Upstream: units.Upstream(a.GetUpstream()),
		Reason:   "this entry has been asleep and cannot tell late announcements from new ones",
		Remedy:   "announce again, here or to another entry",
	}
}

// recover gives a process that has been well for a while its patience back.
func (t *Tracker) recover(now time.Time) {
	h := &t.health
	h.tickedAt = now
	if h.penalty > 0 && now.Sub(h.changedAt) >= recoverAfter {
		h.penalty--
		h.changedAt = now
	}
}

// noteSilence takes it as a sign of its own trouble when more than half of the
// upstreams that it hears itself fall silent together.
func (t *Tracker) noteSilence(now time.Time) {
	if t.Late == 0 || t.Suspicion == 0 || now.Sub(t.health.changedAt) < recoverAfter {
		return
	}
	direct, silent := 0, 0
	for _, upstream := range t.upstreams {
		if !upstream.Direct || upstream.Leaving {
			continue
		}
		direct++
		if t.silence(now, upstream) >= t.Suspicion {
			silent++
		}
	}
	if direct > 2 && 2*silent > direct && t.health.penalty < worstHealth-1 {
		t.health.penalty++
		t.health.changedAt = now
	}
}

// silence is how long an upstream has been silent while this process listened.
func (t *Tracker) silence(now time.Time, u *Upstream) time.Duration {
	return now.Sub(later(u.HeardAt, t.health.awakeSince))
}

// judge moves a silent upstream from announced over suspected to gone.
func (t *Tracker) judge(now time.Time, u *Upstream) []Action {
	if u.Leaving {
		if now.Before(u.LeavesAt) {
			return nil
		}
		return t.end(now, u, "left")
	}
	patience := time.Duration(t.Health())
	if u.HeardAt.After(u.DirectAt) {
		patience *= toldPatience
	}
	silence := t.silence(now, u)
	switch {
	case silence >= t.Expiry*patience:
		return t.end(now, u, "silent")
	case t.Suspicion == 0 || silence < t.Suspicion*patience:
		return nil
	case !u.Suspected:
		return t.suspect(now, u, false)
	case !u.Spread && silence >= t.spreadAfter()*patience:
		t.change(u, func(next *Upstream) { next.Spread = true })
		return []Action{Spread{
			Rumour: u.rumour(now),
			Urgent: true,
		}}
	}
	return nil
}

// spreadAfter is the silence after which a suspicion that no probe has refuted is spread.
func (t *Tracker) spreadAfter() time.Duration {
	return t.Suspicion + (t.Expiry-t.Suspicion)/probeParts
}

// suspect marks an upstream; one that this entry suspects by itself is first
// probed for at others, since it may have moved its announcements there.
func (t *Tracker) suspect(now time.Time, u *Upstream, told bool) []Action {
	next := t.change(u, func(next *Upstream) {
		next.Suspected = true
		next.Spread = told
	})
	actions := []Action{Changed{}, Suspected{
		Upstream: next,
		Silence:  now.Sub(u.HeardAt).String(),
		Health:   t.Health(),
	}}
	if told {
		return append(actions, Spread{
			Rumour: next.rumour(now),
			Urgent: true,
		})
	}
	return append(actions, Probe{Upstream: u.Name})
}

// end removes an upstream and remembers that its incarnation has ended.
func (t *Tracker) end(now time.Time, u *Upstream, reason string) []Action {
	delete(t.upstreams, u.Name)
	t.bury(now, u.Name, u.Incarnation, u.Sequence, u.Leaving)
	actions := []Action{Changed{}, Left{
		Upstream: u,
		Reason:   reason,
	}}
	// Every entry ends a leaving upstream by its own clock.
	if u.Leaving {
		return actions
	}
	return append(actions, Spread{
		Rumour: t.gone[u.Name].rumour(u.Name),
		Urgent: true,
	})
}

func (t *Tracker) bury(now time.Time, name units.Upstream, incarnation units.Incarnation, sequence uint64, leaving bool) {
	stone := t.gone[name]
	if stone == nil || incarnation > stone.incarnation {
		stone = &tombstone{incarnation: incarnation}
		t.gone[name] = stone
	}
	if incarnation < stone.incarnation {
		return
	}
	stone.sequence = max(stone.sequence, sequence)
	stone.leaving = stone.leaving || leaving
	stone.until = now.Add(tombstoneFor)
	stone.count = 0
}

// revives reports whether an announcement may bring its upstream into the table.
//
// A frozen entry that wakes hands on announcements of upstreams that ended
// while it slept. They come in one burst, so that only an upstream that goes on
// announcing for reviveSpan after its end is taken to live.
func (t *Tracker) revives(now time.Time, next *Upstream) bool {
	stone := t.gone[next.Name]
	if stone == nil || next.Incarnation > stone.incarnation {
		return true
	}
	if next.Incarnation < stone.incarnation {
		return false
	}
	stone.leaving = stone.leaving || next.Leaving
	if stone.ends(next.Incarnation, next.Sequence) {
		return false
	}
	stone.sequence = next.Sequence
	if stone.count == 0 || now.Sub(stone.last) > reviveGap {
		stone.since = now
		stone.count = 0
	}
	stone.last = now
	stone.count++
	return stone.count >= reviveCount && now.Sub(stone.since) >= reviveSpan
}

// ends reports whether an announcement of the ended incarnation says nothing new.
func (s *tombstone) ends(incarnation units.Incarnation, sequence uint64) bool {
	return incarnation == s.incarnation && (s.leaving || sequence <= s.sequence)
}

func (s *tombstone) rumour(name units.Upstream) *messages.Rumour {
	return &messages.Rumour{
		State: messages.UpstreamState_UPSTREAM_STATE_GONE,
		Announcement: &messages.Announcement{
			Upstream:    string(name),
			Incarnation: uint64(s.incarnation),
			Sequence:    s.sequence,
			Leaving:     s.leaving,
		},
	}
}

// change replaces an upstream by a changed copy, since published ones are read by traffic.
func (t *Tracker) change(u *Upstream, edit func(next *Upstream)) *Upstream {
	next := *u
	edit(&next)
	t.upstreams[u.Name] = &next
	return &next
}
