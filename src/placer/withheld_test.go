package placer

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

// withhold makes a fixture's upstreams have the given states.
func (f *fixture) withhold(states map[units.Upstream]withholder.State) {
	w := &withholder.Withholder{Random: func() float64 { return 0 }}
	for name, state := range states {
		id := incarnationOf(name)
		switch state {
		case withholder.Accepting:
		case withholder.Recovering:
			w.RecordBackoff(f.now.Add(-time.Second), id, time.Second)
			w.Admit(f.now, id)
		case withholder.BackingOff:
			// The wait differs from upstream to upstream: 1 s at u0, 2 s at u1.
			w.RecordBackoff(f.now, id, time.Duration(name[1]-'0'+1)*time.Second)
		case withholder.Leaving:
			w.RecordLeaving(f.now, id)
		}
	}
	f.Withholder = w
}

// Guards against calls to upstreams that have asked for none, against calls that are refused while
// an upstream accepts them, and against a wait that ends later than the first back-off.
func TestPickLeavesOutWithheldUpstreams(t *testing.T) {
	const none units.Upstream = ""
	cases := map[string]struct {
		states map[units.Upstream]withholder.State
		tried  []units.Upstream
		want   units.Upstream
		// left is how long all upstreams want no calls.
		left time.Duration
	}{
		"one backs off":                   {states: map[units.Upstream]withholder.State{"u0": withholder.BackingOff}, want: "u1"},
		"one leaves":                      {states: map[units.Upstream]withholder.State{"u0": withholder.Leaving}, want: "u1"},
		"one backs off, the other tried":  {states: map[units.Upstream]withholder.State{"u0": withholder.BackingOff}, tried: []units.Upstream{"u1"}, want: none},
		"all back off":                    {states: map[units.Upstream]withholder.State{"u0": withholder.BackingOff, "u1": withholder.BackingOff}, want: none, left: time.Second},
		"one backs off, the other leaves": {states: map[units.Upstream]withholder.State{"u0": withholder.Leaving, "u1": withholder.BackingOff}, want: none, left: 2 * time.Second},
		"all leave":                       {states: map[units.Upstream]withholder.State{"u0": withholder.Leaving, "u1": withholder.Leaving}, want: none},
		"one recovers":                    {states: map[units.Upstream]withholder.State{"u0": withholder.Recovering}, want: "u1"},
		"no other than a recovering one":  {states: map[units.Upstream]withholder.State{"u0": withholder.Recovering, "u1": withholder.BackingOff}, want: "u0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			f.withhold(c.states)
			for range 20 {
				got := none
				if u := f.Pick(callWithPrefix(1), c.tried); u != nil {
					got = u.Name
				}
				if got != c.want {
					t.Fatalf("upstream: got %q, want %q", got, c.want)
				}
			}
			if got := f.BackoffLeft(callWithPrefix(1)); got != c.left {
				t.Errorf("time until an upstream accepts calls: got %v, want %v", got, c.left)
			}
		})
	}
}
