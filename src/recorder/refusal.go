package recorder

import (
	"errors"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

const retryAfter = time.Second

var errUnreachable = errors.New("the record of calls cannot be reached; ask again or ask another entry")

func conflictRefusal() *dispatcher.Refusal {
	return newRefusal(http.StatusUnprocessableEntity, dispatcher.ProblemConflict, dispatcher.ExecutedNo,
		"another request was sent under this Idempotency-Key; use a new key for a new request")
}

func unknownRefusal() *dispatcher.Refusal {
	return newRefusal(http.StatusBadGateway, dispatcher.ProblemOutcomeUnknown, dispatcher.ExecutedUnknown,
		"a call with this Idempotency-Key may have run and its answer is lost; ask the service what became of it before you send it under a new key")
}

func evictedRefusal() *dispatcher.Refusal {
	return newRefusal(http.StatusBadGateway, dispatcher.ProblemOutcomeUnknown, dispatcher.ExecutedUnknown,
		"the call with this Idempotency-Key has run and its answer is no longer kept; raise record.keep-bytes to keep more")
}

func stillRunningRefusal() *dispatcher.Refusal {
	return withRetryAfter(newRefusal(http.StatusGatewayTimeout, dispatcher.ProblemDeadline, dispatcher.ExecutedUnknown,
		"an earlier call with this key still runs; send it again to get its answer"))
}

func supersededRefusal() *dispatcher.Refusal {
	return withRetryAfter(newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemOutcomeUnknown, dispatcher.ExecutedUnknown,
		"another entry took this Idempotency-Key over; send the call again to get its answer"))
}

func leaseExpiredRefusal() *dispatcher.Refusal {
	return withRetryAfter(newRefusal(http.StatusGatewayTimeout, dispatcher.ProblemDeadline, dispatcher.ExecutedNo,
		"the time to dispatch the call passed before an upstream got it"))
}

// unavailableRefusal refuses a call whose record cannot be reached. This entry did not run
// it, but another entry may have run an earlier call with the same key.
func unavailableRefusal(call *dispatcher.Call) *dispatcher.Refusal {
	executed := dispatcher.ExecutedNo
	if call.HasCallerKey {
		executed = dispatcher.ExecutedUnknown
	}
	return withRetryAfter(newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemRecord, executed,
		"the record of calls cannot be reached; send the call again under the same Idempotency-Key"))
}

func newRefusal(status int, kind dispatcher.ProblemKind, executed dispatcher.Executed, detail string) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   status,
		Kind:     kind,
		Detail:   detail,
		Executed: executed,
	}
}

// withRetryAfter asks the caller to send the call again after retryAfter.
func withRetryAfter(refusal *dispatcher.Refusal) *dispatcher.Refusal {
	refusal.RetryAfter = retryAfter
	return refusal
}
