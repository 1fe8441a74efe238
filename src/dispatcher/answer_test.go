package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// failingStreams are upstreams that begin streams, break them off and answer with errors, in any order.
type failingStreams struct {
	simulation
	// ended is set if the last attempt ended the stream as complete.
	ended bool
	// ran is set if an attempt may have run the call.
	ran bool
}

func (f *failingStreams) BeforeDispatch(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

func (f *failingStreams) Exchange(_ context.Context, call *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	if f.ran && !call.Repeatable {
		f.t.Fatal("got another attempt of a non-repeatable call that may have run, want none")
	}
	f.ended = false
	kind := rapid.SampledFrom([]ResultKind{Answered, Failed, NotRun, OutcomeUnknown, Moved}).Draw(f.t, "result")
	if kind == NotRun {
		return Result{Kind: kind}
	}
	f.ran = f.ran || kind != Moved
	if kind == Failed || kind == Answered && (!call.Stream || rapid.Bool().Draw(f.t, "an answer")) {
		status := rapid.SampledFrom([]int{http.StatusOK, http.StatusBadRequest, http.StatusInternalServerError}).Draw(f.t, "status")
		return Result{
			Kind:   kind,
			Answer: &Answer{Status: status},
		}
	}
	if !call.Stream {
		// The events are collected into one answer.
		stream.Sink = &callerSink{}
	}
	if err := stream.Begin(nil, upstream, "1"); err != nil {
		f.t.Fatal(err)
	}
	for range rapid.IntRange(0, 2).Draw(f.t, "events") {
		if rapid.Bool().Draw(f.t, "tokens") {
			_ = stream.Event(stream.Offset()+1, nil, nil)
		} else {
			_ = stream.EventWithoutOffset(nil)
		}
	}
	if kind == Answered {
		f.ended = true
		_ = stream.End()
	}
	return Result{Kind: kind}
}

// callerSink is a caller's response.
type callerSink struct {
	// begins, answers and ends count the calls; events is set once an event was written.
	begins, answers, ends int
	events                bool
}

func (s *callerSink) Answer(*Answer) error {
	s.answers++
	return nil
}

func (s *callerSink) Begin(http.Header) error {
	s.begins++
	return nil
}

func (s *callerSink) Event(units.Tokens, []byte) error {
	s.events = true
	return nil
}

func (s *callerSink) End() error {
	s.ends++
	return nil
}

// Guards against an upstream's error, or another whole answer, that is written after the beginning of a stream
// and makes it look complete.
func TestNoAnswerFollowsTheBeginningOfAStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := &failingStreams{simulation: simulation{t: t}}
		call := &Call{
			ID:          "c",
			Stream:      rapid.Bool().Draw(t, "stream"),
			Repeatable:  rapid.Bool().Draw(t, "repeatable"),
			MaxAttempts: rapid.IntRange(0, 4).Draw(t, "attempts"),
			Deadline:    time.Now().Add(shortDeadline),
		}
		if call.Stream && rapid.Bool().Draw(t, "resumes") {
			call.ResumeOffset = 3
		}
		d := &Dispatcher{
			Limiter:   upstreams,
			Recorder:  upstreams,
			Router:    upstreams,
			Exchanger: upstreams,
		}
		sink := &callerSink{}
		err := d.Do(context.Background(), call, sink)
		if sink.begins > 1 || sink.begins+sink.answers > 1 {
			t.Fatalf("got a stream begun %d times and %d answers, want one of them", sink.begins, sink.answers)
		}
		if got := err == nil; got != (sink.ends+sink.answers == 1) || sink.begins > 0 && got != upstreams.ended {
			t.Fatalf("got %v after %d ends and %d answers (ended by the last upstream: %t), want one of them or an error", err, sink.ends, sink.answers, upstreams.ended)
		}
	})
}
