package governor

import (
	"fmt"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/releaser"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// evaluationInterval is how often running roll-outs are evaluated.
	evaluationInterval = 100 * time.Millisecond
	// endRetryDelay is how long the end of a roll-out may take to be committed before it is
	// proposed again.
	endRetryDelay = time.Second
)

// rollouts starts, monitors and ends roll-outs. Only the coordinator's goroutine uses it.
type rollouts struct {
	coordinator *coordinator
	monitored   map[units.Service]*monitored
	evaluatedAt time.Time
}

// monitored is a running roll-out with the figures that this leader has received of it.
type monitored struct {
	number uint64
	watch  *releaser.Monitor
	share  float64
	// endProposedAt is when the end of the roll-out was last proposed.
	endProposedAt time.Time
}

// startLeadership starts with no figures reported by entries.
func (r *rollouts) startLeadership() { r.monitored = make(map[units.Service]*monitored) }

// start handles an order, which takes effect once a majority holds it.
func (r *rollouts) start(e rolloutRequested) error {
	c := r.coordinator
	now := c.now()
	if !c.isLeader(now) || c.configuration == nil {
		e.reply <- rolloutReply{leader: string(c.node.LeaderID())}
		return nil
	}
	service := e.order.Service
	last := c.state.rollouts[service]
	outcome, detail := r.checkOrder(now, e.order, last)
	if outcome == messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED && !c.durability.isReached() {
		held := make(chan declareReply, 1)
		c.durability.accept(held)
		e.reply <- rolloutReply{committed: held}
		return nil
	}
	if outcome != messages.RolloutOutcome_ROLLOUT_OUTCOME_UNSPECIFIED {
		e.reply <- rolloutReply{
			outcome: outcome,
			detail:  detail,
		}
		return nil
	}
	c.nextToken++
	committed := make(chan declareReply, 1)
	c.proposalsByToken[c.nextToken] = []chan<- declareReply{committed}
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

// checkOrder returns the outcome of an order that starts nothing: one that was sent again, or
// one that cannot be carried out. The outcome is unspecified for an order that has to be
// started.
func (r *rollouts) checkOrder(now time.Time, order RolloutOrder, last *messages.Rollout) (messages.RolloutOutcome, string) {
	c := r.coordinator
	declared := false
	for i := range c.configuration.Services {
		declared = declared || c.configuration.Services[i].Name == order.Service
	}
	running := last.GetState() == messages.RolloutState_ROLLOUT_STATE_RUNNING
	sameTarget := last != nil && last.GetTarget() == string(order.Target)
	age := c.trueTime(now).Sub(time.Unix(0, last.GetOrderedNs()))
	switch {
	case !declared:
		return messages.RolloutOutcome_ROLLOUT_OUTCOME_INVALID,
			fmt.Sprintf("the configuration has no service %q; declare it first", order.Service)
	case sameTarget && (running || age < c.settings.Rollouts.ResendPeriod || last.GetState() == messages.RolloutState_ROLLOUT_STATE_COMPLETED):
		return messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED, ""
	case running:
		return messages.RolloutOutcome_ROLLOUT_OUTCOME_BUSY,
			fmt.Sprintf("service %q is being moved to %q; wait for its end", order.Service, last.GetTarget())
	}
	return messages.RolloutOutcome_ROLLOUT_OUTCOME_UNSPECIFIED, ""
}

// read returns a service's last roll-out while the lease guarantees that no later leader has
// changed it.
func (r *rollouts) read(service units.Service) rolloutReadReply {
	c := r.coordinator
	if !c.node.IsConfirmedLeader(c.now()) {
		return rolloutReadReply{leader: string(c.node.LeaderID())}
	}
	return rolloutReadReply{
		authoritative: true,
		rollout:       c.state.rollouts[service],
	}
}

// separateRelease returns the version of a service that runs beside the versions that carry
// the service's load, "" for none.
func (r *rollouts) separateRelease(service units.Service) units.Release {
	last := r.coordinator.state.rollouts[service]
	switch last.GetState() {
	case messages.RolloutState_ROLLOUT_STATE_RUNNING, messages.RolloutState_ROLLOUT_STATE_ROLLED_BACK:
		return units.Release(last.GetTarget())
	}
	return ""
}

// record stores the figures of versions that an entry reports.
func (r *rollouts) record(entry units.Instance, incarnation units.Incarnation, reported []*messages.VersionFigures) {
	byService := make(map[units.Service][]releaser.Figures)
	for _, f := range reported {
		service := units.Service(f.GetService())
		if w := r.monitored[service]; w != nil && w.number == f.GetNumber() {
			byService[service] = append(byService[service], DecodeFigures(f))
		}
	}
	for service, figures := range byService {
		r.monitored[service].watch.Record(releaser.EntryIncarnation{
			Entry:       entry,
			Incarnation: incarnation,
		}, figures)
	}
}

// report returns the roll-outs for entries; only the leader sets their shares.
func (r *rollouts) report(isLeader bool) []*messages.RolloutShare {
	var shares []*messages.RolloutShare
	for service, rollout := range r.coordinator.state.rollouts {
		share := &messages.RolloutShare{Rollout: rollout}
		if w := r.monitored[service]; isLeader && w != nil && w.number == rollout.GetNumber() {
			share.Share = w.share
		}
		shares = append(shares, share)
	}
	return shares
}

// tick evaluates the running roll-outs and ends those that are decided.
func (r *rollouts) tick(now time.Time) error {
	c := r.coordinator
	if now.Sub(r.evaluatedAt) < evaluationInterval {
		return nil
	}
	r.evaluatedAt = now
	for service, rollout := range c.state.rollouts {
		if rollout.GetState() != messages.RolloutState_ROLLOUT_STATE_RUNNING {
			delete(r.monitored, service)
			continue
		}
		if err := r.evaluate(now, service, rollout); err != nil {
			return err
		}
	}
	return nil
}

func (r *rollouts) evaluate(now time.Time, service units.Service, rollout *messages.Rollout) error {
	c := r.coordinator
	trueNow := c.trueTime(now)
	w := r.monitored[service]
	if w == nil || w.number != rollout.GetNumber() {
		w = &monitored{
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
		r.monitored[service] = w
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
	if decision.End == releaser.Running || now.Sub(w.endProposedAt) < endRetryDelay {
		return nil
	}
	w.endProposedAt = now
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

// stock counts a service's ready upstreams of the target version and of the others, and the
// calls in flight at the others.
func (r *rollouts) stock(service units.Service, target units.Release) releaser.FleetStatus {
	c := r.coordinator
	inFlight := c.inFlight.Total()
	stock := releaser.FleetStatus{}
	for _, e := range c.table.Upstreams() {
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
			stock.Running += int(inFlight[placer.HashOf(e.ID)].Calls)
		}
	}
	return stock
}
