package withholder

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxBackoff bounds a back-off. Without a bound, one malformed answer would take an upstream
	// away from the entry for good.
	maxBackoff = time.Hour
	// A back-off is extended by a random part of up to spreadFraction of it and at most maxSpread:
	// an overloaded upstream refuses all entries at about the same time and with the same wait.
	spreadFraction = 1.0 / 3
	maxSpread      = time.Second
	// minExtension is the least by which a later refusal extends a back-off for it to count as
	// changed: calls that were under way together are refused together.
	minExtension = 200 * time.Millisecond
	// trialTimeout is how long after the last trial call its answer is awaited before another
	// one may be sent.
	trialTimeout = time.Second
	// maxTrials is the number of concurrent trial calls at which an upstream counts as recovered.
	maxTrials = 32
	// startTolerance is how much later than its first answers an upstream's stated start may seem:
	// the clocks of instances differ, and the agreed time is off after instances were suspended.
	startTolerance = 2 * time.Second
	// maxBackoffs bounds the back-offs that are kept for one upstream.
	maxBackoffs = 16
	// retention is how long the state of an upstream is kept that the entry no longer knows: a
	// delayed heartbeat may bring back an upstream that had been forgotten.
	retention = 5 * time.Minute
)

// State is why an upstream must not receive a call.
type State string

// The states of an upstream, the strongest last.
const (
	// Accepting means that nothing keeps calls from the upstream.
	Accepting State = "accepting"
	// Recovering means that the upstream has its number of trial calls after a back-off; it may
	// receive a call that no other upstream accepts.
	Recovering State = "recovering"
	// BackingOff means that the upstream has asked for a back-off that is not over.
	BackingOff State = "backing-off"
	// Leaving means that the upstream has said that it is leaving.
	Leaving State = "leaving"
)

// Withheld reports whether no call may be sent to the upstream.
func (s State) Withheld() bool { return s == BackingOff || s == Leaving }

// Withholder holds which upstreams must not receive calls from this entry; it is safe for
// concurrent use. The zero value is ready for use.
type Withholder struct {
	// Random returns a number in [0, 1); nil selects the process's own source.
	Random func() float64

	// count is the number of upstreams with a state, which lets callers return early.
	count atomic.Int64

	mu        sync.Mutex
	upstreams map[units.IncarnationID]*upstream
	// successors holds the next incarnation of those that have been succeeded.
	successors map[units.IncarnationID]units.IncarnationID
}

// upstream is what one incarnation of an upstream has asked for.
type upstream struct {
	// leavingSince is when it first said that it is leaving, zero if it has not.
	leavingSince time.Time
	// backoffs are those that it has asked for and that were not over when the last one was
	// recorded, until is when the last of them ends, zero for none.
	backoffs []backoff
	until    time.Time
	// maxTrials is how many calls may await an answer after the back-off, trials how many do, and
	// triedAt is when the last one was sent.
	maxTrials int
	trials    int
	triedAt   time.Time
	// missingSince is since when the entry has not known the upstream, zero while it does.
	missingSince time.Time
}

// backoff is one back-off that an answer asked for.
type backoff struct {
	answeredAt time.Time
	until      time.Time
}

// RecordBackoff records that an upstream has refused a call and wants none for the given time, and
// reports whether that changes when it may receive calls.
//
// The longest of several back-offs holds, as answers may arrive out of order and each upstream
// counts from its own answer.
func (w *Withholder) RecordBackoff(now time.Time, id units.IncarnationID, wait time.Duration) bool {
	wait = min(wait, maxBackoff)
	spread := min(time.Duration(spreadFraction*float64(wait)), maxSpread)
	until := now.Add(wait + time.Duration(w.random()*float64(spread)))
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.state(w.current(id))
	u.maxTrials, u.trials = 1, 0
	u.recordBackoff(now, until)
	if !until.After(u.until) {
		return false
	}
	changed := !now.Before(u.until) || until.Sub(u.until) >= minExtension
	u.until = until
	return changed
}

// recordBackoff keeps a back-off with those that are not over, of which there are few: calls that
// are under way when the first answer arrives.
func (u *upstream) recordBackoff(now, until time.Time) {
	u.backoffs = slices.DeleteFunc(u.backoffs, func(b backoff) bool { return !now.Before(b.until) })
	if len(u.backoffs) == maxBackoffs {
		u.backoffs = slices.Delete(u.backoffs, 0, 1)
	}
	u.backoffs = append(u.backoffs, backoff{
		answeredAt: now,
		until:      until,
	})
}

// RecordLeaving records that an upstream has said that it is leaving, and reports whether that was
// not known.
func (w *Withholder) RecordLeaving(now time.Time, id units.IncarnationID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.state(w.current(id))
	if !u.leavingSince.IsZero() {
		return false
	}
	u.leavingSince = now
	return true
}

// Succeed records that an upstream has started again as another incarnation. An entry learns of it
// later than the first answers of the new incarnation may arrive: what was recorded for the earlier
// one since the start, and what will be, comes from the new one. A back-off of the earlier one that
// is passed on by mistake costs some seconds of an upstream, a notice of leaving all of it.
func (w *Withholder) Succeed(earlier, later units.IncarnationID, startedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.successors == nil {
		w.successors = make(map[units.IncarnationID]units.IncarnationID)
	}
	w.successors[earlier] = later
	before := w.upstreams[earlier]
	if before == nil {
		return
	}
	if !before.leavingSince.IsZero() && !before.leavingSince.Before(startedAt) {
		w.state(later).leavingSince = before.leavingSince
	}
	for _, b := range before.backoffs {
		if b.answeredAt.Before(startedAt.Add(-startTolerance)) {
			continue
		}
		after := w.state(later)
		after.maxTrials = 1
		after.backoffs = append(after.backoffs, b)
		if b.until.After(after.until) {
			after.until = b.until
		}
	}
}

// current returns the newest incarnation under the name of the given one.
func (w *Withholder) current(id units.IncarnationID) units.IncarnationID {
	for {
		later, succeeded := w.successors[id]
		if !succeeded {
			return id
		}
		id = later
	}
}

// RecordAccepted records that an upstream has accepted a call that was sent at a time, and reports
// whether it has thereby recovered from a back-off. Answers to calls that were sent before the end
// of the back-off say nothing about it.
func (w *Withholder) RecordAccepted(now, sentAt time.Time, id units.IncarnationID) bool {
	if w.count.Load() == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id = w.current(id)
	u := w.upstreams[id]
	if u == nil || u.until.IsZero() || now.Before(u.until) || sentAt.Before(u.until) {
		return false
	}
	u.trials = max(0, u.trials-1)
	u.maxTrials *= 2
	if u.maxTrials <= maxTrials {
		return false
	}
	u.until = time.Time{}
	u.backoffs = nil
	if u.leavingSince.IsZero() {
		delete(w.upstreams, id)
		w.count.Store(int64(len(w.upstreams)))
	}
	return true
}

// Admit counts a call that is about to be sent, unless the returned state forbids it.
func (w *Withholder) Admit(now time.Time, id units.IncarnationID) State {
	if w.count.Load() == 0 {
		return Accepting
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[w.current(id)]
	state := u.stateAt(now)
	if !state.Withheld() && u != nil && !u.until.IsZero() {
		if now.Sub(u.triedAt) >= trialTimeout {
			u.trials = 0
		}
		u.trials++
		u.triedAt = now
	}
	return state
}

// StateOf returns whether an upstream may receive a call now, and why not.
func (w *Withholder) StateOf(now time.Time, id units.IncarnationID) State {
	if w.count.Load() == 0 {
		return Accepting
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[w.current(id)].stateAt(now)
}

// BackoffLeft returns how much of an upstream's back-off is left, 0 for none.
func (w *Withholder) BackoffLeft(now time.Time, id units.IncarnationID) time.Duration {
	if w.count.Load() == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if u := w.upstreams[w.current(id)]; u != nil {
		return max(0, u.until.Sub(now))
	}
	return 0
}

// BackingOff returns the upstreams whose back-off is not over.
func (w *Withholder) BackingOff(now time.Time) []units.IncarnationID {
	if w.count.Load() == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []units.IncarnationID
	for id, u := range w.upstreams {
		if now.Before(u.until) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Retain drops the state of upstreams that the entry has not known for some time.
func (w *Withholder) Retain(now time.Time, known func(units.IncarnationID) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.successors, func(_, later units.IncarnationID) bool { return !known(later) })
	for id, u := range w.upstreams {
		switch {
		case known(id):
			u.missingSince = time.Time{}
		case u.missingSince.IsZero():
			u.missingSince = now
		case now.Sub(u.missingSince) >= retention:
			delete(w.upstreams, id)
		}
	}
	w.count.Store(int64(len(w.upstreams)))
}

// state returns the state of an upstream, a new one if there is none.
func (w *Withholder) state(id units.IncarnationID) *upstream {
	u := w.upstreams[id]
	if u == nil {
		if w.upstreams == nil {
			w.upstreams = make(map[units.IncarnationID]*upstream)
		}
		u = &upstream{}
		w.upstreams[id] = u
		w.count.Store(int64(len(w.upstreams)))
	}
	return u
}

// stateAt returns whether the upstream may receive a call now; nil stands for one that has asked
// for nothing.
func (u *upstream) stateAt(now time.Time) State {
	switch {
	case u == nil:
		return Accepting
	case !u.leavingSince.IsZero():
		return Leaving
	case now.Before(u.until):
		return BackingOff
	case !u.until.IsZero() && u.trials >= u.maxTrials && now.Sub(u.triedAt) < trialTimeout:
		return Recovering
	}
	return Accepting
}

func (w *Withholder) random() float64 {
	if w.Random != nil {
		return w.Random()
	}
	return rand.Float64()
}
