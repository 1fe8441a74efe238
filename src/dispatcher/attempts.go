package dispatcher

import (
	"context"
	"slices"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxResumes is how often a started stream may resume even where MaxAttempts allows fewer attempts: its caller has part
// of the answer. Upstreams that have not ended still run it at MaxAttempts upstreams at most.
const maxResumes = 3

// runs are the attempts that may have run a call.
type runs struct {
	// count is the number of these attempts.
	count int
	// upstreams are those of these attempts that are not known to have ended, the latest one last.
	upstreams []*tracker.Upstream
}

// add records that an upstream may have run the call.
func (r *runs) add(upstream *tracker.Upstream) {
	r.count++
	// Of the incarnations of one upstream only the current one has not ended.
	r.upstreams = slices.DeleteFunc(r.upstreams, func(u *tracker.Upstream) bool { return u.Name == upstream.Name })
	r.upstreams = append(r.upstreams, upstream)
}

// include reports whether an upstream is one of these.
func (r *runs) include(upstream *tracker.Upstream) bool {
	return slices.ContainsFunc(r.upstreams, func(u *tracker.Upstream) bool {
		return u.Name == upstream.Name && u.Incarnation == upstream.Incarnation
	})
}

// hasStarted reports whether a call has brought its caller a part of the stream.
func hasStarted(call *Call, stream *Stream) bool { return stream.Offset() > call.ResumeOffset }

// exhausted reports whether the call must not make another attempt: it has no path, or has reached
// its maximum number of attempts. Attempts that provably did not run do not count.
func (a *attemptState) exhausted(call *Call, stream *Stream) bool {
	if a.noPath {
		return true
	}
	limit := call.MaxAttempts
	if hasStarted(call, stream) {
		limit = max(limit, 1+maxResumes)
	}
	return call.MaxAttempts > 0 && a.runs.count >= limit
}

// isLimited reports whether the call may go on only at upstreams that have run it, as they are as many as its route
// allows. Those that have ended do not count.
func (d *Dispatcher) isLimited(ctx context.Context, call *Call, state *attemptState) bool {
	if call.MaxAttempts == 0 {
		return false
	}
	// The upstream that was lost last is the most likely to have ended.
	for i := len(state.runs.upstreams) - 1; i >= 0 && len(state.runs.upstreams) >= call.MaxAttempts; i-- {
		upstream := state.runs.upstreams[i]
		if d.HasEnded != nil && d.HasEnded(ctx, upstream) {
			state.runs.upstreams = slices.Delete(state.runs.upstreams, i, i+1)
			call.RecordStep(StepUpstreamEnded, upstream.Name, "")
		}
	}
	return len(state.runs.upstreams) >= call.MaxAttempts
}

// chooseAgain returns an upstream that has run the call, or nil if none of them takes it now: its caller can go on
// elsewhere by a new call. The one that was lost last comes last, and each gets one attempt until one makes progress.
func (d *Dispatcher) chooseAgain(call *Call, stream *Stream, state *attemptState) (*tracker.Upstream, error) {
	call.RecordStep(StepAttemptLimit, "", "")
	release, isBound := stream.Release()
	if !isBound {
		return nil, nil
	}
	if stream.isDoubted {
		return nil, versionGoneRefusal(state.executed)
	}
	ran := make([]units.Upstream, 0, len(state.runs.upstreams))
	for _, u := range state.runs.upstreams {
		ran = append(ran, u.Name)
	}
	last := ran[len(ran)-1]
	for _, tried := range [][]units.Upstream{append([]units.Upstream{last}, state.sinceProgress...), state.sinceProgress} {
		upstream, gone := d.Router.PickAgain(call, release, ran, tried)
		if gone {
			return nil, versionGoneRefusal(state.executed)
		}
		if upstream != nil {
			return upstream, nil
		}
	}
	return nil, nil
}
