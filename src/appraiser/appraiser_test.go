package appraiser

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a slow moment that is taken for a slow machine, and against a machine that stays
// known as fast after it has become slow.
func TestEstimateFollowsTheMachine(t *testing.T) {
	var e Estimate
	if got := e.Factor(); got != 1 {
		t.Errorf("without statements: got %v, want 1", got)
	}
	for i := range 60 {
		stated := 1.0
		if i%10 == 9 {
			stated = 2.5
		}
		e.Record(stated, 1)
	}
	if got := e.Factor(); got > 1.35 {
		t.Errorf("a usual machine with one slow moment in ten: got %v, want at most 1.35", got)
	}
	e.Record(1.7, 100)
	if got := e.Factor(); math.Abs(got-1.7) > 0.1 {
		t.Errorf("after 100 statements of 1.7: got %v, want 1.7", got)
	}
}

// Guards against a collector that grows without bound while control cannot be reached, and against
// statements that are reported twice.
func TestCollectorIsBounded(t *testing.T) {
	var c Collector
	for i := range 3 * maxCollected {
		c.Record(units.IncarnationID(i), 1.7)
		c.Record(units.IncarnationID(i), 0.7)
	}
	taken := c.Take()
	if len(taken) != maxCollected {
		t.Errorf("upstreams kept: got %d, want %d", len(taken), maxCollected)
	}
	if got, want := taken[0], (Estimate{Mean: 1.2, Statements: 2}); math.Abs(got.Mean-want.Mean) > 1e-9 || got.Statements != want.Statements {
		t.Errorf("statements of one upstream: got %+v, want %+v", got, want)
	}
	if again := c.Take(); len(again) != 0 {
		t.Errorf("taken again: got %d upstreams, want none", len(again))
	}
}

// Guards against changes that are sent for every slow moment, and against statements that make no
// sense.
func TestPoolReportsMachinesNotMoments(t *testing.T) {
	cases := map[string]struct {
		statements []Estimate
		want       int
	}{
		"too few":             {statements: []Estimate{{Mean: 1.7, Statements: 3}}, want: 0},
		"a slow machine":      {statements: []Estimate{{Mean: 1.7, Statements: 50}}, want: 1},
		"a usual machine":     {statements: []Estimate{{Mean: 1, Statements: 50}}, want: 1},
		"one moment":          {statements: []Estimate{{Mean: 1, Statements: 50}, {Mean: 2.5, Statements: 2}, {Mean: 1, Statements: 20}}, want: 1},
		"became slow":         {statements: []Estimate{{Mean: 1, Statements: 50}, {Mean: 1.7, Statements: 64}}, want: 2},
		"zero":                {statements: []Estimate{{Mean: 0, Statements: 50}}, want: 0},
		"negative":            {statements: []Estimate{{Mean: -1, Statements: 50}}, want: 0},
		"NaN":                 {statements: []Estimate{{Mean: math.NaN(), Statements: 50}}, want: 0},
		"negative statements": {statements: []Estimate{{Mean: 1.7, Statements: -5}}, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p Pool
			got := 0
			for _, s := range c.statements {
				if p.Record(1, s) != nil {
					got++
				}
			}
			if got != c.want {
				t.Errorf("changes: got %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against an entry that misses a change, whatever it knew before and however many changes
// fit into one response, and against a log of changes that grows with time.
func TestEntriesFollowThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pool
		present := make(map[units.IncarnationID]bool)
		known := make(map[units.IncarnationID]float64)
		version := Version(0)
		follow := func() int {
			limit := rapid.IntRange(1, 5).Draw(t, "limit")
			changes, reached := p.ChangesAfter(version, limit)
			if len(changes) > limit {
				t.Fatalf("changes: got %d, want at most %d", len(changes), limit)
			}
			for _, c := range changes {
				known[c.ID] = c.Slowdown
			}
			version = reached
			return len(changes)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := units.IncarnationID(rapid.IntRange(1, 12).Draw(t, "upstream"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				delete(present, id)
				p.Retain(func(id units.IncarnationID) bool { return present[id] })
			case 1:
				follow()
			default:
				present[id] = true
				p.Record(id, Estimate{
					Mean:       rapid.SampledFrom([]float64{0.7, 1, 1.7, 2.5}).Draw(t, "mean"),
					Statements: rapid.IntRange(1, 40).Draw(t, "statements"),
				})
			}
		}
		for follow() > 0 {
		}
		for id := range present {
			// A pool that has forgotten an upstream reports nothing of it until it knows it again.
			if got, want := known[id], p.Reported(id); want > 0 && got != want {
				t.Errorf("upstream %d: the entry knows %v, want %v", id, got, want)
			}
		}
		if got, want := len(p.log), 2*len(p.upstreams)+1; got > want {
			t.Errorf("log: got %d changes, want at most %d", got, want)
		}
	})
}

// Guards against slowdowns that cost more as the fleet grows than what changes in it: an entry must
// not receive an upstream's slowdown at every poll, nor once for each entry that has seen it.
func TestSlowdownsAreSentOnce(t *testing.T) {
	const (
		upstreamsPerEntry = 3
		seconds           = 30
		pollsPerSecond    = 5
		// maxPerUpstream is how often an entry may receive the slowdown of an upstream whose
		// machine does not change.
		maxPerUpstream = 4
	)
	for _, entries := range []int{30, 100, 300, 1000, 2000} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			var p Pool
			upstreams := entries * upstreamsPerEntry
			received, version := 0, Version(0)
			for poll := range seconds * pollsPerSecond {
				// Each entry has one call a second, and in a tenth of them a slow moment.
				for answer := range entries / pollsPerSecond {
					n := poll*(entries/pollsPerSecond) + answer
					stated := []float64{0.7, 1, 1.7}[n%upstreams%3]
					if n%10 == 0 {
						stated *= 2.5
					}
					p.Record(units.IncarnationID(n%upstreams), Estimate{Mean: stated, Statements: 1})
				}
				changes, reached := p.ChangesAfter(version, 256)
				received += len(changes)
				version = reached
			}
			if want := maxPerUpstream * upstreams; received > want {
				t.Errorf("slowdowns received by one entry: got %d, want at most %d", received, want)
			}
			if received < upstreams {
				t.Errorf("slowdowns received by one entry: got %d, want those of all %d upstreams", received, upstreams)
			}
		})
	}
}

// Guards against a log of changes that grows as long as machines become faster and slower.
func TestLogOfChangesIsBounded(t *testing.T) {
	var p Pool
	const upstreams, changes = 3, 300
	for i := range changes {
		p.Record(units.IncarnationID(i%upstreams), Estimate{
			Mean:       []float64{0.7, 2.5}[i/upstreams%2],
			Statements: maxStatements,
		})
	}
	if p.version != changes {
		t.Fatalf("changes: got %d, want %d", p.version, changes)
	}
	if got, want := len(p.log), 2*upstreams+1; got > want {
		t.Errorf("log: got %d changes, want at most %d", got, want)
	}
}
