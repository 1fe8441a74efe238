package placer

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/appraiser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// unevenMachines are the speeds of machines that differ, of which some are several times as slow
// as others.
var unevenMachines = []float64{1, 0.7, 1, 1.7, 1, 0.7, 1, 0.7}

// resultKinds returns the calls of a deployment whose upstreams share their machines with others.
func resultKinds(load float64) []kind {
	return []kind{
		{
			name: "recap", rate: 114 * load, urgency: 1, systemTokens: 512, prefixes: 600, prefixTokens: 4870, ownTokens: 6610, logSigma: 1.4, maxOwnTokens: 54_600,
			outputTokens: 384, target: 800 * time.Millisecond, value: 4.1,
		},
		{
			name: "note", rate: 129 * load, urgency: 0, systemTokens: 119, prefixes: 500, prefixTokens: 79, ownTokens: 628, logSigma: 1, maxOwnTokens: 3310,
			outputTokens: 288, target: 400 * time.Millisecond, value: 2.4,
		},
		{
			name: "check", rate: 231 * load, urgency: 2, systemTokens: 341, prefixes: 2000, prefixTokens: 227, ownTokens: 1800, logSigma: 1.3, maxOwnTokens: 6870,
			outputTokens: 24, target: 500 * time.Millisecond, value: 0.34,
		},
	}
}

// unevenReplay returns the load on upstreams of uneven machines.
func unevenReplay(load float64) replay {
	model := modelEngine()
	model.slots = 32
	model.step = 3410 * time.Microsecond
	model.perToken = 9 * time.Microsecond
	model.perPair = 154 * time.Microsecond
	model.chunk = 2048
	model.eventTokens = 8
	model.cacheTokens = 676_675
	return replay{
		entries:  62,
		engines:  32,
		kinds:    resultKinds(load),
		model:    &model,
		maxPause: 400 * time.Millisecond,
		length:   30 * time.Second,
		machines: unevenMachines,
		moments:  true,
		seed:     1,
	}
}

// Guards against entries that send calls to upstreams on slow machines as to all others, since none
// of them sees an upstream often enough to know it: a quarter of the streams that pause too long
// must be avoided, and more served, although all entries then prefer the same upstreams.
func TestSlowMachinesAreAvoided(t *testing.T) {
	for name, load := range map[string]float64{
		"usual load": 0.6,
		"high load":  1,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var stalled, served [statementsPooled + 1]float64
			for seed := range uint64(3) {
				for _, learnt := range []statements{statementsIgnored, statementsPooled} {
					r := unevenReplay(load)
					r.statements = learnt
					r.seed = seed
					result := r.simulate()
					t.Logf("statements %d, seed %d: %v", learnt, seed, result)
					served[learnt] += result.served()
					for kind, count := range result.stalled {
						stalled[learnt] += float64(count) / float64(result.arrived[kind])
					}
				}
			}
			if got, want := stalled[statementsPooled], 0.75*stalled[statementsIgnored]; got > want {
				t.Errorf("streams that pause too long: got %.4f, want at most %.4f", got, want)
			}
			if got, want := served[statementsPooled], served[statementsIgnored]; got <= want {
				t.Errorf("served: got %.4f, want more than %.4f", got, want)
			}
		})
	}
}

// Guards against what an upstream states to all entries being lost when the fleet changes, or taken
// for that of its next incarnation.
func TestReportedSlowdowns(t *testing.T) {
	p := &Placer{}
	candidate := func(incarnation units.Incarnation) *Candidate {
		return p.NewCandidate(&tracker.Upstream{
			Name:        "u",
			Service:     "s",
			Incarnation: incarnation,
			Local:       &tracker.LocalState{},
		}, false, false)
	}
	check := func(when string, c *Candidate, want float64) {
		t.Helper()
		if got := c.slowdown(); got != want {
			t.Errorf("%s: got a slowdown of %v, want %v", when, got, want)
		}
	}
	first := candidate(1)
	check("before any statement", first, 1)
	p.Now = func() time.Time { return start }
	p.RecordLoad(first.Upstream, ReportedLoad{Slowdown: 2.5})
	check("after a statement to this entry", first, 2.5)
	p.SetSlowdowns([]appraiser.Change{
		{
			ID:       units.NewIncarnationID("u", 1),
			Slowdown: 1.7,
		},
		{
			ID:       units.NewIncarnationID("gone", 1),
			Slowdown: 3,
		},
	})
	check("after all entries' statements", first, 1.7)
	p.Retain(Fleet{"s": {first}})
	check("after a change of the fleet", candidate(1), 1.7)
	next := candidate(2)
	check("next incarnation", next, 1)
	p.Retain(Fleet{"s": {next}})
	check("after the first incarnation was dropped", candidate(1), 1)
}
