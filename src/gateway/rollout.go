package gateway

import (
	"maps"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// shareLease is how long after a poll the share in its response may be used: several polls, and
// a small fraction of the time within which calls to a bad version must end.
const shareLease = 1500 * time.Millisecond

// rollout is the state of a roll-out as known to this entry.
type rollout struct {
	number uint64
	target units.Release
	state  messages.RolloutState
	share  float64
	// shareUntil is when the share expires, on the clock that counts suspension.
	shareUntil time.Time
}

// rollouts holds the last roll-out of each service; it is immutable once published.
type rollouts map[units.Service]rollout

// updated returns the roll-outs after a response. A roll-out never goes back, whichever instance
// reports it; the share of its target is accepted from the leader alone and expires soon, so
// that an entry that is cut off sends no calls to a version that may be bad.
func (r rollouts) updated(sentAt time.Time, response *messages.EntryPollResponse) rollouts {
	if len(response.GetRollouts()) == 0 {
		return r
	}
	known := maps.Clone(r)
	if known == nil {
		known = make(rollouts)
	}
	for _, received := range response.GetRollouts() {
		m := received.GetRollout()
		service := units.Service(m.GetService())
		last := known[service]
		if m.GetNumber() < last.number || m.GetNumber() == last.number && m.GetState() < last.state {
			continue
		}
		current := rollout{
			number: m.GetNumber(),
			target: units.Release(m.GetTarget()),
			state:  m.GetState(),
		}
		if last.number == current.number {
			current.share, current.shareUntil = last.share, last.shareUntil
		}
		if response.GetLeads() {
			current.share, current.shareUntil = received.GetShare(), sentAt.Add(shareLease)
		}
		known[service] = current
	}
	return known
}

// split returns how a service's calls are currently split between versions.
func (g *Gateway) split(service units.Service) (placer.Split, bool) {
	snap := g.snapshot.Load()
	if snap == nil {
		return placer.Split{}, false
	}
	r, found := snap.rollouts[service]
	if !found {
		return placer.Split{}, false
	}
	split := placer.Split{
		Target:     r.target,
		TargetOnly: r.state == messages.RolloutState_ROLLOUT_STATE_COMPLETED,
		Evaluated:  r.state == messages.RolloutState_ROLLOUT_STATE_RUNNING,
	}
	if split.Evaluated && timekeeper.Now().Before(r.shareUntil) {
		split.Share = r.share
	}
	return split, true
}
