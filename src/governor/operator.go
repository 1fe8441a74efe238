package governor

import (
	"context"
	"fmt"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/releaser"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxRolloutDuration bounds the duration that an operator may order.
const maxRolloutDuration = 24 * time.Hour

// RolloutOrder requests that a service's calls move to upstreams of another version.
type RolloutOrder struct {
	Service  units.Service
	Target   units.Release
	Duration time.Duration
}

// Rollout is the state of a service's last roll-out.
type Rollout struct {
	Target units.Release
	State  releaser.State
	Reason string
}

// RolloutRefusedError is returned for an order that cannot be carried out.
type RolloutRefusedError struct {
	// Busy says that another roll-out of the service is running.
	Busy   bool
	Reason string
}

// Error returns the reason, which states the remedy.
func (e *RolloutRefusedError) Error() string { return e.Reason }

// StartRollout orders a roll-out, here or at the leader. It returns nil once a majority of
// the voters holds the order on disk, or held the same order before; a *RolloutRefusedError
// where it cannot be carried out; a *UnconfirmedError where the outcome is unknown.
func (g *Governor) StartRollout(ctx context.Context, order RolloutOrder) error {
	if order.Service == "" || order.Target == "" || order.Duration <= 0 || order.Duration > maxRolloutDuration {
		return &RolloutRefusedError{
			Reason: fmt.Sprintf("a roll-out needs a service, a target and a duration up to %v; complete the order", maxRolloutDuration),
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := g.startRolloutLocally(ctx, order)
	if err != nil {
		return &UnconfirmedError{}
	}
	if response.GetOutcome() == messages.RolloutOutcome_ROLLOUT_OUTCOME_UNSPECIFIED {
		leader := response.GetLeader()
		if leader == "" || leader == g.Settings.OwnPeerAddress() {
			return &UnconfirmedError{Leader: leader}
		}
		response = &messages.StartRolloutResponse{}
		request := &messages.StartRolloutRequest{
			Rollout: &messages.Rollout{
				Service:    string(order.Service),
				Target:     string(order.Target),
				DurationMs: order.Duration.Milliseconds(),
			},
		}
		if err := g.Client.Call(ctx, leader, MethodStartRollout, request, response); err != nil {
			g.Log.Warn().Err(err).Str("service", string(order.Service)).Str("leader", leader).Msg("rollout-not-handed-on")
			return &UnconfirmedError{Leader: leader}
		}
	}
	switch response.GetOutcome() {
	case messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED:
		return nil
	case messages.RolloutOutcome_ROLLOUT_OUTCOME_BUSY, messages.RolloutOutcome_ROLLOUT_OUTCOME_INVALID:
		return &RolloutRefusedError{
			Busy:   response.GetOutcome() == messages.RolloutOutcome_ROLLOUT_OUTCOME_BUSY,
			Reason: response.GetDetail(),
		}
	}
	return &UnconfirmedError{Leader: response.GetLeader()}
}

// startRolloutLocally passes an order to this instance's coordinator and waits until a
// majority holds it. It then asks again: of two concurrent orders, the second one learns from
// this reply that it was not started.
func (g *Governor) startRolloutLocally(ctx context.Context, order RolloutOrder) (*messages.StartRolloutResponse, error) {
	reply, err := g.requestRollout(ctx, order)
	if err != nil {
		return nil, err
	}
	if reply.committed != nil {
		committed, err := awaitReply(ctx, reply.committed)
		if err != nil || !committed.accepted {
			return &messages.StartRolloutResponse{Leader: committed.leader}, err
		}
		if reply, err = g.requestRollout(ctx, order); err != nil {
			return nil, err
		}
	}
	return &messages.StartRolloutResponse{
		Outcome: reply.outcome,
		Leader:  reply.leader,
		Detail:  reply.detail,
	}, nil
}

func (g *Governor) requestRollout(ctx context.Context, order RolloutOrder) (rolloutReply, error) {
	return sendAndWait(ctx, g, func(reply chan<- rolloutReply) event {
		return rolloutRequested{
			order: order,
			reply: reply,
		}
	})
}

// LastRollout returns a service's last roll-out, nil where there was none; a *UnconfirmedError
// where a later one may exist.
func (g *Governor) LastRollout(ctx context.Context, service units.Service) (*Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := g.readRolloutLocally(ctx, service)
	if err != nil {
		return nil, &UnconfirmedError{}
	}
	rollout := state.rollout
	if !state.authoritative {
		if state.leader == "" || state.leader == g.Settings.OwnPeerAddress() {
			return nil, &UnconfirmedError{Leader: state.leader}
		}
		response := &messages.ReadRolloutResponse{}
		err := g.Client.Call(ctx, state.leader, MethodReadRollout, &messages.ReadRolloutRequest{Service: string(service)}, response)
		if err != nil || !response.GetSure() {
			return nil, &UnconfirmedError{Leader: state.leader}
		}
		rollout = response.GetRollout()
	}
	if rollout == nil {
		return nil, nil
	}
	return &Rollout{
		Target: units.Release(rollout.GetTarget()),
		State:  releaser.State(rollout.GetState()),
		Reason: rollout.GetReason(),
	}, nil
}

func (g *Governor) readRolloutLocally(ctx context.Context, service units.Service) (rolloutReadReply, error) {
	return sendAndWait(ctx, g, func(reply chan<- rolloutReadReply) event {
		return rolloutReadRequested{
			service: service,
			reply:   reply,
		}
	})
}

// registerRolloutMethods handles the roll-out calls that other control instances forward for
// operators.
func (g *Governor) registerRolloutMethods(server *connector.Server) {
	connector.Handle(server, MethodStartRollout, func(ctx context.Context, _ connector.Peer, m *messages.StartRolloutRequest) (*messages.StartRolloutResponse, error) {
		return g.startRolloutLocally(ctx, RolloutOrder{
			Service:  units.Service(m.GetRollout().GetService()),
			Target:   units.Release(m.GetRollout().GetTarget()),
			Duration: time.Duration(m.GetRollout().GetDurationMs()) * time.Millisecond,
		})
	})
	connector.Handle(server, MethodReadRollout, func(ctx context.Context, _ connector.Peer, m *messages.ReadRolloutRequest) (*messages.ReadRolloutResponse, error) {
		state, err := g.readRolloutLocally(ctx, units.Service(m.GetService()))
		return &messages.ReadRolloutResponse{
			Sure:    state.authoritative,
			Rollout: state.rollout,
		}, err
	})
}
