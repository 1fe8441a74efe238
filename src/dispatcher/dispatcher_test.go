package dispatcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// shortDeadline keeps the runs short that wait for the call's deadline.
const shortDeadline = 2 * time.Millisecond

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "6000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// simulation implements the interfaces that a dispatcher uses, with random outcomes, and
// tracks what really happened to the call.
type simulation struct {
	t    *rapid.T
	call *Call
	// mayHaveRun is set once any exchange may have run the call.
	mayHaveRun      bool
	recordedAttempt units.Attempt
	exchanges       int
	finished        int
	answers         int
}

func (s *simulation) Admit(context.Context, *Call) (func(), error) { return func() {}, nil }

func (s *simulation) Begin(context.Context, *Call) (*Answer, error) { return nil, nil }

func (s *simulation) BeforeDispatch(_ context.Context, _ *Call, attempt units.Attempt, _ units.Upstream) error {
	if rapid.IntRange(0, 9).Draw(s.t, "record fails") == 0 {
		return &Refusal{
			Status:   http.StatusServiceUnavailable,
			Kind:     ProblemUnready,
			Executed: ExecutedNo,
		}
	}
	s.recordedAttempt = attempt
	return nil
}

func (s *simulation) Finish(_ context.Context, _ *Call, _ *Answer, refusal *Refusal) *Refusal {
	s.finished++
	return refusal
}

func (s *simulation) Pick(_ *Call, tried []units.Upstream) *tracker.Upstream {
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

func (s *simulation) PickRelease(call *Call, _ units.Release, tried []units.Upstream) (*tracker.Upstream, bool) {
	return s.Pick(call, tried), false
}

func (s *simulation) PickAgain(_ *Call, _ units.Release, ran, tried []units.Upstream) (*tracker.Upstream, bool) {
	for _, name := range ran {
		if !slices.Contains(tried, name) {
			return &tracker.Upstream{
				Name:  name,
				Local: &tracker.LocalState{},
			}, false
		}
	}
	return nil, false
}

func (s *simulation) Exchange(ctx context.Context, call *Call, attempt units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	s.exchanges++
	if s.recordedAttempt != attempt {
		s.t.Fatalf("attempt %d: got an exchange with attempt %d as the last recorded, want the attempt recorded first", attempt, s.recordedAttempt)
	}
	if s.mayHaveRun && !call.Repeatable {
		s.t.Fatalf("attempt %d: got another attempt of a non-repeatable call that may have run, want none", attempt)
	}
	kinds := []ResultKind{Answered, NotRun, OutcomeUnknown}
	if call.Stream {
		kinds = append(kinds, Moved, Unresumable)
	}
	kind := rapid.SampledFrom(kinds).Draw(s.t, "result")
	s.mayHaveRun = s.mayHaveRun || kind != NotRun
	if kind != NotRun && call.Stream && rapid.Bool().Draw(s.t, "tokens") {
		_ = stream.Begin(nil, upstream, "1")
		_ = stream.Event(stream.Offset()+1, nil, nil)
	}
	if rapid.IntRange(0, 9).Draw(s.t, "late") == 0 {
		<-ctx.Done()
	}
	result := Result{Kind: kind}
	if kind == Answered && !call.Stream {
		result.Answer = &Answer{Status: http.StatusOK}
	}
	if kind == Moved && rapid.Bool().Draw(s.t, "target") {
		result.MoveTarget = s.Pick(call, []units.Upstream{upstream.Name})
	}
	return result
}

// sink counts the answers that are written.
type sink struct{ sim *simulation }

func (s sink) Answer(*Answer) error {
	s.sim.answers++
	return nil
}
func (sink) Begin(http.Header) error          { return nil }
func (sink) Event(units.Tokens, []byte) error { return nil }
func (sink) End() error                       { return nil }

// Exchanges are refused, lost, late, moved or broken in any order, and the recorder fails
// between them. A non-repeatable call that may have run must not run again, a refusal
// must say `executed: no` only if no exchange can have run the call, and each call must
// finish exactly once.
func TestNoCallRunsTwiceOrIsFalselyReportedNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			t: t,
			call: &Call{
				ID:         "call-1",
				Deadline:   time.Now().Add(shortDeadline),
				Repeatable: rapid.Bool().Draw(t, "repeatable"),
			},
		}
		sim.call.Stream = sim.call.Repeatable && rapid.Bool().Draw(t, "stream")
		d := &Dispatcher{
			Limiter:   sim,
			Recorder:  sim,
			Router:    sim,
			Exchanger: sim,
		}
		err := d.Do(context.Background(), sim.call, sink{sim: sim})
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Executed == ExecutedNo && sim.mayHaveRun {
			t.Fatalf("refusal %v: got executed no after an exchange that may have run the call, want unknown", refusal)
		}
		if err != nil && refusal == nil {
			t.Fatalf("error: got %v, want none or a refusal", err)
		}
		if got, want := sim.finished, 1; got != want {
			t.Fatalf("calls of Finish: got %d, want %d", got, want)
		}
		if got, want := sim.answers, 1; !sim.call.Stream && err == nil && got != want {
			t.Fatalf("answers: got %d, want %d", got, want)
		}
		if got, limit := sim.exchanges, 200; got > limit {
			t.Fatalf("exchanges: got %d, want at most %d", got, limit)
		}
	})
}

// All upstreams are gone for a while after a stream has started, as when many instances
// are reclaimed at once. The caller has part of the answer, so the stream must wait for
// an upstream instead of ending.
func TestStartedStreamWaitsForAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		d := &Dispatcher{
			Limiter:   &outageFleet{},
			Recorder:  &outageFleet{},
			Router:    &outageFleet{},
			Exchanger: &outageFleet{recoveredAt: startedAt.Add(5 * time.Second)},
		}
		d.Router = d.Exchanger.(*outageFleet)
		call := &Call{
			ID:         "call-1",
			Deadline:   startedAt.Add(time.Minute),
			Repeatable: true,
			Stream:     true,
		}
		sim := &simulation{call: call}
		if err := d.Do(t.Context(), call, sink{sim: sim}); err != nil {
			t.Errorf("stream: got %v, want it complete", err)
		}
	})
}

// outageFleet is a fleet whose upstreams are all gone from the first token until recoveredAt.
type outageFleet struct {
	simulation
	recoveredAt    time.Time
	firstTokenSent bool
}

func (o *outageFleet) BeforeDispatch(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

func (o *outageFleet) Pick(call *Call, tried []units.Upstream) *tracker.Upstream {
	if o.firstTokenSent && time.Now().Before(o.recoveredAt) {
		return nil
	}
	return o.simulation.Pick(call, tried)
}

func (o *outageFleet) PickRelease(call *Call, _ units.Release, tried []units.Upstream) (*tracker.Upstream, bool) {
	return o.Pick(call, tried), false
}

func (o *outageFleet) Exchange(_ context.Context, _ *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	if o.firstTokenSent {
		return Result{Kind: Answered}
	}
	o.firstTokenSent = true
	_ = stream.Begin(nil, upstream, "1")
	_ = stream.Event(1, nil, nil)
	return Result{Kind: OutcomeUnknown}
}
