package router

import (
	"math"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// explain records the eligible candidates and their scores in the call's trace.
func (s *subset) explain(call *dispatcher.Call, scores []float64) {
	if call.Trace == nil {
		return
	}
	for i, score := range scores {
		if !math.IsInf(score, 1) {
			call.Trace.RecordCandidate(s.candidates[i].upstream.Name, score)
		}
	}
}
