package dispatcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// shortDeadline is what runs that wait for their deadline wait for.
const shortDeadline = 2 * time.Millisecond

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "6000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// world plays all that a dispatcher uses, and keeps the truth.
type world struct {
	t    *rapid.T
	call *Call
	// mayHaveRun is whether any exchange so far may have run the call.
	mayHaveRun bool
	stored     units.Attempt
	exchanges  int
	finished   int
	answers    int
}

func (w *world) Admit(context.Context, *Call) (func(), error) { return func() {}, nil }

func (w *world) Begin(context.Context, *Call) (*Answer, error) { return nil, nil }

func (w *world) Dispatching(_ context.Context, _ *Call, attempt units.Attempt, _ units.Upstream) error {
	if rapid.IntRange(0, 9).Draw(w.t, "record fails") == 0 {
		return &Refusal{
			Status:   http.StatusServiceUnavailable,
			Kind:     ProblemUnready,
			Executed: ExecutedNo,
		}
	}
	w.stored = attempt
	return nil
}

func (w *world) Finish(_ context.Context, _ *Call, _ *Answer, refusal *Refusal) *Refusal {
	w.finished++
	return refusal
}

func (w *world) Pick(_ *Call, tried []units.Upstream) *tracker.Upstream {
	for i := range 5 {
		name := units.Upstream(fmt.Sprint(i))
		fresh := true
		for _, before := range tried {
			fresh = fresh && before != name
		}
		if fresh {
			return &tracker.Upstream{
				Name:  name,
				Local: &tracker.LocalState{},
			}
		}
	}
	return nil
}

func (w *world) Exchange(ctx context.Context, call *Call, attempt units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	w.exchanges++
	if w.stored != attempt {
		w.t.Fatalf("attempt %d: got exchanged with attempt %d stored, want it stored before", attempt, w.stored)
	}
	if w.mayHaveRun && !call.Repeatable {
		w.t.Fatalf("attempt %d: got a call that may have run and may not be repeated, want none", attempt)
	}
	kinds := []ResultKind{Answered, NotRun, Lost}
	if call.Stream {
		kinds = append(kinds, Moved, Broken)
	}
	kind := rapid.SampledFrom(kinds).Draw(w.t, "result")
	w.mayHaveRun = w.mayHaveRun || kind != NotRun
	if kind != NotRun && call.Stream && rapid.Bool().Draw(w.t, "tokens") {
		_, _ = stream.Begin(nil, upstream, "1")
		_ = stream.Event(stream.Offset()+1, nil, nil)
	}
	if rapid.IntRange(0, 9).Draw(w.t, "late") == 0 {
		<-ctx.Done()
	}
	result := Result{Kind: kind}
	if kind == Answered && !call.Stream {
		result.Answer = &Answer{Status: http.StatusOK}
	}
	if kind == Moved && rapid.Bool().Draw(w.t, "target") {
		result.Next = w.Pick(call, []units.Upstream{upstream.Name})
	}
	return result
}

// sink counts the answers.
type sink struct{ w *world }

func (s sink) Answer(*Answer) error {
	s.w.answers++
	return nil
}
func (sink) Begin(http.Header) error          { return nil }
func (sink) Event(units.Tokens, []byte) error { return nil }
func (sink) End() error                       { return nil }

// Exchanges are refused, lost, late, moved or broken in any order, and the record
// of calls fails between them. A caller whose charge may have run must not have
// it run again, and must hear `no` only where no exchange can have run the call;
// each call ends once.
func TestRefusalsAreTruthfulAndNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t,
			call: &Call{
				ID:         "call-1",
				Deadline:   time.Now().Add(shortDeadline),
				Repeatable: rapid.Bool().Draw(t, "repeatable"),
			},
		}
		w.call.Stream = w.call.Repeatable && rapid.Bool().Draw(t, "stream")
		d := &Dispatcher{
			Limiter:   w,
			Recorder:  w,
			Router:    w,
			Exchanger: w,
		}
		err := d.Do(context.Background(), w.call, sink{w: w})
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Executed == ExecutedNo && w.mayHaveRun {
			t.Fatalf("refusal %v: got `no` after an exchange that may have run, want unknown", refusal)
		}
		if err != nil && refusal == nil {
			t.Fatalf("end: got %v, want an answer or a refusal", err)
		}
		if got, want := w.finished, 1; got != want {
			t.Fatalf("ends kept: got %d, want %d", got, want)
		}
		if got, want := w.answers, 1; !w.call.Stream && err == nil && got != want {
			t.Fatalf("answers: got %d, want %d", got, want)
		}
		if got, most := w.exchanges, 200; got > most {
			t.Fatalf("exchanges: got %d, want at most %d", got, most)
		}
	})
}

// A stream is under way when every upstream is lost for a while, as in a wave.
// Its caller has half an answer, so the stream must wait for an upstream to come
// back instead of being given up.
func TestStreamUnderWayWaitsForAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		d := &Dispatcher{
			Limiter:   &calm{},
			Recorder:  &calm{},
			Router:    &calm{},
			Exchanger: &calm{back: began.Add(5 * time.Second)},
		}
		d.Router = d.Exchanger.(*calm)
		call := &Call{
			ID:         "call-1",
			Deadline:   began.Add(time.Minute),
			Repeatable: true,
			Stream:     true,
		}
		w := &world{call: call}
		if err := d.Do(t.Context(), call, sink{w: w}); err != nil {
			t.Errorf("the stream: got %v, want it whole", err)
		}
	})
}

// calm is a fleet whose upstreams are all gone from the first token on until back.
type calm struct {
	world
	back time.Time
	sent bool
}

func (c *calm) Dispatching(context.Context, *Call, units.Attempt, units.Upstream) error { return nil }

func (c *calm) Pick(call *Call, tried []units.Upstream) *tracker.Upstream {
	if c.sent && time.Now().Before(c.back) {
		return nil
	}
	return c.world.Pick(call, tried)
}

func (c *calm) Exchange(_ context.Context, _ *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	if c.sent {
		return Result{Kind: Answered}
	}
	c.sent = true
	_, _ = stream.Begin(nil, upstream, "1")
	_ = stream.Event(1, nil, nil)
	return Result{Kind: Lost}
}
