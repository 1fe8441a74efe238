package explainer

import (
	"fmt"
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// With an endless series of calls, and a stream that moves endlessly, memory stays bounded: the
// most recent calls are kept, each with its outcome.
func TestBookIsBounded(t *testing.T) {
	store := &TraceStore{}
	for i := range 3 * maxCalls {
		store.Start(units.CallID(fmt.Sprint(i)))
	}
	last := store.Start("last")
	for range 3 * maxDecisions {
		last.RecordCandidate("u", 1)
	}
	last.RecordStep(dispatcher.StepOutcome, "", "answered")
	if got, want := len(store.byID), maxCalls; got != want || len(store.ring) != want {
		t.Errorf("calls kept: got %d and %d, want %d", got, len(store.ring), want)
	}
	if got := store.Explain("0"); got != nil {
		t.Errorf("oldest call: got %v, want it dropped", got)
	}
	got := store.Explain("last")
	if got == nil || len(got.Decisions) != maxDecisions || got.LeftOut != 2*maxDecisions+1 {
		t.Fatalf("last call: got %+v, want %d decisions and the others counted", got, maxDecisions)
	}
	if end := got.Decisions[maxDecisions-1]; end.Step != dispatcher.StepOutcome || end.Detail != "answered" {
		t.Errorf("end: got %+v, want the outcome", end)
	}
}

// BenchmarkTrace measures the cost of recording a call with one attempt and eight candidates.
func BenchmarkTrace(b *testing.B) {
	store := &TraceStore{}
	b.ReportAllocs()
	for b.Loop() {
		trace := store.Start("call")
		for range 8 {
			trace.RecordCandidate("u", 1)
		}
		trace.RecordStep(dispatcher.StepAttempt, "u", "")
		trace.RecordStep(dispatcher.StepOutcome, "", "answered")
	}
}
