package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

func rolloutResponse(leads bool, number uint64, state messages.RolloutState, share float64) *messages.EntryPollResponse {
	return &messages.EntryPollResponse{
		Leads: leads,
		Rollouts: []*messages.RolloutShare{{
			Rollout: &messages.Rollout{
				Service: "s",
				Number:  number,
				Target:  "v2",
				State:   state,
			},
			Share: share,
		}},
	}
}

// Guards against an entry that keeps sending calls to a version that was rolled back: an entry
// that is cut off from the leader, or that polls an instance with older state.
func TestSplitOfAVersion(t *testing.T) {
	const (
		running    = messages.RolloutState_ROLLOUT_STATE_RUNNING
		completed  = messages.RolloutState_ROLLOUT_STATE_COMPLETED
		rolledBack = messages.RolloutState_ROLLOUT_STATE_ROLLED_BACK
	)
	type received struct {
		ago      time.Duration
		response *messages.EntryPollResponse
	}
	cases := map[string]struct {
		received []received
		share    float64
		only     bool
	}{
		"the leader's share":             {received: []received{{response: rolloutResponse(true, 1, running, 0.1)}}, share: 0.1},
		"expired share":                  {received: []received{{ago: 2 * time.Second, response: rolloutResponse(true, 1, running, 0.1)}}},
		"share of another instance":      {received: []received{{response: rolloutResponse(false, 1, running, 0.1)}}},
		"the leader, then another":       {received: []received{{response: rolloutResponse(true, 1, running, 0.1)}, {response: rolloutResponse(false, 1, running, 0)}}, share: 0.1},
		"rolled back":                    {received: []received{{response: rolloutResponse(true, 1, running, 0.1)}, {response: rolloutResponse(true, 1, rolledBack, 0)}}},
		"rolled back, then older state":  {received: []received{{response: rolloutResponse(true, 1, rolledBack, 0)}, {response: rolloutResponse(true, 1, running, 0.1)}}},
		"completed a while ago":          {received: []received{{ago: time.Hour, response: rolloutResponse(true, 1, completed, 0)}}, only: true},
		"completed at another instance":  {received: []received{{response: rolloutResponse(false, 1, completed, 0)}}, only: true},
		"next rollout":                   {received: []received{{response: rolloutResponse(true, 1, completed, 0)}, {response: rolloutResponse(true, 2, running, 0.2)}}, share: 0.2},
		"next rollout, then older state": {received: []received{{response: rolloutResponse(true, 2, running, 0.2)}, {response: rolloutResponse(true, 1, completed, 0)}}, share: 0.2},
		"next rollout without a leader":  {received: []received{{response: rolloutResponse(true, 1, running, 0.3)}, {response: rolloutResponse(false, 2, running, 0)}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var known rollouts
			for _, r := range c.received {
				known = known.updated(timekeeper.Now().Add(-r.ago), r.response)
			}
			g := &Gateway{}
			g.snapshot.Store(&snapshot{rollouts: known})
			split, found := g.split("s")
			if !found {
				t.Fatal("split: got none, want one")
			}
			if split.Share != c.share || split.TargetOnly != c.only {
				t.Errorf("split: got %+v, want a share of %v and only %t", split, c.share, c.only)
			}
		})
	}
}
