package gateway

import (
	"maps"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// shareLease is how long after a poll its answer's share may be used: some polls, and a
// small part of the time within which a bad version must get no more calls.
const shareLease = 1500 * time.Millisecond

// rollout is what this entry knows of a roll-out.
type rollout struct {
	number uint64
	target units.Release
	state  messages.RolloutState
	share  float64
	// until is when the share ends, on the clock that counts suspension.
	until time.Time
}

// rollouts are the last roll-outs of services; they are not changed once published.
type rollouts map[units.Service]rollout

// next returns what is known after an answer. A roll-out never goes back, whichever instance
// tells of it; the share of its target counts from the leader alone, and for a short time:
// whoever is cut off gives a version that may be bad no calls.
func (r rollouts) next(sentAt time.Time, response *messages.EntryPollResponse) rollouts {
	if len(response.GetRollouts()) == 0 {
		return r
	}
	known := maps.Clone(r)
	if known == nil {
		known = make(rollouts)
	}
	for _, told := range response.GetRollouts() {
		m := told.GetRollout()
		service := units.Service(m.GetService())
		last := known[service]
		if m.GetNumber() < last.number || m.GetNumber() == last.number && m.GetState() < last.state {
			continue
		}
		fresh := rollout{
			number: m.GetNumber(),
			target: units.Release(m.GetTarget()),
			state:  m.GetState(),
		}
		if last.number == fresh.number {
			fresh.share, fresh.until = last.share, last.until
		}
		if response.GetLeads() {
			fresh.share, fresh.until = told.GetShare(), sentAt.Add(shareLease)
		}
		known[service] = fresh
	}
	return known
}

// split returns how a service's calls are split between versions now.
func (g *Gateway) split(service units.Service) (placer.Split, bool) {
	w := g.world.Load()
	if w == nil {
		return placer.Split{}, false
	}
	r, found := w.rollouts[service]
	if !found {
		return placer.Split{}, false
	}
	split := placer.Split{
		Target:     r.target,
		TargetOnly: r.state == messages.RolloutState_ROLLOUT_STATE_COMPLETED,
	}
	if r.state == messages.RolloutState_ROLLOUT_STATE_RUNNING && timekeeper.Now().Before(r.until) {
		split.Share = r.share
	}
	return split, true
}
