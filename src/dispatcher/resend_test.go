package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"
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
