package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// refusing is every collaborator of a dispatcher whose upstreams refuse all.
type refusing struct {
	attempts int
	budget   int
	earned   int
}

func (r *refusing) Admit(context.Context, *Call) (func(), error) { return func() {}, nil }

func (r *refusing) Begin(context.Context, *Call) (*Answer, error) { return nil, nil }

func (r *refusing) Dispatching(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

func (r *refusing) Finish(_ context.Context, _ *Call, _ *Answer, refusal *Refusal) *Refusal {
	return refusal
}

func (r *refusing) Pick(*Call, []units.Upstream) *tracker.Upstream {
	return &tracker.Upstream{Name: "u", Live: &tracker.Live{}}
}

func (r *refusing) Exchange(context.Context, *Call, units.Attempt, *tracker.Upstream, *Stream) Result {
	r.attempts++
	return Result{Kind: NotRun, RetryAfter: 3 * time.Second}
}

func (r *refusing) Earn(units.Service) { r.earned++ }

func (r *refusing) Spend(units.Service) bool {
	r.budget--
	return r.budget >= 0
}

type noSink struct{}

func (noSink) Answer(*Answer) error             { return nil }
func (noSink) Begin(http.Header) error          { return nil }
func (noSink) Event(units.Tokens, []byte) error { return nil }
func (noSink) End() error                       { return nil }

// All upstreams refuse. The call is tried again as often as the budget allows,
// each time after a longer wait, and then gets its final answer at once: not
// run, with the longest time that an upstream asked for.
func TestRetriesEndWithTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &refusing{budget: 2}
		d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake, Budget: fake}
		began := time.Now()
		err := d.Do(t.Context(), &Call{Deadline: began.Add(time.Minute)}, noSink{})
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Executed != ExecutedNo || refusal.RetryAfter != 3*time.Second {
			t.Errorf("answer: got %v, want a refusal, not run, with 3s", err)
		}
		if got, want := fake.attempts, 3; got != want {
			t.Errorf("attempts: got %d, want %d", got, want)
		}
		if got, least, most := time.Since(began), 3*firstBackoff/2, 3*firstBackoff; got < least || got > most {
			t.Errorf("waits: got %s, want %s to %s", got, least, most)
		}
		if fake.earned != 0 {
			t.Errorf("earned: got %d, want none for a refused call", fake.earned)
		}
	})
}
