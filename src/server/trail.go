package server

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// open starts the call's trail with what the call is.
func (s *Server) open(call *dispatcher.Call) {
	if s.Explainer == nil {
		return
	}
	call.Trace = s.Explainer.Open(call.ID)
	call.RecordStep(dispatcher.StepAccepted, "", fmt.Sprintf(
		"account %s of brand %s, service %s, policy %s, repeatable %t, stream %t, prompt %d and at most %d tokens",
		call.Account.Name, call.Brand, call.Service, call.Policy, call.Repeatable, call.Stream, call.PromptTokens, call.MaxOutput))
}

// conclude ends the call's trail with its outcome.
func (s *Server) conclude(call *dispatcher.Call, outcome string, err error) {
	if err != nil {
		outcome += ": " + err.Error()
	}
	call.RecordStep(dispatcher.StepOutcome, "", outcome)
}
