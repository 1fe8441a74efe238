package server

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// startTrace starts the call's trace and records the call's properties in it.
func (s *Server) startTrace(call *dispatcher.Call) {
	if s.Explainer == nil {
		return
	}
	call.Trace = s.Explainer.Start(call.ID)
	call.RecordStep(dispatcher.StepAccepted, "", fmt.Sprintf(
		"account %s of brand %s, service %s, policy %s, repeatable %t, stream %t, prompt %d and at most %d tokens",
		call.Account.Name, call.Brand, call.Service, call.Policy, call.Repeatable, call.Stream, call.PromptTokens, call.MaxOutput))
}

// recordOutcome records the call's outcome in its trace.
func (s *Server) recordOutcome(call *dispatcher.Call, outcome string, err error) {
	if err != nil {
		outcome += ": " + err.Error()
	}
	call.RecordStep(dispatcher.StepOutcome, "", outcome)
}
