package placer

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against calls that wait for connections to dead upstreams while others take them, and against calls that are
// refused because all upstreams are in doubt, or are only reached through other entries.
func TestUnreachedUpstreamsGetNoCalls(t *testing.T) {
	cases := map[string]struct {
		unreached, relayed []units.Upstream
		want               []units.Upstream
	}{
		"all are reached":        {want: []units.Upstream{"v1-0", "v1-1", "v2-0", "v2-1"}},
		"two are not":            {unreached: []units.Upstream{"v1-0", "v2-0"}, want: []units.Upstream{"v1-1", "v2-1"}},
		"none is":                {unreached: []units.Upstream{"v1-0", "v1-1", "v2-0", "v2-1"}, want: []units.Upstream{"v1-0", "v1-1", "v2-0", "v2-1"}},
		"through another entry":  {unreached: []units.Upstream{"v1-0", "v1-1"}, relayed: []units.Upstream{"v1-0", "v1-1"}, want: []units.Upstream{"v1-0", "v1-1", "v2-0", "v2-1"}},
		"all through other ones": {relayed: []units.Upstream{"v1-0", "v1-1", "v2-0", "v2-1"}, want: []units.Upstream{"v1-0", "v1-1", "v2-0", "v2-1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newReleaseFixture(nil)
			has := func(names []units.Upstream) func(u *tracker.Upstream, _ units.IncarnationID) bool {
				return func(u *tracker.Upstream, _ units.IncarnationID) bool {
					for _, name := range names {
						if u.Name == name {
							return true
						}
					}
					return false
				}
			}
			f.IsUnreached = has(append(c.unreached, c.relayed...))
			f.IsRelayed = has(c.relayed)
			got := make(map[units.Upstream]bool)
			for range 200 {
				u := f.Pick(&dispatcher.Call{Service: "s"}, nil)
				if u == nil {
					t.Fatal("upstream: got none, want one")
				}
				got[u.Name] = true
			}
			for _, name := range c.want {
				delete(got, name)
			}
			if len(got) > 0 {
				t.Errorf("chosen: got also %v, want %v alone", got, c.want)
			}
		})
	}
}
