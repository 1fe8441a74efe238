package watcher

import (
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// The floors are well above the pauses that a busy machine causes; a watchdog
// that fires too early costs a reconnection and no token.
const (
	// Connect bounds the making of a connection.
	Connect          = 500 * time.Millisecond
	acceptFloor      = time.Second
	firstTokenFloor  = time.Second
	betweenFloor     = 300 * time.Millisecond
	betweenSteps     = 25
	predictionFactor = 4
	// typicalOutput is the answer's length that a queue's wait is predicted with.
	typicalOutput = 256
	defaultStep   = 25 * time.Millisecond
	// unknownPrefill is the prompt tokens in a step where an engine says none.
	unknownPrefill = 64
)

// Limits are the longest silences that are taken for work.
type Limits struct {
	// Accept is the time to the answer's header.
	Accept time.Duration
	// FirstToken is the time from the header to the first token.
	FirstToken time.Duration
	// BetweenTokens is the time from one token to the next.
	BetweenTokens time.Duration
}

// For returns the limits of a stream with so many prompt tokens at an upstream.
func For(upstream *tracker.Upstream, prompt units.Tokens) Limits {
	step := upstream.Step
	if step <= 0 {
		step = defaultStep
	}
	return Limits{
		Accept:        acceptFloor + betweenSteps*step,
		FirstToken:    firstTokenFloor + predictionFactor*FirstToken(upstream, prompt),
		BetweenTokens: max(betweenFloor, betweenSteps*step),
	}
}

// FirstToken predicts the time to the first token of a prompt of which nothing is cached.
func FirstToken(upstream *tracker.Upstream, prompt units.Tokens) time.Duration {
	step := upstream.Step
	if step <= 0 {
		step = defaultStep
	}
	perStep := upstream.PrefillPerStep
	if perStep <= 0 {
		perStep = unknownPrefill
	}
	waiting := upstream.Load.QueuedTokens + units.Tokens(upstream.Local.PrefillTokens.Load()) + prompt
	prefill := time.Duration(waiting/perStep+1) * step
	return prefill + queueWait(upstream, step)
}

// queueWait predicts how long it takes until a slot is free.
func queueWait(upstream *tracker.Upstream, step time.Duration) time.Duration {
	if upstream.Slots <= 0 {
		return 0
	}
	own := int(upstream.Local.InFlight.Load())
	under := max(own, upstream.Load.Running+upstream.Load.Queued)
	excess := under - upstream.Slots
	if excess < 0 {
		return 0
	}
	return time.Duration(excess+1) * typicalOutput * step / time.Duration(upstream.Slots)
}
