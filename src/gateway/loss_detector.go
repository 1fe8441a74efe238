package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

const (
	// checkDelay is how long after a loss the upstream is checked for a crash: a process takes
	// a moment to terminate.
	checkDelay = 50 * time.Millisecond
	// minRunTime is how long an answer must have been streaming to show that its request
	// crashes no upstream: a request that does, does so when it starts to run.
	minRunTime = 2 * time.Second
	// minPartRunTime is the same for the parts of its prompt. It is shorter, as more depends on it: harmless
	// parts must be known as such before the evidence of crashes is enough.
	minPartRunTime = time.Second
)

// lossDetector detects calls whose upstream crashes while running them.
type lossDetector struct {
	dispatcher.Exchanger
	gateway *Gateway

	mu sync.Mutex
	// pending holds the lost calls of each upstream that is being checked.
	pending map[units.IncarnationID][]lostCall
}

// lostCall is a call whose connection was cut.
type lostCall struct {
	loss quarantiner.Loss
	id   units.CallID
}

// Exchange runs one attempt and records whether its connection was cut.
func (l *lossDetector) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	startedAt := timekeeper.Now()
	offsetBefore := stream.Offset()
	result := l.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	now := timekeeper.Now()
	t, known := call.Trace.(*callTrace)
	if known {
		t.recordAttempt(upstream, result)
	}
	if hasWritten(result, stream, offsetBefore) {
		l.gateway.recordPartsRun(now, call)
	}
	switch {
	case result.Kind == dispatcher.Answered, result.Kind == dispatcher.Failed, result.AnswerDuration >= minRunTime:
		if l.gateway.evidence.RecordRun(now, call.Fingerprint) {
			l.gateway.Log.Info().Str("call", string(call.ID)).Stringer("fingerprint", call.Fingerprint).Msg("request-ran")
		}
	case result.ConnectionLost:
		l.connectionCut(ctx, upstream, lostCall{
			loss: quarantiner.Loss{
				Request:       call.Fingerprint,
				IncarnationID: units.NewIncarnationID(upstream.Name, upstream.Incarnation),
				Answering:     result.AnswerDuration > 0,
				Parts:         call.SharedParts(),
			},
			id: call.ID,
		})
	}
	if !result.ConnectionLost {
		return result
	}
	if known {
		t.connectionCut = true
	}
	l.gateway.trafficStats.connectionCut(upstream)
	l.gateway.Log.Warn().
		Str("call", string(call.ID)).
		Stringer("fingerprint", call.Fingerprint).
		Str("parts", textOf(call.SharedParts())).
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Int("attempt", int(attempt)).
		Int64("after-ms", now.Sub(startedAt).Milliseconds()).
		Int64("answering-ms", result.AnswerDuration.Milliseconds()).
		Str("framing", string(result.Receipt.Framing)).
		Str("end", string(result.Receipt.End)).
		Err(result.Err).
		Msg("upstream-cut")
	return result
}

// hasWritten reports whether an upstream has written a successful answer, or enough of one to show that the
// request crashes no upstream. An error shows nothing, as it may come before the upstream reads the prompt.
func hasWritten(result dispatcher.Result, stream *dispatcher.Stream, offsetBefore units.Tokens) bool {
	if result.Kind != dispatcher.Answered {
		return result.AnswerDuration >= minPartRunTime
	}
	if result.Answer != nil {
		return result.Answer.Status < http.StatusMultipleChoices
	}
	return stream.Offset() > offsetBefore
}

// recordPartsRun records that the parts of a call's prompt crash no upstream.
func (g *Gateway) recordPartsRun(now time.Time, call *dispatcher.Call) {
	parts := call.SharedParts()
	if len(parts) == 0 {
		return
	}
	g.quarantine.recordPartsRun(now, parts)
	if cleared := g.evidence.RecordPartsRun(now, parts); len(cleared) > 0 {
		g.Log.Info().Str("call", string(call.ID)).Str("parts", textOf(cleared)).Msg("parts-ran")
	}
}

// connectionCut keeps a lost call until it is known whether its upstream has crashed. Upstreams
// that are leaving are not checked, as they are expected to terminate.
func (l *lossDetector) connectionCut(ctx context.Context, upstream *tracker.Upstream, lost lostCall) {
	if !l.gateway.acceptsCalls(upstream) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = make(map[units.IncarnationID][]lostCall)
	}
	calls, checking := l.pending[lost.loss.IncarnationID]
	l.pending[lost.loss.IncarnationID] = append(calls, lost)
	if !checking {
		// The check continues if the caller leaves.
		go l.checkUpstream(context.WithoutCancel(ctx), upstream, lost.loss.IncarnationID)
	}
}

// checkUpstream checks whether an upstream has crashed, and reports the calls that were lost
// with it.
//
// Connections break for many reasons and upstreams lose answers; only an upstream that accepts
// no new connection, from other entries either, has crashed.
func (l *lossDetector) checkUpstream(ctx context.Context, upstream *tracker.Upstream, id units.IncarnationID) {
	time.Sleep(checkDelay)
	err := l.gateway.pool.Probe(ctx, upstream)
	crashed := err != nil && l.gateway.crashed(ctx, upstream)
	// Calls that were lost during the check have the same cause.
	for calls := l.takePending(id); len(calls) > 0; calls = l.takePending(id) {
		if crashed {
			l.gateway.reportCrash(upstream, calls, err)
		}
	}
}

// takePending returns the lost calls of an upstream that were not handled yet; if there are
// none, it ends the check.
func (l *lossDetector) takePending(id units.IncarnationID) []lostCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := l.pending[id]
	if len(calls) == 0 {
		delete(l.pending, id)
		return nil
	}
	l.pending[id] = nil
	return calls
}

// reportCrash records the calls that an upstream was running when it crashed; err is why it
// accepts no connection.
func (g *Gateway) reportCrash(upstream *tracker.Upstream, calls []lostCall, err error) {
	g.trafficStats.upstreamCrashed(upstream)
	now := timekeeper.Now()
	suspected := 0
	for _, lost := range calls {
		if !g.evidence.RecordLoss(now, lost.loss) {
			continue
		}
		suspected++
		g.Log.Info().
			Str("call", string(lost.id)).
			Stringer("fingerprint", lost.loss.Request).
			Str("upstream", string(upstream.Name)).
			Bool("answering", lost.loss.Answering).
			Msg("request-suspected")
		g.quarantine.recordLoss(now, lost.loss)
	}
	g.Log.Warn().
		Err(err).
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Int("calls", len(calls)).
		Int("suspected", suspected).
		Msg("upstream-ended")
}

// acceptsCalls reports whether an upstream is in use and has not said that it is leaving.
func (g *Gateway) acceptsCalls(upstream *tracker.Upstream) bool {
	snap := g.snapshot.Load()
	if snap == nil {
		return false
	}
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	if g.withholder.StateOf(timekeeper.Now(), id) == withholder.Leaving {
		return false
	}
	return containsUpstream(snap.fleet[upstream.Service], upstream)
}

func containsUpstream(candidates []*placer.Candidate, upstream *tracker.Upstream) bool {
	for _, c := range candidates {
		if c.Name == upstream.Name && c.Incarnation == upstream.Incarnation {
			return true
		}
	}
	return false
}
