package gateway

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against an upstream that has ended and counts towards the attempt limit of a stream, as a new one has started at
// its address.
func TestUpstreamAtTheSameAddressHasReplacedAnEarlierOne(t *testing.T) {
	earlier := &tracker.Upstream{
		Name:        "llm-1",
		Address:     "10.0.0.1:80",
		Incarnation: 5,
	}
	cases := map[string]struct {
		name        units.Upstream
		address     string
		incarnation units.Incarnation
		want        bool
	}{
		"it still serves":             {name: "llm-1", address: "10.0.0.1:80", incarnation: 5},
		"it has started again":        {name: "llm-1", address: "10.0.0.1:80", incarnation: 6, want: true},
		"a late word of an older one": {name: "llm-1", address: "10.0.0.1:80", incarnation: 4},
		"another one":                 {name: "llm-2", address: "10.0.0.1:80", incarnation: 6, want: true},
		"another one elsewhere":       {name: "llm-2", address: "10.0.0.2:80", incarnation: 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{}
			g.snapshot.Store(&snapshot{
				fleet: placer.Fleet{"llm": {{Upstream: &tracker.Upstream{
					Name:        c.name,
					Address:     c.address,
					Incarnation: c.incarnation,
				}}}},
			})
			if got := g.isReplaced(earlier); got != c.want {
				t.Errorf("replaced: got %t, want %t", got, c.want)
			}
		})
	}
}
