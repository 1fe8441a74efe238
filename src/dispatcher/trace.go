package dispatcher

import (
	"github.com/rosecroft/rosecroft/src/units"
)

// Step is a kind of decision about a call.
type Step string

// The steps of a call, in the order in which they first occur.
const (
	StepAccepted     Step = "accepted"
	StepAdmitted     Step = "admitted"
	StepCandidate    Step = "candidate"
	StepAttempt      Step = "attempt"
	StepAttemptEnded Step = "attempt-ended"
	// StepUpstreamEnded is an upstream of an earlier attempt that has ended, so that its run does not count towards
	// MaxAttempts.
	StepUpstreamEnded Step = "upstream-ended"
	// StepAttemptLimit is a choice among the upstreams that have run the call, as they are as many as MaxAttempts.
	StepAttemptLimit Step = "attempt-limit"
	StepOutcome      Step = "outcome"
)

// Trace records the decisions about one call for operators to inspect.
type Trace interface {
	RecordStep(step Step, upstream units.Upstream, detail string)
	// RecordCandidate records an upstream that could be chosen, and its score.
	RecordCandidate(upstream units.Upstream, score float64)
}

// RecordStep records a decision if the call has a trace.
func (c *Call) RecordStep(step Step, upstream units.Upstream, detail string) {
	if c.Trace != nil {
		c.Trace.RecordStep(step, upstream, detail)
	}
}

// String returns the name of the kind as traces show it.
func (k ResultKind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case OutcomeUnknown:
		return "lost"
	case CallerGone:
		return "caller-gone"
	case Moved:
		return "moved"
	case Unresumable:
		return "broken"
	case Failed:
		return "failed"
	}
	return "unknown"
}

// recordAttemptEnd records how an attempt ended if the call has a trace.
func recordAttemptEnd(call *Call, upstream units.Upstream, result Result) {
	if call.Trace == nil {
		return
	}
	detail := result.Kind.String()
	if result.Through != "" {
		detail += " through " + string(result.Through)
	}
	if result.Err != nil {
		detail += ": " + result.Err.Error()
	}
	call.RecordStep(StepAttemptEnded, upstream, detail)
}
