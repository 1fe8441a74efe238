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
}

// writeProblem writes a refusal as the final answer to a call.
func writeProblem(writer http.ResponseWriter, id units.CallID, refusal *dispatcher.Refusal) {
	// A key that the system made stands for a call that has a record. One that
	// did not run may have none, and a resend under the key would be taken for
	// a call whose record is lost.
	key := writer.Header().Get(headerKey)
	if refusal.Executed == dispatcher.ExecutedNo && strings.HasPrefix(key, dispatcher.MadeKeyPrefix) {
		writer.Header().Del(headerKey)
	}
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
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
	}
}

func badRequest(detail string) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   http.StatusBadRequest,
		Kind:     dispatcher.ProblemBadRequest,
		Detail:   detail,
		Executed: dispatcher.ExecutedNo,
	}
}

func notFound(detail string) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   http.StatusNotFound,
		Kind:     dispatcher.ProblemNotFound,
		Detail:   detail,
		Executed: dispatcher.ExecutedNo,
	}
}
