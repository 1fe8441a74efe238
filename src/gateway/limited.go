package gateway

import (
	"time"

	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// limited takes what an upstream says of how many calls it takes.
func (g *Gateway) limited(upstream *tracker.Upstream, limit exchanger.Limit, sentAt time.Time) {
	if !limit.Stated {
		return
	}
	g.Log.Info().
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Float64("limit", float64(limit.Rate)).
		Int64("sent-ms", timekeeper.Now().Sub(sentAt).Milliseconds()).
		Msg("upstream-limit")
}
