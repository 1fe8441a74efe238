package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// deferralTrace is what was decided about a call's expected wait, for its log line.
type deferralTrace struct {
	// forecast reports that the wait was forecast, deferred that an attempt was deferred, and waitRefused
	// that the call was refused because of its expected wait.
	forecast    bool
	deferred    bool
	waitRefused bool
	// expectedWait is the expected wait of the last attempt, or the shortest one of a refused call.
	expectedWait time.Duration
}

// isDeferred decides whether an attempt is deferred that is about to be sent, and counts the calls that are.
func (g *Gateway) isDeferred(call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream) bool {
	deferred, wait, known := g.placer.IsDeferred(call, upstream, stream.HasEvents())
	if !known {
		return false
	}
	t, traced := call.Trace.(*callTrace)
	if !traced {
		return deferred
	}
	t.forecast = true
	t.expectedWait = wait
	if deferred && !t.deferred {
		t.deferred = true
		g.trafficStats.callDeferred(call.Service)
	}
	return deferred
}

// recordWaitRefusal records a call that is refused because of its expected wait.
func (g *Gateway) recordWaitRefusal(call *dispatcher.Call, wait time.Duration) {
	g.trafficStats.waitRefused(call.Service)
	if t, traced := call.Trace.(*callTrace); traced {
		t.forecast = true
		t.waitRefused = true
		t.expectedWait = wait
	}
}

// logDeferral adds to a call's log line what was decided about its expected wait.
func (t *deferralTrace) logDeferral(event *zerolog.Event) {
	if !t.forecast {
		return
	}
	event.Bool("deferred", t.deferred).
		Int64("expected-ms", t.expectedWait.Milliseconds())
	if t.waitRefused {
		event.Bool("wait-refused", true)
	}
}
