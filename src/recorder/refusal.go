package recorder

import (
	"errors"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

const retryAfter = time.Second

var errUnreachable = errors.New("the record of calls cannot be reached; ask again or ask another entry")

func conflict() *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   http.StatusUnprocessableEntity,
		Kind:     dispatcher.ProblemConflict,
		Detail:   "another request was sent under this Idempotency-Key; use a new key for a new request",
		Executed: dispatcher.ExecutedNo,
	}
}

func unknown() *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   http.StatusBadGateway,
		Kind:     dispatcher.ProblemLost,
		Detail:   "a call with this Idempotency-Key may have run and its answer is lost; ask the service what became of it before you send it under a new key",
		Executed: dispatcher.ExecutedUnknown,
	}
}

func forgotten() *dispatcher.Refusal {
	refusal := unknown()
	refusal.Detail = "the call with this Idempotency-Key has run and its answer is no longer kept; raise record.keep-bytes to keep more"
	return refusal
}

func stillRuns() *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:     http.StatusGatewayTimeout,
		Kind:       dispatcher.ProblemDeadline,
		Detail:     "an earlier call with this key still runs; send it again to get its answer",
		Executed:   dispatcher.ExecutedUnknown,
		RetryAfter: retryAfter,
	}
}

func overtaken() *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:     http.StatusServiceUnavailable,
		Kind:       dispatcher.ProblemLost,
		Detail:     "another entry took this Idempotency-Key over; send the call again to get its answer",
		Executed:   dispatcher.ExecutedUnknown,
		RetryAfter: retryAfter,
	}
}

func lateRefusal() *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:     http.StatusGatewayTimeout,
		Kind:       dispatcher.ProblemDeadline,
		Detail:     "the time to dispatch the call passed before an upstream got it",
		Executed:   dispatcher.ExecutedNo,
		RetryAfter: retryAfter,
	}
}

// withoutRecord refuses a call whose record cannot be reached. This entry did not
// run it; whether another did under the same key, nobody can say without the record.
func withoutRecord(call *dispatcher.Call) *dispatcher.Refusal {
	refusal := &dispatcher.Refusal{
		Status:     http.StatusServiceUnavailable,
		Kind:       dispatcher.ProblemRecord,
		Detail:     "the record of calls cannot be reached; send the call again under the same Idempotency-Key",
		Executed:   dispatcher.ExecutedNo,
		RetryAfter: retryAfter,
	}
	if call.KeyGiven {
		refusal.Executed = dispatcher.ExecutedUnknown
	}
	return refusal
}
