package relayer

import (
	"context"
	"errors"
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// Guards against a stream that a peer continues at another software version, and against new streams that
// are refused because of it.
func TestPeersTellUncertainVersions(t *testing.T) {
	cases := map[string]struct {
		mayHaveChanged bool
		// bound is set if the stream has a version already.
		bound   bool
		wantRun bool
	}{
		"new stream":                                {wantRun: true},
		"new stream, version is uncertain":          {mayHaveChanged: true, wantRun: true},
		"stream that goes on":                       {bound: true, wantRun: true},
		"stream that goes on, version is uncertain": {mayHaveChanged: true, bound: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			upstreams := &fakeUpstreams{changed: c.mayHaveChanged, run: answered}
			s := newSender(startCarrier(t, upstreams))
			var told []bool
			s.OnAccepted = func(_ context.Context, _ *dispatcher.Call, _ *tracker.Upstream, _ *dispatcher.Stream, mayHaveChanged bool) {
				told = append(told, mayHaveChanged)
			}
			stream := dispatcher.NewStream(&recordingSink{}, 0)
			if c.bound {
				stream.Bind(testUpstream.Release)
			}
			got := s.Exchange(t.Context(), newCall(true, true), 1, testUpstream, stream)
			if ran := upstreams.count() > 0; ran != c.wantRun {
				t.Errorf("ran: got %t, want %t", ran, c.wantRun)
			}
			if !c.bound && (len(told) != 1 || told[0] != c.mayHaveChanged) || c.bound && len(told) > 0 {
				t.Errorf("told to record: got %t, want it for a new stream alone", told)
			}
			var uncertain *UncertainVersionError
			if refused := errors.As(got.Err, &uncertain); refused == c.wantRun {
				t.Errorf("result: got %+v, want it refused %t", got, !c.wantRun)
			}
			if !c.wantRun && (got.Kind != dispatcher.NotRun || !got.Unsent || got.NoPath || uncertain.Upstream != testUpstream.Name) {
				t.Errorf("result: got %+v, want another upstream tried", got)
			}
		})
	}
}
