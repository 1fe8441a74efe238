package watcher

import (
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// The minimums are well above the pauses that a busy machine causes. A watchdog that fires too
// early costs a reconnection but no token.
const (
	// ConnectTimeout bounds the setup of a connection.
	ConnectTimeout       = 500 * time.Millisecond
	minHeaderTimeout     = time.Second
	minFirstTokenTimeout = time.Second
	minTokenTimeout      = 300 * time.Millisecond
	tokenTimeoutSteps    = 25
	predictionFactor     = 4
	// typicalOutputTokens is the length of an answer that is assumed when predicting the wait in
	// a queue.
	typicalOutputTokens = 256
	defaultStep         = 25 * time.Millisecond
	// defaultPrefillPerStep is the number of prompt tokens that an engine processes per step if
	// it does not report one.
	defaultPrefillPerStep = 64
)

// Timeouts are the longest silences during which an upstream is assumed to be working.
type Timeouts struct {
	// Header is the time from the request to the answer's header.
	Header time.Duration
	// FirstToken is the time from the header to the first token.
	FirstToken time.Duration
	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
}

// TimeoutsFor returns the limits of a stream with the given number of prompt tokens at an upstream.
func TimeoutsFor(upstream *tracker.Upstream, prompt units.Tokens) Timeouts {
	step := upstream.Step
	if step <= 0 {
		step = defaultStep
	}
	return Timeouts{
		Header:        minHeaderTimeout + tokenTimeoutSteps*step,
		FirstToken:    minFirstTokenTimeout + predictionFactor*PredictFirstToken(upstream, prompt),
		BetweenTokens: max(minTokenTimeout, tokenTimeoutSteps*step),
	}
}

// PredictFirstToken predicts the time to the first token of a prompt of which nothing is cached.
func PredictFirstToken(upstream *tracker.Upstream, prompt units.Tokens) time.Duration {
	step := upstream.Step
	if step <= 0 {
		step = defaultStep
	}
	perStep := upstream.PrefillPerStep
	if perStep <= 0 {
		perStep = defaultPrefillPerStep
	}
	queuedTokens := upstream.Load.QueuedTokens + units.Tokens(upstream.Local.PrefillTokens.Load()) + prompt
	prefill := time.Duration(queuedTokens/perStep+1) * step
	return prefill + queueWait(upstream, step)
}

// queueWait predicts how long it takes until a slot is free.
func queueWait(upstream *tracker.Upstream, step time.Duration) time.Duration {
	if upstream.Slots <= 0 {
		return 0
	}
	local := int(upstream.Local.InFlight.Load())
	inFlight := max(local, upstream.Load.Running+upstream.Load.Queued)
	excess := inFlight - upstream.Slots
	if excess < 0 {
		return 0
	}
	return time.Duration(excess+1) * typicalOutputTokens * step / time.Duration(upstream.Slots)
}
