package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// checkPause is how long after a loss it is looked whether the upstream has ended: the
	// end of a process takes some moments.
	checkPause = 50 * time.Millisecond
	// ranAfter is how long an answer must have been coming to show that its request ends
	// no upstream: one that does, does so when it begins to run.
	ranAfter = 2 * time.Second
)

// losses watches for calls whose upstream ends while it has them.
type losses struct {
	dispatcher.Exchanger
	gateway *Gateway

	mu sync.Mutex
	// checked holds what was lost with the upstreams that are being looked at.
	checked map[units.Life][]lostCall
}

// lostCall is a call that was lost with its upstream.
type lostCall struct {
	loss quarantiner.Loss
	id   units.CallID
}

// Exchange runs one attempt and notes whether its upstream was lost.
func (l *losses) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	began := timekeeper.Now()
	result := l.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	now := timekeeper.Now()
	switch {
	case result.Kind == dispatcher.Answered, result.Kind == dispatcher.Failed, result.Answering >= ranAfter:
		if l.gateway.evidence.Ran(now, call.Fingerprint) {
			l.gateway.Log.Info().Str("call", string(call.ID)).Stringer("fingerprint", call.Fingerprint).Msg("request-ran")
		}
	case result.Cut:
		l.cut(ctx, upstream, lostCall{
			loss: quarantiner.Loss{
				Request:   call.Fingerprint,
				Life:      units.LifeOf(upstream.Name, upstream.Incarnation),
				Answering: result.Answering > 0,
			},
			id: call.ID,
		})
	}
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
		Int64("after-ms", now.Sub(began).Milliseconds()).
		Int64("answering-ms", result.Answering.Milliseconds()).
		Err(result.Err).
		Msg("upstream-cut")
	return result
}

// cut keeps a lost call until it is known whether its upstream has ended. One that leaves was
// expected to end.
func (l *losses) cut(ctx context.Context, upstream *tracker.Upstream, lost lostCall) {
	if !l.gateway.takesCalls(upstream) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checked == nil {
		l.checked = make(map[units.Life][]lostCall)
	}
	calls, looking := l.checked[lost.loss.Life]
	l.checked[lost.loss.Life] = append(calls, lost)
	if !looking {
		// The caller may leave meanwhile.
		go l.check(context.WithoutCancel(ctx), upstream, lost.loss.Life)
	}
}

// check looks whether an upstream has ended, and tells what it had.
//
// Connections break for many reasons and upstreams lose answers; only one that takes no new
// connection has ended.
func (l *losses) check(ctx context.Context, upstream *tracker.Upstream, life units.Life) {
	time.Sleep(checkPause)
	err := l.gateway.pool.Reach(ctx, upstream)
	// What is lost meanwhile had the same end.
	for calls := l.next(life); len(calls) > 0; calls = l.next(life) {
		if err != nil {
			l.gateway.tellEnd(upstream, calls, err)
		}
	}
}

// next returns the calls that were lost with an upstream and not yet looked at; without any it
// is looked at no more.
func (l *losses) next(life units.Life) []lostCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := l.checked[life]
	if len(calls) == 0 {
		delete(l.checked, life)
		return nil
	}
	l.checked[life] = nil
	return calls
}

// tellEnd tells what an upstream had when it ended; err is why it takes no connection.
func (g *Gateway) tellEnd(upstream *tracker.Upstream, calls []lostCall, err error) {
	g.figures.upstreamEnded(upstream)
	now := timekeeper.Now()
	suspected := 0
	for _, lost := range calls {
		if !g.evidence.Lose(now, lost.loss) {
			continue
		}
		suspected++
		g.Log.Info().
			Str("call", string(lost.id)).
			Stringer("fingerprint", lost.loss.Request).
			Str("upstream", string(upstream.Name)).
			Bool("answering", lost.loss.Answering).
			Msg("request-suspected")
		g.quarantine.lose(now, lost.loss)
	}
	g.Log.Warn().
		Err(err).
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Int("calls", len(calls)).
		Int("suspected", suspected).
		Msg("upstream-ended")
}

// takesCalls reports whether an upstream is one that calls go to now.
func (g *Gateway) takesCalls(upstream *tracker.Upstream) bool {
	w := g.world.Load()
	if w == nil {
		return false
	}
	return hasLife(w.fleet[upstream.Service], upstream)
}

func hasLife(candidates []*placer.Candidate, upstream *tracker.Upstream) bool {
	for _, c := range candidates {
		if c.Name == upstream.Name && c.Incarnation == upstream.Incarnation {
			return true
		}
	}
	return false
}
