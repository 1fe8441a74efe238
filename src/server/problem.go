package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	problemContentType = "application/problem+json"
	problemTypePrefix  = "urn:rosecroft:problem:"
)

// problem is an RFC 9457 problem body with the extensions executed and retry-after.
type problem struct {
	Type     string              `json:"type"`
	Title    string              `json:"title"`
	Status   int                 `json:"status"`
	Detail   string              `json:"detail"`
	Instance string              `json:"instance,omitempty"`
	Executed dispatcher.Executed `json:"executed"`
	// RetryAfter is in seconds. It is in the body as well as in the header, since a
	// stream that has begun can no longer send a header.
	RetryAfter int `json:"retry-after,omitempty"`
}

// writeProblem writes a refusal as the final answer to a call.
func writeProblem(writer http.ResponseWriter, id units.CallID, refusal *dispatcher.Refusal) {
	// A generated key in a response implies that the call has a record. A call that
	// did not run may have none, and a resend with the key would be treated as a call
	// whose record is lost.
	key := writer.Header().Get(headerKey)
	if refusal.Executed == dispatcher.ExecutedNo && strings.HasPrefix(key, dispatcher.GeneratedKeyPrefix) {
		writer.Header().Del(headerKey)
	}
	if refusal.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(refusal)))
	}
	writer.Header().Set("Content-Type", problemContentType)
	writer.WriteHeader(refusal.Status)
	_ = json.NewEncoder(writer).Encode(newProblem(id, refusal))
}

func newProblem(id units.CallID, refusal *dispatcher.Refusal) *problem {
	return &problem{
		Type:     problemTypePrefix + string(refusal.Kind),
		Title:    string(refusal.Kind),
		Status:   refusal.Status,
		Detail:   refusal.Detail,
		Instance: string(id),
		Executed: refusal.Executed,

		RetryAfter: retryAfterSeconds(refusal),
	}
}

func retryAfterSeconds(refusal *dispatcher.Refusal) int {
	return int(math.Ceil(refusal.RetryAfter.Seconds()))
}

func newRefusal(status int, kind dispatcher.ProblemKind, detail string) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   status,
		Kind:     kind,
		Detail:   detail,
		Executed: dispatcher.ExecutedNo,
	}
}

func badRequest(detail string) *dispatcher.Refusal {
	return newRefusal(http.StatusBadRequest, dispatcher.ProblemBadRequest, detail)
}

func notFound(detail string) *dispatcher.Refusal {
	return newRefusal(http.StatusNotFound, dispatcher.ProblemNotFound, detail)
}

// routeRefusal returns the refusal for a request for which the router found no handler.
func routeRefusal(status int, request *http.Request) *dispatcher.Refusal {
	target := request.Method + " " + request.URL.Path
	switch status {
	case http.StatusMethodNotAllowed:
		return newRefusal(status, dispatcher.ProblemMethod, "the route does not take "+target)
	case http.StatusUnsupportedMediaType, http.StatusNotAcceptable:
		return newRefusal(status, dispatcher.ProblemMediaType, "send and accept JSON at "+target)
	case http.StatusNotFound:
		return notFound("no route answers " + target)
	}
	return newRefusal(status, dispatcher.ProblemBadRequest, "the request cannot be routed: "+target)
}
