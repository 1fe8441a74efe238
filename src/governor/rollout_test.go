package governor

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	running    = messages.RolloutState_ROLLOUT_STATE_RUNNING
	completed  = messages.RolloutState_ROLLOUT_STATE_COMPLETED
	rolledBack = messages.RolloutState_ROLLOUT_STATE_ROLLED_BACK
)

// order gives an order to a leader that is the only voter, and returns the outcome after the
// commit.
func order(t *testing.T, c *coordinator, o RolloutOrder) messages.RolloutOutcome {
	t.Helper()
	for range 2 {
		reply := make(chan rolloutReply, 1)
		if err := c.rollouts.start(rolloutRequested{order: o, reply: reply}); err != nil {
			t.Fatal(err)
		}
		answer := <-reply
		if answer.committed == nil {
			return answer.outcome
		}
		if committed := <-answer.committed; !committed.accepted {
			t.Fatal("order: got a rejected proposal, want it committed")
		}
	}
	t.Fatal("order: got a second proposal, want the outcome after the commit")
	return 0
}

// Guards against an order that is started twice, and against one that is refused when it is
// sent again.
func TestRolloutOrdersAtTheLeader(t *testing.T) {
	_, c := newLeader(t)
	c.settings.Rollouts.ResendPeriod = 5 * time.Second
	c.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
	v2 := RolloutOrder{Service: "s", Target: "v2", Duration: 10 * time.Second}
	v3 := RolloutOrder{Service: "s", Target: "v3", Duration: 10 * time.Second}
	steps := []struct {
		name  string
		order RolloutOrder
		want  messages.RolloutOutcome
	}{
		{name: "an unknown service", order: RolloutOrder{Service: "x", Target: "v2", Duration: time.Second}, want: messages.RolloutOutcome_ROLLOUT_OUTCOME_INVALID},
		{name: "the first order", order: v2, want: messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED},
		{name: "the same order again", order: v2, want: messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED},
		{name: "another target meanwhile", order: v3, want: messages.RolloutOutcome_ROLLOUT_OUTCOME_BUSY},
	}
	for _, step := range steps {
		if got := order(t, c, step.order); got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
	if got, want := c.state.rollouts["s"].GetNumber(), uint64(1); got != want {
		t.Errorf("number of the roll-out: got %d, want %d", got, want)
	}
	c.state.applyRollout(&messages.Rollout{Service: "s", Number: 1, Target: "v2", State: rolledBack, OrderedNs: c.state.rollouts["s"].GetOrderedNs()})
	if got := order(t, c, v2); got != messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED || c.state.rollouts["s"].GetNumber() != 1 {
		t.Errorf("the same order right after its end: got %v and number %d, want it accepted and not restarted", got, c.state.rollouts["s"].GetNumber())
	}
	if got := order(t, c, v3); got != messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED || c.state.rollouts["s"].GetNumber() != 2 {
		t.Errorf("the next target: got %v and number %d, want it started as number 2", got, c.state.rollouts["s"].GetNumber())
	}
}

// Guards against an order that is acknowledged as it is sent again, while too few disks hold the first one.
func TestRepeatedOrdersWaitForAllVoters(t *testing.T) {
	_, c := newLeader(t)
	c.settings.Rollouts.ResendPeriod = 5 * time.Second
	c.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
	c.durability.voters = 5
	send := func() rolloutReply {
		reply := make(chan rolloutReply, 1)
		if err := c.rollouts.start(rolloutRequested{order: RolloutOrder{Service: "s", Target: "v2", Duration: 10 * time.Second}, reply: reply}); err != nil {
			t.Fatal(err)
		}
		return <-reply
	}
	for _, name := range []string{"first", "repeated"} {
		if got := send(); got.outcome != messages.RolloutOutcome_ROLLOUT_OUTCOME_UNSPECIFIED || got.committed == nil {
			t.Fatalf("%s order: got outcome %v, want one that waits for the voters", name, got.outcome)
		}
	}
	c.durability.reached = true
	if got := send(); got.outcome != messages.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED {
		t.Errorf("order once there are enough voters: got outcome %v, want it accepted", got.outcome)
	}
}

// Guards against shares without a basis: from a new leader, which has no figures yet, and
// from an instance that does not lead.
func TestNewLeaderGivesNoShareAtOnce(t *testing.T) {
	_, c := newLeader(t)
	c.settings.Rollouts.ExposureShare = 0.1
	c.settings.Rollouts.ExposureSlack = 50
	c.state.applyRollout(&messages.Rollout{
		Service:    "s",
		Number:     1,
		Target:     "v2",
		State:      running,
		OrderedNs:  time.Now().Add(-3 * time.Second).UnixNano(),
		DurationMs: 12_000,
	})
	now := timekeeper.Now()
	c.isLeader(now)
	for _, release := range []units.Release{"v1", "v2"} {
		c.table.Record(now, enroller.Registration{
			ID:          units.Upstream(release),
			Service:     "s",
			Address:     string(release),
			State:       enroller.Ready,
			Incarnation: 1,
			Sequence:    1,
			Release:     release,
		}, 0)
	}
	for range 2 {
		if err := c.rollouts.tick(now); err != nil {
			t.Fatal(err)
		}
		c.rollouts.record("e1", 1, []*messages.VersionFigures{{
			Service: "s",
			Number:  1,
			Route:   "r",
			Answers: 100,
		}})
		now = now.Add(evaluationInterval)
	}
	for _, isLeader := range []bool{true, false} {
		shares := c.rollouts.report(isLeader)
		if len(shares) != 1 || shares[0].GetShare() != 0 {
			t.Errorf("roll-outs reported with leader %t: got %v, want the roll-out without a share", isLeader, shares)
		}
	}
}

// Guards against a roll-out that returns to an earlier state or is lost with a snapshot, in
// whatever order records are committed.
func TestRolloutsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &state{ledger: &aggregator.Ledger{WindowLength: time.Second}}
		var last *messages.Rollout
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			s.apply(&messages.Command{Change: &messages.Command_Rollout{Rollout: &messages.Rollout{
				Service: "s",
				Number:  rapid.Uint64Range(1, 4).Draw(t, "number"),
				Target:  rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "target"),
				State:   rapid.SampledFrom([]messages.RolloutState{running, completed, rolledBack}).Draw(t, "state"),
			}}})
			now := s.rollouts["s"]
			switch {
			case last == nil:
			case now.GetNumber() < last.GetNumber():
				t.Fatalf("number: got %d after %d", now.GetNumber(), last.GetNumber())
			case now.GetNumber() == last.GetNumber() && last.GetState() != running && now.GetState() != last.GetState():
				t.Fatalf("state: got %v after %v", now.GetState(), last.GetState())
			}
			last = now
		}
		content, err := s.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := &state{ledger: &aggregator.Ledger{WindowLength: time.Second}}
		if err := restored.restore(content); err != nil {
			t.Fatal(err)
		}
		if got := restored.rollouts[units.Service("s")]; got.GetNumber() != last.GetNumber() || got.GetState() != last.GetState() {
			t.Errorf("after a snapshot: got %v, want %v", got, last)
		}
	})
}
