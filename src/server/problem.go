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
	problemType   = "application/problem+json"
	problemPrefix = "urn:rosecroft:problem:"
)

// problem is an RFC 9457 problem body with this system's extensions.
type problem struct {
	Type     string              `json:"type"`
	Title    string              `json:"title"`
	Status   int                 `json:"status"`
	Detail   string              `json:"detail"`
	Instance string              `json:"instance,omitempty"`
	Executed dispatcher.Executed `json:"executed"`
	// RetryAfter is in seconds; it stands in the body too since a stream that
	// has begun can send no header.
	RetryAfter int `json:"retry-after,omitempty"`
}

// writeProblem writes a refusal as the final answer to a call.
func writeProblem(writer http.ResponseWriter, id units.CallID, refusal *dispatcher.Refusal) {
	// A key that the system made stands for a call that has a record. One that
	// did not run may have none, and a resend under the key would be taken for
	// a call whose record is lost.
	key := writer.Header().Get(headerKey)
	if refusal.Executed == dispatcher.ExecutedNo && strings.HasPrefix(key, dispatcher.GeneratedKeyPrefix) {
		writer.Header().Del(headerKey)
	}
	if refusal.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(retrySeconds(refusal)))
	}
	writer.Header().Set("Content-Type", problemType)
	writer.WriteHeader(refusal.Status)
	_ = json.NewEncoder(writer).Encode(problemOf(id, refusal))
}

func problemOf(id units.CallID, refusal *dispatcher.Refusal) *problem {
	return &problem{
		Type:     problemPrefix + string(refusal.Kind),
		Title:    string(refusal.Kind),
		Status:   refusal.Status,
		Detail:   refusal.Detail,
		Instance: string(id),
		Executed: refusal.Executed,

		RetryAfter: retrySeconds(refusal),
	}
}

func retrySeconds(refusal *dispatcher.Refusal) int {
	return int(math.Ceil(refusal.RetryAfter.Seconds()))
}

func refusalOf(status int, kind dispatcher.ProblemKind, detail string) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   status,
		Kind:     kind,
		Detail:   detail,
		Executed: dispatcher.ExecutedNo,
	}
}

func badRequest(detail string) *dispatcher.Refusal {
	return refusalOf(http.StatusBadRequest, dispatcher.ProblemBadRequest, detail)
}

func notFound(detail string) *dispatcher.Refusal {
	return refusalOf(http.StatusNotFound, dispatcher.ProblemNotFound, detail)
}

// routeRefusal tells why the router found no handler.
func routeRefusal(status int, request *http.Request) *dispatcher.Refusal {
	asked := request.Method + " " + request.URL.Path
	switch status {
	case http.StatusMethodNotAllowed:
		return refusalOf(status, dispatcher.ProblemMethod, "the route does not take "+asked)
	case http.StatusUnsupportedMediaType, http.StatusNotAcceptable:
		return refusalOf(status, dispatcher.ProblemMediaType, "send and accept JSON at "+asked)
	case http.StatusNotFound:
		return notFound("no route answers " + asked)
	}
	return refusalOf(status, dispatcher.ProblemBadRequest, "the request cannot be routed: "+asked)
}
