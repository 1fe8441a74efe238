package gateway

import (
	"time"

	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// recordAnswer records what the head of an answer states about its upstream.
func (g *Gateway) recordAnswer(upstream *tracker.Upstream, verdict exchanger.Verdict, sentAt time.Time) {
	if verdict.Limit != nil {
		g.recordLimit(upstream, *verdict.Limit, sentAt)
	}
	now := timekeeper.Now()
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	g.recordBrittleness(now, sentAt, upstream, verdict)
	switch {
	case verdict.RetryAfter > 0:
		g.trafficStats.backoffRequested(upstream)
		if g.withholder.RecordBackoff(now, id, verdict.RetryAfter) {
			g.logAnswer(upstream, "upstream-backoff", verdict, sentAt)
		}
	case !verdict.NotRun:
		if g.withholder.RecordAccepted(now, sentAt, id) {
			g.logAnswer(upstream, "upstream-recovered", verdict, sentAt)
		}
	}
	if verdict.Leaving && g.withholder.RecordLeaving(now, id) {
		g.logAnswer(upstream, "upstream-says-it-leaves", verdict, sentAt)
	}
}

// logAnswer logs a change that an answer makes to what this entry sends to its upstream.
func (g *Gateway) logAnswer(upstream *tracker.Upstream, event string, verdict exchanger.Verdict, sentAt time.Time) {
	g.Log.Info().
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Int64("wait-ms", verdict.RetryAfter.Milliseconds()).
		Int64("sent-ms", timekeeper.Now().Sub(sentAt).Milliseconds()).
		Int64("in-flight", upstream.Local.InFlight.Load()).
		Msg(event)
}
