package replicator

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// A repair proceeds step by step with random sets of live and lost voters and spares.
// No step may remove a voter before its successor is a voter, remove the leader, leave
// the live voters without a majority, or put two voters in one data centre while a
// spare in another data centre was free.
func TestRepairStepsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := drawPlan(t)
		for range 200 {
			before := *plan
			step := plan.next()
			if step.id == "" {
				break
			}
			checkStep(t, &before, step)
			plan.apply(step)
		}
		if step := plan.next(); step.id != "" {
			t.Fatalf("step after 200 others: got %v, want none", step)
		}
	})
}

func drawPlan(t *rapid.T) *repairPlan {
	plan := &repairPlan{
		wanted: rapid.SampledFrom([]int{3, 5}).Draw(t, "wanted"),
	}
	centre := func() units.DataCentre {
		return units.DataCentre(fmt.Sprintf("dc-%d", rapid.IntRange(1, 5).Draw(t, "centre")))
	}
	for i := range plan.wanted {
		plan.members = append(plan.members, memberStatus{
			id:         units.VoterID(fmt.Sprintf("v%d#a", i)),
			dataCentre: centre(),
			self:       i == 0,
			live:       i <= plan.wanted/2 || rapid.Bool().Draw(t, "live"),
		})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "spares") {
		plan.spares = append(plan.spares, memberStatus{
			id:         units.VoterID(fmt.Sprintf("s%d#a", i)),
			dataCentre: centre(),
		})
	}
	return plan
}

func checkStep(t *rapid.T, plan *repairPlan, step membershipChange) {
	voters, live := 0, 0
	for _, v := range plan.voters() {
		if v.id == step.id && step.kind == remove {
			if v.self {
				t.Fatalf("the repair removes the leader %s", v.id)
			}
			if len(plan.voters()) <= plan.wanted {
				t.Fatalf("the repair removes %s before its successor is a voter", v.id)
			}
			continue
		}
		voters++
		if v.live {
			live++
		}
	}
	if live <= voters/2 {
		t.Fatalf("live voters after %v: got %d of %d, want a majority", step, live, voters)
	}
	if step.kind != addLearner || plan.liveVotersIn(step.centre) == 0 {
		return
	}
	for _, s := range plan.spares {
		if plan.liveVotersIn(s.dataCentre) == 0 {
			t.Fatalf("the repair adds %s in %s, while %s in %s is free", step.id, step.centre, s.id, s.dataCentre)
		}
	}
}

// apply applies a step; a learner catches up immediately.
func (r *repairPlan) apply(step membershipChange) {
	var members []memberStatus
	for _, m := range r.members {
		if m.id == step.id && step.kind == remove {
			continue
		}
		if m.id == step.id {
			m.learner = false
		}
		members = append(members, m)
	}
	var spares []memberStatus
	for _, s := range r.spares {
		if s.id == step.id {
			s.learner, s.live, s.caughtUp = true, true, true
			members = append(members, s)
			continue
		}
		spares = append(spares, s)
	}
	r.members, r.spares = members, spares
}

// Two voters share a data centre and the voter in another is lost, while three data
// centres have a spare. After the repair every voter must be in a data centre of its own.
func TestRepairSpreadsOverDataCentres(t *testing.T) {
	plan := &repairPlan{
		wanted: 3,
		members: []memberStatus{
			{id: "v0#a", dataCentre: "dc-1", live: true, self: true},
			{id: "v1#a", dataCentre: "dc-1", live: true},
			{id: "v2#a", dataCentre: "dc-2"},
		},
		spares: []memberStatus{
			{id: "s0#a", dataCentre: "dc-1"},
			{id: "s1#a", dataCentre: "dc-2"},
			{id: "s2#a", dataCentre: "dc-3"},
		},
	}
	for step := plan.next(); step.id != ""; step = plan.next() {
		plan.apply(step)
	}
	if got, want := len(plan.voters()), 3; got != want {
		t.Fatalf("voters: got %d, want %d", got, want)
	}
	for _, v := range plan.voters() {
		if got, want := plan.liveVotersIn(v.dataCentre), 1; got != want {
			t.Errorf("voters in %s: got %d, want %d", v.dataCentre, got, want)
		}
	}
}
