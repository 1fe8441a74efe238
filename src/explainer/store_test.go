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
	book := &TraceStore{}
	for i := range 3 * maxCalls {
		book.Start(units.CallID(fmt.Sprint(i)))
	}
	last := book.Start("last")
	for range 3 * maxDecisions {
		last.RecordCandidate("u", 1)
	}
	last.RecordStep(dispatcher.StepOutcome, "", "answered")
	if got, want := len(book.byID), maxCalls; got != want || len(book.ring) != want {
		t.Errorf("calls kept: got %d and %d, want %d", got, len(book.ring), want)
	}
	if got := book.Explain("0"); got != nil {
		t.Errorf("oldest call: got %v, want it dropped", got)
	}
	got := book.Explain("last")
	if got == nil || len(got.Decisions) != maxDecisions || got.LeftOut != 2*maxDecisions+1 {
		t.Fatalf("last call: got %+v, want %d decisions and the others counted", got, maxDecisions)
	}
	if end := got.Decisions[maxDecisions-1]; end.Step != dispatcher.StepOutcome || end.Detail != "answered" {
		t.Errorf("end: got %+v, want the outcome", end)
	}
}

// BenchmarkTrail measures the cost of recording a call with one attempt and eight candidates.
func BenchmarkTrail(b *testing.B) {
	book := &TraceStore{}
	b.ReportAllocs()
	for b.Loop() {
		trail := book.Start("call")
		for range 8 {
			trail.RecordCandidate("u", 1)
		}
		trail.RecordStep(dispatcher.StepAttempt, "u", "")
		trail.RecordStep(dispatcher.StepOutcome, "", "answered")
	}
}
