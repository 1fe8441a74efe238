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

// refusingUpstreams implements every interface that a dispatcher uses; its upstreams refuse
// every call.
type refusingUpstreams struct {
	attempts int
	budget   int
	earned   int
	// unsent is how many attempts fail to connect before the first is received.
	unsent int
}

func (r *refusingUpstreams) Admit(context.Context, *Call) (func(), error) { return func() {}, nil }

func (r *refusingUpstreams) Begin(context.Context, *Call) (*Answer, error) { return nil, nil }

func (r *refusingUpstreams) BeforeDispatch(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

func (r *refusingUpstreams) Finish(_ context.Context, _ *Call, _ *Answer, refusal *Refusal) *Refusal {
	return refusal
}

func (r *refusingUpstreams) Pick(*Call, []units.Upstream) *tracker.Upstream {
	return &tracker.Upstream{Name: "u", Local: &tracker.LocalState{}}
}

func (r *refusingUpstreams) PickRelease(call *Call, _ units.Release, tried []units.Upstream) (*tracker.Upstream, bool) {
	return r.Pick(call, tried), false
}

func (r *refusingUpstreams) PickAgain(*Call, units.Release, []units.Upstream, []units.Upstream) (*tracker.Upstream, bool) {
	return nil, false
}

func (r *refusingUpstreams) Exchange(context.Context, *Call, units.Attempt, *tracker.Upstream, *Stream) Result {
	r.attempts++
	if r.attempts <= r.unsent {
		return Result{Kind: NotRun, ConnectFailed: true, Unsent: true}
	}
	return Result{Kind: NotRun, RetryAfter: 3 * time.Second}
}

func (r *refusingUpstreams) RecordAnswer(units.Service) { r.earned++ }

func (r *refusingUpstreams) AllowRetry(units.Service) bool {
	r.budget--
	return r.budget >= 0
}

func (r *refusingUpstreams) AllowResume(service units.Service) bool { return r.AllowRetry(service) }

type noSink struct{}

func (noSink) Answer(*Answer) error             { return nil }
func (noSink) Begin(http.Header) error          { return nil }
func (noSink) Event(units.Tokens, []byte) error { return nil }
func (noSink) End() error                       { return nil }

// All upstreams refuse. The call must be retried as often as the budget allows, with
// growing backoff, and must then be refused at once: not run, with the longest
// RetryAfter that an upstream asked for.
func TestRetriesEndWithTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &refusingUpstreams{budget: 2}
		d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake, Budget: fake}
		startedAt := time.Now()
		err := d.Do(t.Context(), &Call{Deadline: startedAt.Add(time.Minute)}, noSink{})
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Executed != ExecutedNo || refusal.RetryAfter != 3*time.Second {
			t.Errorf("error: got %v, want a refusal with executed no and retry after 3s", err)
		}
		if got, want := fake.attempts, 3; got != want {
			t.Errorf("attempts: got %d, want %d", got, want)
		}
		if got, minWait, maxWait := time.Since(startedAt), 3*initialBackoff/2, 3*initialBackoff; got < minWait || got > maxWait {
			t.Errorf("total backoff: got %s, want %s to %s", got, minWait, maxWait)
		}
		if fake.earned != 0 {
			t.Errorf("answered calls reported to the budget: got %d, want 0 for a refused call", fake.earned)
		}
	})
}

// Dozens of upstreams end at once, and the entry fails to connect to one after the other.
// None of these attempts is received by an upstream; calls must not be refused because of
// a budget that bounds received attempts. Attempts that are received and refused still
// use the budget.
func TestUnsentAttemptsUseNoBudget(t *testing.T) {
	cases := map[string]struct {
		unsent, budget, want int
	}{
		"no budget left":                  {unsent: 3, want: 4},
		"one attempt in the budget":       {unsent: 2, budget: 1, want: 4},
		"all attempts received":           {budget: 1, want: 2},
		"no upstream accepts connections": {unsent: 100, want: maxFailures},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &refusingUpstreams{budget: c.budget, unsent: c.unsent}
				d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake, Budget: fake}
				err := d.Do(t.Context(), &Call{Deadline: time.Now().Add(time.Minute)}, noSink{})
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Executed != ExecutedNo {
					t.Errorf("error: got %v, want a refusal with executed no", err)
				}
				if got := fake.attempts; got != c.want {
					t.Errorf("attempts: got %d, want %d", got, c.want)
				}
			})
		})
	}
}

// interruptingUpstreams sends one event in each attempt and then fails to reconnect.
type interruptingUpstreams struct {
	refusingUpstreams
}

func (i *interruptingUpstreams) Exchange(_ context.Context, _ *Call, _ units.Attempt, _ *tracker.Upstream, stream *Stream) Result {
	i.attempts++
	_ = stream.Event(units.Tokens(i.attempts), nil, nil)
	return Result{Kind: NotRun, ConnectFailed: true, Unsent: true}
}

// An upstream is killed during a stream, and the same attempt cannot reconnect to it. The
// attempt was received, so the next one must be made and must count against the budget.
// If it were treated as unsent, backoff would be called after zero failures, and the
// negative shift would crash the entry.
func TestAttemptWithEventsCountsAgainstBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &interruptingUpstreams{refusingUpstreams{budget: 3}}
		d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake, Budget: fake}
		err := d.Do(t.Context(), &Call{Deadline: time.Now().Add(time.Minute), Stream: true, Repeatable: true}, noSink{})
		var refusal *Refusal
		if !errors.As(err, &refusal) {
			t.Errorf("error: got %v, want a refusal", err)
		}
		if got, want := fake.attempts, 4; got != want {
			t.Errorf("attempts: got %d, want %d", got, want)
		}
	})
}

// delayedBudget allows no retries, and resumes only from availableAt on.
type delayedBudget struct {
	availableAt time.Time
	requests    int
}

func (d *delayedBudget) RecordAnswer(units.Service) {}

func (d *delayedBudget) AllowRetry(units.Service) bool { return false }

func (d *delayedBudget) AllowResume(units.Service) bool {
	d.requests++
	return !time.Now().Before(d.availableAt)
}

// Many upstreams are lost at once with their streams, and the budget of all entries is
// used up. A stream must wait for the budget and then resume. If no budget becomes
// available within resumeTimeout, the call must be refused, but not as not run.
func TestStreamResumeWaitsForBudget(t *testing.T) {
	cases := map[string]struct {
		availableAfter time.Duration
		wantComplete   bool
	}{
		"available at once":         {availableAfter: 0, wantComplete: true},
		"available in time":         {availableAfter: resumeTimeout / 2, wantComplete: true},
		"available after time-out":  {availableAfter: 2 * resumeTimeout},
		"not within the call's run": {availableAfter: time.Hour},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				budget := &delayedBudget{availableAt: startedAt.Add(c.availableAfter)}
				fleet := &outageFleet{recoveredAt: startedAt}
				d := &Dispatcher{
					Limiter:   fleet,
					Recorder:  fleet,
					Router:    fleet,
					Exchanger: fleet,
					Budget:    budget,
				}
				call := &Call{
					ID:         "call-1",
					Deadline:   startedAt.Add(time.Minute),
					Repeatable: true,
					Stream:     true,
				}
				err := d.Do(t.Context(), call, sink{sim: &simulation{call: call}})
				if got := err == nil; got != c.wantComplete {
					t.Errorf("stream complete: got %t (%v), want %t", got, err, c.wantComplete)
				}
				var refusal *Refusal
				if errors.As(err, &refusal) && refusal.Executed != ExecutedUnknown {
					t.Errorf("refusal: got executed %s, want unknown", refusal.Executed)
				}
				if got, want := time.Since(startedAt), min(c.availableAfter, resumeTimeout)+2*resumePollInterval; got > want {
					t.Errorf("call duration: got %s, want at most %s", got, want)
				}
				if budget.requests == 0 {
					t.Error("budget: got no request to resume, want at least one")
				}
			})
		})
	}
}

// Guards against callers who are told to wait as long as one upstream asked for, although others
// accept calls, and against a wait that is shorter or longer than the back-off of all of them.
func TestRefusalNamesTheBackoffOfAllUpstreams(t *testing.T) {
	cases := map[string]struct {
		left, want time.Duration
	}{
		"an upstream accepts calls": {want: retryAfter},
		"all back off":              {left: 300 * time.Millisecond, want: 300 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &refusingUpstreams{}
				d := &Dispatcher{
					Limiter:     fake,
					Recorder:    fake,
					Router:      fake,
					Exchanger:   fake,
					Budget:      fake,
					BackoffLeft: func(*Call) time.Duration { return c.left },
				}
				startedAt := time.Now()
				err := d.Do(t.Context(), &Call{Deadline: startedAt.Add(time.Minute)}, noSink{})
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Executed != ExecutedNo || refusal.RetryAfter != c.want {
					t.Errorf("error: got %v, want a refusal with executed no and retry after %v", err, c.want)
				}
				if took := time.Since(startedAt); took != 0 {
					t.Errorf("refused after %v, want at once", took)
				}
			})
		})
	}
}
