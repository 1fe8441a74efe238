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

// kept is a recorder that has the answer of an earlier sending.
type kept struct {
	refusing
}

func (k *kept) Begin(context.Context, *Call) (*Answer, error) {
	return &Answer{Status: http.StatusOK}, nil
}

// Admit refuses, as an account at its limit is.
func (k *kept) Admit(context.Context, *Call) (func(), error) {
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

// hangingUp is an exchanger during whose exchange the caller hangs up.
type hangingUp struct {
	refusing
	hangUp  context.CancelFunc
	running error
}

func (h *hangingUp) Exchange(ctx context.Context, _ *Call, _ units.Attempt, _ *tracker.Upstream, _ *Stream) Result {
	h.hangUp()
	h.running = ctx.Err()
	return Result{Kind: Answered, Answer: &Answer{Status: http.StatusOK}}
}

// A caller hangs up while its call runs. A charge must run to its end, since
// nobody could say what became of half of one, and its answer is kept for the
// resend; a call that may be repeated is cancelled, since nobody reads it.
func TestHangUpCancelsOnlyWhatMayBeRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		call Call
		want error
	}{
		"charge":              {},
		"charge with a key":   {call: Call{KeyGiven: true}},
		"repeatable":          {call: Call{Repeatable: true}, want: context.Canceled},
		"repeatable with key": {call: Call{Repeatable: true, KeyGiven: true}, want: context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, hangUp := context.WithCancel(t.Context())
			fake := &hangingUp{hangUp: hangUp}
			d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake}
			c.call.Deadline = time.Now().Add(time.Minute)
			_ = d.Do(ctx, &c.call, noSink{})
			if got := fake.running; !errors.Is(got, c.want) {
				t.Errorf("the exchange's context: got %v, want %v", got, c.want)
			}
		})
	}
}

// A booking ran, and its answer was lost on the way. The caller sends it again
// under its key while its account is at its limit. A refusal that says `executed:
// no` would make it book under a new key, a second time; it must get the answer.
func TestResendIsNotRefusedAsNotRun(t *testing.T) {
	fake := &kept{}
	sink := &answerSink{}
	d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake}
	err := d.Do(t.Context(), &Call{KeyGiven: true, Deadline: time.Now().Add(time.Minute)}, sink)
	if err != nil || sink.answer == nil {
		t.Errorf("resend: got %v, want the first sending's answer", err)
	}
}

// A call that may be repeated is sent again under its key while its account is at
// its limit, which is asked before the record. Whether the first sending ran, the
// limit does not know; it may say "not run" only of a call without a key.
func TestLimitDeniesNoEarlierSending(t *testing.T) {
	for name, c := range map[string]struct {
		given bool
		want  Executed
	}{
		"with a key":    {given: true, want: ExecutedUnknown},
		"without a key": {want: ExecutedNo},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &kept{}
			d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake}
			err := d.Do(t.Context(), &Call{Repeatable: true, KeyGiven: c.given, Deadline: time.Now().Add(time.Minute)}, noSink{})
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
