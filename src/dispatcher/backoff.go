package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// resumeTimeout is how long a started stream waits for the retry budget; callers
	// give up on a stalled stream after about this time.
	resumeTimeout = 2 * time.Second
)

// Budget limits how many attempts beyond the first the calls of a service make.
type Budget interface {
	// RecordAnswer records that a call was answered.
	RecordAnswer(service units.Service)
	// AllowRetry reports whether a call may make another attempt, and counts that attempt.
	AllowRetry(service units.Service) bool
	// AllowResume reports whether a started stream may resume at another upstream, and
	// counts that attempt.
	AllowResume(service units.Service) bool
}

// awaitRetry reports whether the call may make another attempt, and waits for the
// backoff before it.
//
// The budget keeps upstreams that refuse calls under load from receiving each call
// several times, which would make them refuse more. An attempt that was never sent is
// not charged: when dozens of upstreams end at once, each of hundreds of entries fails
// to connect to each of them, and the budget of one entry in a large fleet is only a few
// attempts. If these attempts were charged, callers would be refused while the other
// upstreams have free slots.
func (d *Dispatcher) awaitRetry(ctx context.Context, call *Call, stream *Stream, state *attemptState) bool {
	if state.moveTarget != nil {
		return true
	}
	if state.lastUnsent {
		sleep(ctx, backoff(state.failures, rand.Float64()))
		return true
	}
	if stream.Offset() > call.ResumeOffset {
		return d.awaitResume(ctx, call)
	}
	if state.failures == 0 {
		return true
	}
	if d.Budget != nil && !d.Budget.AllowRetry(call.Service) {
		return false
	}
	sleep(ctx, backoff(state.failures, rand.Float64()))
	return true
}

// awaitResume waits until the budget lets a started stream resume at another upstream,
// and reports false after resumeTimeout. The caller already has part of the answer, so
// the rest is better late than missing; after resumeTimeout most callers have hung up,
// and can resume the stream themselves with a new call.
func (d *Dispatcher) awaitResume(ctx context.Context, call *Call) bool {
	if d.Budget == nil {
		return true
	}
	for waited := time.Duration(0); waited < resumeTimeout; waited += resumePollInterval {
		if d.Budget.AllowResume(call.Service) {
			return true
		}
		sleep(ctx, resumePollInterval)
		if ctx.Err() != nil {
			// chooseUpstream returns the reason why the call ends.
			return true
		}
	}
	return false
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// backoff returns the wait before the attempt after failures failed ones; jitter in
// [0, 1) spreads the retries of calls that failed at the same time.
func backoff(failures int, jitter float64) time.Duration {
	maxWait := min(initialBackoff<<min(failures-1, 16), maxBackoff)
	return time.Duration(float64(maxWait) * (0.5 + jitter/2))
}
