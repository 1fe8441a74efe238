package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// answeredRecorder is a recorder that has the answer to an earlier call with the same key.
type answeredRecorder struct {
	refusingUpstreams
}

func (a *answeredRecorder) Begin(context.Context, *Call) (*Answer, error) {
	return &Answer{Status: http.StatusOK}, nil
}

// Admit refuses every call, as for an account at its limit.
func (a *answeredRecorder) Admit(context.Context, *Call) (func(), error) {
	return nil, &Refusal{Kind: ProblemLimit, Executed: ExecutedNo}
}

type answerSink struct {
	noSink
	answer *Answer
}

func (s *answerSink) Answer(answer *Answer) error {
	s.answer = answer
	return nil
}

// hangUpExchanger is an exchanger during whose exchange the caller hangs up; contextErr is
// the error of the exchange's context afterwards.
type hangUpExchanger struct {
	refusingUpstreams
	hangUp     context.CancelFunc
	contextErr error
}

func (h *hangUpExchanger) Exchange(ctx context.Context, _ *Call, _ units.Attempt, _ *tracker.Upstream, _ *Stream) Result {
	h.hangUp()
	h.contextErr = ctx.Err()
	return Result{Kind: Answered, Answer: &Answer{Status: http.StatusOK}}
}

// A caller hangs up while its call runs. A non-repeatable call, such as a payment, must
// run to completion, since the outcome of an aborted one would be unknown, and its answer
// is stored for a resend. A repeatable call must be cancelled, since nobody reads its
// answer.
func TestHangUpCancelsOnlyRepeatableCalls(t *testing.T) {
	for name, c := range map[string]struct {
		call Call
		want error
	}{
		"non-repeatable":            {},
		"non-repeatable with a key": {call: Call{HasCallerKey: true}},
		"repeatable":                {call: Call{Repeatable: true}, want: context.Canceled},
		"repeatable with a key":     {call: Call{Repeatable: true, HasCallerKey: true}, want: context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, hangUp := context.WithCancel(t.Context())
			fake := &hangUpExchanger{hangUp: hangUp}
			d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake}
			c.call.Deadline = time.Now().Add(time.Minute)
			_ = d.Do(ctx, &c.call, noSink{})
			if got := fake.contextErr; !errors.Is(got, c.want) {
				t.Errorf("error of the exchange's context: got %v, want %v", got, c.want)
			}
		})
	}
}

// A booking ran, and its answer was lost on the way to the caller. The caller sends it
// again with the same key while its account is at its limit. A refusal with `executed: no`
// would make the caller book a second time with a new key; it must get the stored answer.
func TestResendIsNotRefusedAsNotRun(t *testing.T) {
	fake := &answeredRecorder{}
	sink := &answerSink{}
	d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake}
	err := d.Do(t.Context(), &Call{HasCallerKey: true, Deadline: time.Now().Add(time.Minute)}, sink)
	if err != nil || sink.answer == nil {
		t.Errorf("resend: got error %v, want the first call's answer", err)
	}
}

// A repeatable call is sent again with its key while its account is at its limit, which is
// checked before the record. The limiter does not know whether the first call ran; it may
// say "not run" only for a call without a key.
func TestLimitRefusalOfAResendSaysUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		given bool
		want  Executed
	}{
		"with a key":    {given: true, want: ExecutedUnknown},
		"without a key": {want: ExecutedNo},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &answeredRecorder{}
			d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake}
			err := d.Do(t.Context(), &Call{Repeatable: true, HasCallerKey: c.given, Deadline: time.Now().Add(time.Minute)}, noSink{})
			var refusal *Refusal
			if !errors.As(err, &refusal) {
				t.Fatalf("error: got %v, want a refusal", err)
			}
			if got := refusal.Executed; got != c.want {
				t.Errorf("executed: got %q, want %q", got, c.want)
			}
		})
	}
}
