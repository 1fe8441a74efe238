package governor

import (
	"fmt"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/releaser"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// watchInterval is how often running roll-outs are judged.
	watchInterval = 100 * time.Millisecond
	// endPause is how long the end of a roll-out may take to be committed before it is
	// proposed again.
	endPause = time.Second
)

// rollouts starts, watches and ends roll-outs; the coordinator alone uses it.
type rollouts struct {
	coordinator *coordinator
	watched     map[units.Service]*watched
	workedAt    time.Time
}

// watched is a running roll-out at the leader.
type watched struct {
	number uint64
	watch  *releaser.Monitor
	share  float64
	// endedAt is when its end was proposed last.
	endedAt time.Time
}

// begin starts a leadership that knows nothing of what entries have seen.
func (r *rollouts) begin() { r.watched = make(map[units.Service]*watched) }

// start takes an order; it stands once a majority holds it.
func (r *rollouts) start(e rolloutAsked) error {
	c := r.coordinator
	now := timekeeper.Now()
	if !c.leads(now) || c.declared == nil {
		e.reply <- rolloutReply{leader: string(c.node.LeaderID())}
		return nil
	}
	service := e.order.Service
	last := c.state.rollouts[service]
	if outcome, detail := r.refuse(now, e.order, last); outcome != messages.RolloutOutcome_ROLLOUT_OUTCOME_UNSPECIFIED {
		e.reply <- rolloutReply{
			outcome: outcome,
			detail:  detail,
		}
		return nil
	}
	c.nextToken++
	committed := make(chan declareReply, 1)
	c.proposals[c.nextToken] = committed
	e.reply <- rolloutReply{committed: committed}
	c.log.Info().
		Str("service", string(service)).
		Str("target", string(e.order.Target)).
		Uint64("number", last.GetNumber()+1).
		Int64("duration-ms", e.order.Duration.Milliseconds()).
		Msg("rollout-ordered")
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Rollout{
				Rollout: &messages.Rollout{
					Service:    string(service),
					Number:     last.GetNumber() + 1,
					Target:     string(e.order.Target),
					State:      messages.RolloutState_ROLLOUT_STATE_RUNNING,
					OrderedNs:  c.trueTime(now).UnixNano(),
					DurationMs: e.order.Duration.Milliseconds(),
				},
			},
		},
		Token: c.nextToken,
	})
}

// refuse answers an order that starts nothing: one that was sent again, or can not be
// carried out.
func (r *rollouts) refuse(now time.Time, order RolloutOrder, last *messages.Rollout) (messages.RolloutOutcome, string) {
	c := r.coordinator
	known := false
	for i := range c.declared.Services {
		known = known || c.declared.Services[i].Name == order.Service
	}
	running := last.GetState() == messages.RolloutState_ROLLOUT_STATE_RUNNING
	same := last != nil && last.GetTarget() == string(order.Target)
	age := c.trueTime(now).Sub(time.Unix(0, last.GetOrderedNs()))
	switch {
	case !known:
		return messages.RolloutOutcome_ROLLOUT_OUTCOME_INVALID,
			fmt.Sprintf("the configuration has no service %q; declare it first", order.Service)
	case same && (running || age < c.settings.Rollouts.Resend || last.GetState() == messages.RolloutState_ROLLOUT_STATE_COMPLETED):
		return messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED, ""
	case running:
		return messages.RolloutOutcome_ROLLOUT_OUTCOME_BUSY,
			fmt.Sprintf("service %q is being moved to %q; wait for its end", order.Service, last.GetTarget())
	}
	return messages.RolloutOutcome_ROLLOUT_OUTCOME_UNSPECIFIED, ""
}

// read returns a service's last roll-out while the lease shows that no later leader has
// changed it.
func (r *rollouts) read(service units.Service) rolloutState {
	c := r.coordinator
	if !c.node.Lead(timekeeper.Now()) {
		return rolloutState{leader: string(c.node.LeaderID())}
	}
	return rolloutState{
		sure:    true,
		rollout: c.state.rollouts[service],
	}
}

// barred returns the version of a service that runs beside those that carry it, "" for none.
func (r *rollouts) barred(service units.Service) units.Release {
	last := r.coordinator.state.rollouts[service]
	switch last.GetState() {
	case messages.RolloutState_ROLLOUT_STATE_RUNNING, messages.RolloutState_ROLLOUT_STATE_ROLLED_BACK:
		return units.Release(last.GetTarget())
	}
	return ""
}

// hear takes what an entry has seen of the versions.
func (r *rollouts) hear(entry units.Instance, incarnation units.Incarnation, seen []*messages.VersionFigures) {
	byService := make(map[units.Service][]releaser.Figures)
	for _, f := range seen {
		service := units.Service(f.GetService())
		if w := r.watched[service]; w != nil && w.number == f.GetNumber() {
			byService[service] = append(byService[service], DecodeFigures(f))
		}
	}
	for service, figures := range byService {
		r.watched[service].watch.Record(releaser.EntryIncarnation{
			Entry:       entry,
			Incarnation: incarnation,
		}, figures)
	}
}

// tell returns the roll-outs for entries, with shares where this instance leads.
func (r *rollouts) tell(leads bool) []*messages.RolloutShare {
	var shares []*messages.RolloutShare
	for service, rollout := range r.coordinator.state.rollouts {
		share := &messages.RolloutShare{Rollout: rollout}
		if w := r.watched[service]; leads && w != nil && w.number == rollout.GetNumber() {
			share.Share = w.share
		}
		shares = append(shares, share)
	}
	return shares
}

// work judges the running roll-outs and ends those that are decided.
func (r *rollouts) work(now time.Time) error {
	c := r.coordinator
	if now.Sub(r.workedAt) < watchInterval {
		return nil
	}
	r.workedAt = now
	for service, rollout := range c.state.rollouts {
		if rollout.GetState() != messages.RolloutState_ROLLOUT_STATE_RUNNING {
			delete(r.watched, service)
			continue
		}
		if err := r.judge(now, service, rollout); err != nil {
			return err
		}
	}
	return nil
}

func (r *rollouts) judge(now time.Time, service units.Service, rollout *messages.Rollout) error {
	c := r.coordinator
	trueNow := c.trueTime(now)
	w := r.watched[service]
	if w == nil || w.number != rollout.GetNumber() {
		w = &watched{
			number: rollout.GetNumber(),
			watch: &releaser.Monitor{
				OrderedAt:      time.Unix(0, rollout.GetOrderedNs()),
				Limit:          time.Duration(rollout.GetDurationMs()) * time.Millisecond,
				MonitoredSince: trueNow,
				Exposure: releaser.Exposure{
					Ratio: c.settings.Rollouts.ExposureShare,
					Slack: c.settings.Rollouts.ExposureSlack,
				},
			},
		}
		r.watched[service] = w
	}
	stock := r.stock(service, units.Release(rollout.GetTarget()))
	decision := w.watch.Step(trueNow, stock)
	if decision.Share != w.share {
		c.log.Info().
			Str("service", string(service)).
			Str("target", rollout.GetTarget()).
			Float64("share", decision.Share).
			Float64("before", w.share).
			Int("upstreams", stock.Target).
			Int("upstreams-before", stock.Other).
			Float64("answers", decision.Target.Answers).
			Float64("failures", decision.Target.Failures).
			Float64("answers-before", decision.Other.Answers).
			Float64("failures-before", decision.Other.Failures).
			Msg("rollout-share")
	}
	w.share = decision.Share
	if decision.End == releaser.Running || now.Sub(w.endedAt) < endPause {
		return nil
	}
	w.endedAt = now
	return r.end(service, rollout, decision, trueNow)
}

// end proposes the end of a roll-out.
func (r *rollouts) end(service units.Service, rollout *messages.Rollout, decision releaser.Decision, trueNow time.Time) error {
	c := r.coordinator
	c.log.Info().
		Str("service", string(service)).
		Str("target", rollout.GetTarget()).
		Stringer("state", decision.End).
		Str("reason", decision.Reason).
		Float64("answers", decision.Target.Answers).
		Float64("failures", decision.Target.Failures).
		Int64("after-ms", trueNow.Sub(time.Unix(0, rollout.GetOrderedNs())).Milliseconds()).
		Msg("rollout-ended")
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Rollout{
				Rollout: &messages.Rollout{
					Service:    rollout.GetService(),
					Number:     rollout.GetNumber(),
					Target:     rollout.GetTarget(),
					State:      messages.RolloutState(decision.End),
					OrderedNs:  rollout.GetOrderedNs(),
					DurationMs: rollout.GetDurationMs(),
					Reason:     decision.Reason,
					EndedNs:    trueNow.UnixNano(),
					Answers:    int64(decision.Target.Answers),
					Failures:   int64(decision.Target.Failures),
				},
			},
		},
	})
}

// stock counts a service's upstreams by version, and what runs at those of the others.
func (r *rollouts) stock(service units.Service, target units.Release) releaser.FleetStatus {
	c := r.coordinator
	underWay := c.underWay.Total()
	stock := releaser.FleetStatus{}
	for _, e := range c.table.Entries() {
		if e.Service != service {
			continue
		}
		ready := 0
		if e.State == enroller.Ready && !e.Silent {
			ready = 1
		}
		if e.Release == target {
			stock.Target += ready
			continue
		}
		stock.Other += ready
		if e.State != enroller.Gone {
			stock.Running += int(underWay[placer.HashOf(e.ID)].Calls)
		}
	}
	return stock
}
