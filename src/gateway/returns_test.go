package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against streams that begin or go on at an upstream that has started again before control has told.
func TestUpstreamsThatWereReplacedGetNoStreams(t *testing.T) {
	v1 := units.Release("v1")
	cases := map[string]struct {
		identity exchanger.Identity
		// bound is the version of a stream that goes on, nil for a new one.
		bound *units.Release
		// doubted is set if the stream is known to begin at an uncertain version.
		doubted bool
		carried bool
		refused bool
		// wantUncertain is set if the upstream counts as one of uncertain version from then on.
		wantUncertain bool
	}{
		"new stream, same incarnation":              {identity: exchanger.Confirmed},
		"new stream, incarnation not stated":        {identity: exchanger.Untold, wantUncertain: true},
		"new stream, replaced":                      {identity: exchanger.Replaced, refused: true, wantUncertain: true},
		"new stream, replaced, known as uncertain":  {identity: exchanger.Replaced, doubted: true, wantUncertain: true},
		"stream goes on, same incarnation":          {identity: exchanger.Confirmed, bound: &v1},
		"stream goes on, replaced":                  {identity: exchanger.Replaced, bound: &v1, refused: true, wantUncertain: true},
		"stream goes on, replaced, began uncertain": {identity: exchanger.Replaced, bound: &v1, doubted: true, refused: true, wantUncertain: true},
		"another entry's call, replaced":            {identity: exchanger.Replaced, carried: true, refused: true, wantUncertain: true},
		"another entry's call, same incarnation":    {identity: exchanger.Confirmed, carried: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := timekeeper.Now()
			g := newLimitedGateway(t, time.Minute)
			g.Settings = &parser.PlatformSettings{HeartbeatInterval: time.Second}
			g.snapshot.Store(&snapshot{leaderAt: now})
			upstream := &tracker.Upstream{Name: "u", Service: "s", Release: v1, Incarnation: 1}
			id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
			g.returns.recordDial(now, id, true)
			g.returns.recordDial(now, id, false)
			stream := dispatcher.NewStream(discardingSink{}, 0)
			stream.SetDoubted(c.doubted)
			if c.bound != nil {
				stream.Bind(*c.bound)
			}
			call := &dispatcher.Call{Stream: true, Repeatable: true, Trace: &callTrace{}}
			if c.carried {
				call.Trace = &relayer.Trace{}
			}
			err := g.recordIdentity(call, upstream, stream, c.identity)
			var replaced *exchanger.ReplacedError
			if refused := errors.As(err, &replaced); refused != c.refused || refused != (err != nil) {
				t.Errorf("got %v, want it refused: %t", err, c.refused)
			}
			if got := g.mayHaveChanged(now, upstream, id); got != c.wantUncertain {
				t.Errorf("uncertain: got %t, want %t", got, c.wantUncertain)
			}
			within := now.Add(time.Hour)
			if got, want := g.mayHaveChanged(within, upstream, id), c.identity == exchanger.Replaced; got != want {
				t.Errorf("uncertain an hour later: got %t, want %t", got, want)
			}
			g.returns.retain(nil)
			if g.returns.isRecent(within, id, time.Minute) {
				t.Error("an upstream that is gone: got it kept, want it forgotten")
			}
		})
	}
}

// Guards against questions to upstreams that have asked for a back-off or are leaving.
func TestWithheldUpstreamsAreNotAsked(t *testing.T) {
	upstream := &tracker.Upstream{Name: "u", Service: "s", Incarnation: 1}
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	cases := map[string]struct {
		change func(g *Gateway)
		want   bool
	}{
		"takes calls":         {change: func(*Gateway) {}, want: true},
		"asked for a backoff": {change: func(g *Gateway) { g.withholder.RecordBackoff(timekeeper.Now(), id, time.Minute) }},
		"is leaving":          {change: func(g *Gateway) { g.withholder.RecordLeaving(timekeeper.Now(), id) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, time.Minute)
			c.change(g)
			if got := g.mayAsk(upstream); got != c.want {
				t.Errorf("asked: got %t, want %t", got, c.want)
			}
		})
	}
}
