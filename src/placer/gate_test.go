package placer

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// fakeGate admits a fixed number of calls to each upstream in left.
type fakeGate struct {
	left   map[units.IncarnationID]int
	wanted map[units.IncarnationID]int
	// raced holds upstreams whose last permit another call takes between Closed and Admit.
	raced map[units.IncarnationID]bool
}

func (f *fakeGate) Closed(time.Time) map[units.IncarnationID]bool {
	closed := make(map[units.IncarnationID]bool)
	for id, left := range f.left {
		closed[id] = left <= 0
	}
	return closed
}

func (f *fakeGate) RecordDemand(id units.IncarnationID) { f.wanted[id]++ }

func (f *fakeGate) Admit(_ time.Time, id units.IncarnationID) bool {
	left, limited := f.left[id]
	if !limited {
		return true
	}
	if f.raced[id] {
		f.left[id] = 0
		return false
	}
	f.left[id]--
	return left > 0
}

func incarnationOf(name units.Upstream) units.IncarnationID { return units.NewIncarnationID(name, 0) }

// Guards against calls to an upstream beyond its limit: when all others have been tried, are
// silent or are busier, and when another call has taken the last permit.
func TestPickRespectsGate(t *testing.T) {
	const none units.Upstream = ""
	cases := map[string]struct {
		left  map[units.Upstream]int
		raced units.Upstream
		tried []units.Upstream
		// want holds the upstreams of successive calls.
		want []units.Upstream
	}{
		"no limits":               {tried: []units.Upstream{"u0"}, want: []units.Upstream{"u1", "u1"}},
		"no permit for one":       {left: map[units.Upstream]int{"u0": 0}, want: []units.Upstream{"u1", "u1", "u1"}},
		"one permit and no other": {left: map[units.Upstream]int{"u0": 1, "u1": 0}, want: []units.Upstream{"u0", none, none}},
		"no permit for any":       {left: map[units.Upstream]int{"u0": 0, "u1": 0}, want: []units.Upstream{none}},
		"no permit, other tried":  {left: map[units.Upstream]int{"u0": 0}, tried: []units.Upstream{"u1"}, want: []units.Upstream{none}},
		"taken by another call":   {left: map[units.Upstream]int{"u0": 1, "u1": 0}, raced: "u0", want: []units.Upstream{none}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			gate := &fakeGate{
				left:   make(map[units.IncarnationID]int),
				wanted: make(map[units.IncarnationID]int),
				raced:  map[units.IncarnationID]bool{incarnationOf(c.raced): true},
			}
			for upstream, left := range c.left {
				gate.left[incarnationOf(upstream)] = left
			}
			f.Gate = gate
			for i, want := range c.want {
				got := none
				if u := f.Pick(callWithPrefix(1), c.tried); u != nil {
					got = u.Name
				}
				if got != want {
					t.Errorf("call %d: got %q, want %q", i, got, want)
				}
			}
			for upstream, left := range c.left {
				if left == 0 && len(c.tried) == 0 && gate.wanted[incarnationOf(upstream)] == 0 {
					t.Errorf("withheld calls recorded for %s: got none, want some", upstream)
				}
			}
		})
	}
}
