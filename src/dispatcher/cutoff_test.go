package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// waitingParts implements the interfaces that a dispatcher uses: a call waits at one of them until its context ends.
type waitingParts struct {
	// at is where the call waits.
	at string
	// result is how its attempt has ended by then.
	result ResultKind
}

func (w *waitingParts) wait(ctx context.Context, at string) error {
	if w.at != at {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (w *waitingParts) Admit(ctx context.Context, _ *Call) (func(), error) {
	if err := w.wait(ctx, "limiter"); errors.Is(err, context.DeadlineExceeded) {
		return nil, deadlineRefusal(ExecutedNo)
	} else if err != nil {
		return nil, err
	}
	return func() {}, nil
}

func (w *waitingParts) Begin(context.Context, *Call) (*Answer, error) { return nil, nil }

func (w *waitingParts) BeforeDispatch(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

func (w *waitingParts) Finish(_ context.Context, _ *Call, _ *Answer, refusal *Refusal) *Refusal {
	return refusal
}

func (w *waitingParts) Pick(*Call, []units.Upstream) *tracker.Upstream {
	return &tracker.Upstream{
		Name:  "u",
		Local: &tracker.LocalState{},
	}
}

func (w *waitingParts) PickRelease(call *Call, _ units.Release, tried []units.Upstream) (*tracker.Upstream, bool) {
	return w.Pick(call, tried), false
}

func (w *waitingParts) PickAgain(call *Call, _ units.Release, _, tried []units.Upstream) (*tracker.Upstream, bool) {
	return w.Pick(call, tried), false
}

func (w *waitingParts) Exchange(ctx context.Context, _ *Call, _ units.Attempt, _ *tracker.Upstream, _ *Stream) Result {
	if err := w.wait(ctx, "upstream"); errors.Is(err, context.Canceled) {
		return Result{Kind: CallerGone, Err: err}
	}
	return Result{Kind: w.result}
}

// Guards against calls of a process that exits whose callers get no answer, wherever the calls wait.
func TestCutoffAnswersAllCalls(t *testing.T) {
	cases := map[string]struct {
		parts      waitingParts
		repeatable bool
		want       int
		executed   Executed
	}{
		"at the limiter":               {parts: waitingParts{at: "limiter"}, want: http.StatusGatewayTimeout, executed: ExecutedNo},
		"at an upstream, not run":      {parts: waitingParts{at: "upstream", result: NotRun}, want: http.StatusGatewayTimeout, executed: ExecutedNo},
		"at an upstream, may have run": {parts: waitingParts{at: "upstream", result: OutcomeUnknown}, want: http.StatusBadGateway, executed: ExecutedUnknown},
		"repeatable, may have run":     {parts: waitingParts{at: "upstream", result: OutcomeUnknown}, repeatable: true, want: http.StatusGatewayTimeout, executed: ExecutedUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cutoff := &timekeeper.Cutoff{}
				d := &Dispatcher{
					Limiter:   &c.parts,
					Recorder:  &c.parts,
					Router:    &c.parts,
					Exchanger: &c.parts,
					Cutoff:    cutoff,
				}
				call := &Call{
					ID:         "c1",
					Deadline:   time.Now().Add(time.Hour),
					Repeatable: c.repeatable,
				}
				time.AfterFunc(time.Second, cutoff.End)
				startedAt := time.Now()
				err := d.Do(t.Context(), call, noSink{})
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Status != c.want || refusal.Executed != c.executed {
					t.Errorf("outcome: got %+v (%v), want a refusal with status %d that says %q", refusal, err, c.want, c.executed)
				}
				if took := time.Since(startedAt); took != time.Second {
					t.Errorf("time: got %v, want it ended by the cutoff after a second", took)
				}
			})
		})
	}
}
