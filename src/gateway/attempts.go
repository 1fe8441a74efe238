package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// The caller of a stream waits while it is found out whether an upstream that has lost the stream has ended.
const (
	// startTimeout is how long the upstream may take to state its incarnation; stating it needs no slot.
	startTimeout = 300 * time.Millisecond
	// endedTimeout is how long attempts to connect to it may take, those of other entries included.
	endedTimeout = 500 * time.Millisecond
)

// hasEndedSince reports whether an upstream that may have run a call has ended since: another one has taken its place, or
// it accepts no connection, from others either.
func (g *Gateway) hasEndedSince(ctx context.Context, upstream *tracker.Upstream) bool {
	if g.isReplaced(upstream) {
		return true
	}
	if upstream.Incarnation != 0 && g.mayAsk(upstream) {
		identity, err := g.direct.Ask(ctx, upstream, startTimeout)
		if err == nil {
			return identity == exchanger.Replaced
		}
	}
	limited, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	// An attempt to connect that ends with the call says nothing.
	return g.pool.Probe(limited, upstream) != nil && g.crashed(limited, upstream) && ctx.Err() == nil
}

// isReplaced reports whether another upstream, or another incarnation of this one, has its address by now.
func (g *Gateway) isReplaced(upstream *tracker.Upstream) bool {
	for _, candidates := range g.fleet() {
		for _, c := range candidates {
			if c.Address == upstream.Address && (c.Name != upstream.Name || c.Incarnation > upstream.Incarnation) {
				return true
			}
		}
	}
	return false
}

// attemptTrace is at which upstreams a call may have run, for its log line.
type attemptTrace struct {
	ranAt map[units.IncarnationID]bool
	// ended are those of them that have ended since; they are asked about once the call is at its limit.
	ended []string
	// limited reports that the call could go on only where it had run.
	limited bool
}

// recordLimit records what the limit on attempts has decided.
func (t *attemptTrace) recordLimit(step dispatcher.Step, upstream units.Upstream) {
	switch step {
	case dispatcher.StepUpstreamEnded:
		t.ended = append(t.ended, string(upstream))
	case dispatcher.StepAttemptLimit:
		t.limited = true
	}
}

// recordRun records an upstream that may have run the call.
func (t *attemptTrace) recordRun(upstream *tracker.Upstream, result dispatcher.Result) {
	if result.Kind == dispatcher.NotRun {
		return
	}
	if t.ranAt == nil {
		t.ranAt = make(map[units.IncarnationID]bool)
	}
	t.ranAt[units.NewIncarnationID(upstream.Name, upstream.Incarnation)] = true
}

// logAttempts adds to a call's log line at how many upstreams it may have run.
func (t *attemptTrace) logAttempts(event *zerolog.Event, call *dispatcher.Call) {
	event.Int("max-attempts", call.MaxAttempts).
		Int("ran-at", len(t.ranAt))
	if len(t.ended) > 0 {
		event.Strs("ended", t.ended)
	}
	if t.limited {
		event.Bool("limited", true)
	}
}
