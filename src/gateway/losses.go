package gateway

import (
	"context"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// losses watches for calls whose upstream is lost while it has them.
type losses struct {
	dispatcher.Exchanger
	gateway *Gateway
}

// Exchange runs one attempt and notes whether its upstream was lost.
func (l *losses) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	began := timekeeper.Now()
	result := l.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	if !result.Cut {
		return result
	}
	if t, known := call.Trail.(*trail); known {
		t.cut = true
	}
	l.gateway.figures.cut(upstream)
	l.gateway.Log.Warn().
		Str("call", string(call.ID)).
		Stringer("fingerprint", call.Fingerprint).
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Int("attempt", int(attempt)).
		Int64("after-ms", timekeeper.Now().Sub(began).Milliseconds()).
		Int64("answering-ms", result.Answering.Milliseconds()).
		Err(result.Err).
		Msg("upstream-cut")
	return result
}
