package gateway

import (
	"time"

	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// recordAnswer records what the head of an answer states about its upstream.
func (g *Gateway) recordAnswer(upstream *tracker.Upstream, verdict exchanger.Verdict, sentAt time.Time) {
	if verdict.Limit != nil {
		g.recordLimit(upstream, *verdict.Limit, sentAt)
	}
	if verdict.RetryAfter > 0 {
		g.trafficStats.backoffRequested(upstream)
		g.Log.Info().
			Str("upstream", string(upstream.Name)).
			Uint64("born", uint64(upstream.Incarnation)).
			Int64("wait-ms", verdict.RetryAfter.Milliseconds()).
			Int64("in-flight", upstream.Local.InFlight.Load()).
			Msg("upstream-backoff")
	}
	if verdict.Leaving {
		g.Log.Info().
			Str("upstream", string(upstream.Name)).
			Uint64("born", uint64(upstream.Incarnation)).
			Int64("in-flight", upstream.Local.InFlight.Load()).
			Msg("upstream-says-it-leaves")
	}
}
