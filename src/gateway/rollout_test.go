package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

func told(leads bool, number uint64, state messages.RolloutState, share float64) *messages.EntryPollResponse {
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

// Guards against an entry that goes on sending calls to a version that was taken back: one
// that is cut off from the leader, or hears another instance that knows less.
func TestSplitOfAVersion(t *testing.T) {
	const (
		running    = messages.RolloutState_ROLLOUT_STATE_RUNNING
		completed  = messages.RolloutState_ROLLOUT_STATE_COMPLETED
		rolledBack = messages.RolloutState_ROLLOUT_STATE_ROLLED_BACK
	)
	type heard struct {
		ago      time.Duration
		response *messages.EntryPollResponse
	}
	cases := map[string]struct {
		heard []heard
		share float64
		only  bool
	}{
		"the leader's share":            {heard: []heard{{response: told(true, 1, running, 0.1)}}, share: 0.1},
		"a share from a while ago":      {heard: []heard{{ago: 2 * time.Second, response: told(true, 1, running, 0.1)}}},
		"another instance's word":       {heard: []heard{{response: told(false, 1, running, 0.1)}}},
		"the leader and then another":   {heard: []heard{{response: told(true, 1, running, 0.1)}, {response: told(false, 1, running, 0)}}, share: 0.1},
		"taken back":                    {heard: []heard{{response: told(true, 1, running, 0.1)}, {response: told(true, 1, rolledBack, 0)}}},
		"taken back and an older word":  {heard: []heard{{response: told(true, 1, rolledBack, 0)}, {response: told(true, 1, running, 0.1)}}},
		"completed a while ago":         {heard: []heard{{ago: time.Hour, response: told(true, 1, completed, 0)}}, only: true},
		"completed, by an instance":     {heard: []heard{{response: told(false, 1, completed, 0)}}, only: true},
		"the next one":                  {heard: []heard{{response: told(true, 1, completed, 0)}, {response: told(true, 2, running, 0.2)}}, share: 0.2},
		"the next one and an old word":  {heard: []heard{{response: told(true, 2, running, 0.2)}, {response: told(true, 1, completed, 0)}}, share: 0.2},
		"the next one without a leader": {heard: []heard{{response: told(true, 1, running, 0.3)}, {response: told(false, 2, running, 0)}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var known rollouts
			for _, h := range c.heard {
				known = known.next(timekeeper.Now().Add(-h.ago), h.response)
			}
			g := &Gateway{}
			g.world.Store(&world{rollouts: known})
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
