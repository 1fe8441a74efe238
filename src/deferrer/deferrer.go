package deferrer

import "time"

const (
	// maxWaitShare is the share of the time left for the first byte that a call may be expected to take while it
	// counts as on time. Loads of other entries are a poll old, and calls sent since wait before it: in a
	// replay of one overloaded urgency, 0.74 of the calls are on time with a share of 1, 0.82 with 0.7 and
	// 0.81 with 0.6.
	maxWaitShare = 0.7
	// minQueueShare is the share of the time left for the first byte that the queue must take before a
	// call is deferred. The estimate of the wait may be wrong by a factor of two; an upstream whose queue
	// takes a quarter of that time is not busy.
	minQueueShare = 0.5
	// maxUsedShare is the share of its time limit after which a call is not deferred any more, so that it
	// does not starve behind later calls.
	maxUsedShare = 0.5
	// maxWaitFactor is how many times its latency target a call that cannot be deferred may be expected to
	// wait before it is refused.
	maxWaitFactor = 1.6
	// minRetryAfter and maxRetryAfter bound the time after which a refused call should be sent again.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxJitter is the largest extension of that time, as a share of it: callers that are refused together
	// must not come back together.
	maxJitter = 1.0 / 3
)

// Decision is what becomes of an attempt.
type Decision int

const (
	// Send sends the attempt at the rank of its urgency.
	Send Decision = iota
	// Defer sends it at the rank for deferred calls of its urgency.
	Defer
	// Refuse ends the call, which has no chance to begin in time.
	Refuse
)

// String returns the name of the decision as logs show it.
func (d Decision) String() string {
	switch d {
	case Send:
		return "send"
	case Defer:
		return "defer"
	case Refuse:
		return "refuse"
	}
	return "unknown"
}

// Call is what decisions depend on of a call.
type Call struct {
	// Target is the latency target of its first byte, 0 for none.
	Target time.Duration
	// TimeLimit is the time from its arrival to its deadline, 0 if unknown, and Used the part that has passed.
	TimeLimit time.Duration
	Used      time.Duration
	// Prefill is the expected prefill time of its own prompt.
	Prefill time.Duration
	// Urgency and RouteUrgency are its priority and its priority among the calls of its account.
	Urgency      int
	RouteUrgency int
	// HasDeferredRank is set if its urgency has a rank for deferred calls.
	HasDeferredRank bool
	// FirstAttempt is set if no upstream was tried before.
	FirstAttempt bool
}

// Wait is the expected time until an upstream begins a call.
type Wait struct {
	// OnTime is the wait at the rank of its urgency, Deferred that at the rank for deferred calls.
	OnTime   time.Duration
	Deferred time.Duration
}

// Decide returns what becomes of an attempt at an upstream.
func Decide(call Call, wait Wait) Decision {
	if call.Target <= 0 || call.TimeLimit <= 0 {
		return Send
	}
	switch {
	case !call.isLate(wait.OnTime):
		return Send
	case !call.canBeDeferred():
		if call.Used+wait.OnTime > call.TimeLimit || call.isTooLate(wait.OnTime) {
			return Refuse
		}
		return Send
	case call.Used+wait.Deferred > call.TimeLimit:
		return Refuse
	}
	return Defer
}

// Yields reports whether an attempt that is not refused any more is deferred.
func Yields(call Call, wait Wait) bool {
	return call.Target > 0 && call.TimeLimit > 0 && call.isLate(wait.OnTime) && call.canBeDeferred()
}

// isLate reports whether the first byte of a call with this wait would miss its latency target. A long
// prompt without a queue before it delays nothing that it could yield to.
func (c Call) isLate(wait time.Duration) bool {
	left := c.Target - c.Used
	return left <= 0 || wait+c.Prefill > time.Duration(maxWaitShare*float64(left)) && wait > time.Duration(minQueueShare*float64(left))
}

func (c Call) canBeDeferred() bool {
	return c.HasDeferredRank && c.Used < time.Duration(maxUsedShare*float64(c.TimeLimit))
}

// isTooLate reports whether a call with this wait would be answered far beyond its latency target. Calls of
// the two highest urgencies, and those that an upstream may have run, are never refused for that.
func (c Call) isTooLate(wait time.Duration) bool {
	return c.FirstAttempt && c.Urgency > 0 && c.RouteUrgency > 0 && wait+c.Prefill > time.Duration(maxWaitFactor*float64(c.Target))
}

// RetryAfter returns when a call that was refused for lack of capacity should be sent again: once the
// upstreams have worked off their queues, which take this long, down to the call's target. chance is a
// random number in [0, 1) that distributes the callers.
func RetryAfter(queue, target time.Duration, chance float64) time.Duration {
	latest := time.Duration(float64(maxRetryAfter) / (1 + maxJitter))
	wait := min(latest, max(minRetryAfter, queue-target))
	return time.Duration(float64(wait) * (1 + maxJitter*chance))
}
