package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
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

// Guards against upstreams that serve on and do not count towards the attempt limit of a stream that they have lost, and
// against ones that have ended and do.
func TestOnlyUpstreamsThatHaveEndedAreLeftOut(t *testing.T) {
	cases := map[string]struct {
		// incarnation is that of the upstream that ran the stream; the one that answers states 7.
		incarnation units.Incarnation
		silent      bool
		refuses     bool
		partitioned bool
		callerLeft  bool
		want        bool
	}{
		"it serves on":                  {incarnation: 7},
		"it states no incarnation":      {},
		"another incarnation serves":    {incarnation: 6, want: true},
		"it is silent":                  {incarnation: 7, silent: true},
		"it refuses connections":        {incarnation: 7, refuses: true, want: true},
		"it refuses and states nothing": {refuses: true, want: true},
		"the entry is partitioned":      {refuses: true, partitioned: true},
		"the caller has left":           {refuses: true, callerLeft: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			if c.refuses {
				_ = listener.Close()
			}
			go serveIdentity(listener, c.silent)
			g := newLimitedGateway(t, time.Minute)
			g.pool = &exchanger.Pool{MaxConnections: func(*tracker.Upstream) int { return 2 }}
			g.direct = &exchanger.Exchanger{
				Pool:    g.pool,
				Dialect: identityDialect{},
			}
			if c.partitioned {
				g.pathfinder.RecordDial(pathfinder.Dial{
					Service:   "s",
					Upstream:  1,
					StartedAt: timekeeper.Now(),
					Failed:    true,
				})
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.callerLeft {
				cancel()
			}
			upstream := &tracker.Upstream{
				Name:        "u",
				Service:     "s",
				Address:     listener.Addr().String(),
				Incarnation: c.incarnation,
				Local:       &tracker.LocalState{},
			}
			if got := g.hasEndedSince(ctx, upstream); got != c.want {
				t.Errorf("ended: got %t, want %t", got, c.want)
			}
		})
	}
}

// serveIdentity answers the question for the incarnation on each connection, or leaves it unanswered.
func serveIdentity(listener net.Listener, silent bool) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if !silent {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7"))
		}
	}
}
