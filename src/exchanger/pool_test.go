package exchanger

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// Guards against an entry on a small instance that runs out of file descriptors while it is one of a
// few that are left, and against one that refuses calls although idle connections hold them.
func TestConnectionsFitTheInstance(t *testing.T) {
	cases := map[string]struct {
		maxTotal, upstreams, wantOpen int
	}{
		"smallest instance": {maxTotal: 2, upstreams: 6, wantOpen: 2},
		"largest instance":  {maxTotal: 50, upstreams: 6, wantOpen: 6},
		"no limit":          {upstreams: 6, wantOpen: 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := newExchanger(&fakeGuard{})
			x.Pool.MaxTotal = c.maxTotal
			var upstreams []*fakeUpstream
			for range c.upstreams {
				u := newUpstream(t, func(int, int, string) string { return wholeAnswer })
				upstreams = append(upstreams, u)
				if result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}}); result.Kind != dispatcher.Answered {
					t.Fatalf("call: got %v (%v), want it answered", result.Kind, result.Err)
				}
			}
			idle := int64(0)
			for _, u := range upstreams {
				idle += u.Local.IdleConnections.Load()
			}
			if x.Pool.open != c.wantOpen || idle != int64(c.wantOpen) {
				t.Errorf("connections: got %d open and %d idle, want %d", x.Pool.open, idle, c.wantOpen)
			}
			if last := upstreams[len(upstreams)-1]; last.Local.IdleConnections.Load() != 1 {
				t.Error("the last used connection was closed, want the one idle for the longest time")
			}
		})
	}
}
