package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// fleetSize is the number of upstreams that a call may be sent to.
const fleetSize = 7

// runningFleet is a fleet whose upstreams lose calls, serve on, end, or start again. It draws every outcome.
type runningFleet struct {
	t *rapid.T
	// incarnations are the current ones by upstream, 0 for one that has ended.
	incarnations [fleetSize]units.Incarnation
	// ran are the incarnations that may have run the call.
	ran map[upstreamIncarnation]bool
}

func newRunningFleet(t *rapid.T) *runningFleet {
	f := &runningFleet{
		t:   t,
		ran: make(map[upstreamIncarnation]bool),
	}
	for i := range f.incarnations {
		f.incarnations[i] = 1
	}
	return f
}

func nameOf(i int) units.Upstream { return units.Upstream(fmt.Sprint(i)) }

// incarnation returns the current incarnation of an upstream.
func (f *runningFleet) incarnation(name units.Upstream) units.Incarnation {
	for i := range f.incarnations {
		if nameOf(i) == name {
			return f.incarnations[i]
		}
	}
	return 0
}

// serving returns how many upstreams that may have run the call have not ended.
func (f *runningFleet) serving() int {
	count := 0
	for run := range f.ran {
		if f.incarnation(run.name) == run.incarnation {
			count++
		}
	}
	return count
}

// end ends an upstream, which may start again.
func (f *runningFleet) end(name units.Upstream) {
	for i := range f.incarnations {
		if nameOf(i) != name {
			continue
		}
		next := f.incarnations[i] + 1
		f.incarnations[i] = 0
		if rapid.Bool().Draw(f.t, "starts again") {
			f.incarnations[i] = next
		}
	}
}

// hasEnded reports whether an upstream has ended, which it may not know yet.
func (f *runningFleet) hasEnded(_ context.Context, upstream *tracker.Upstream) bool {
	return f.incarnation(upstream.Name) != upstream.Incarnation && rapid.IntRange(0, 3).Draw(f.t, "knows the end") > 0
}

func (f *runningFleet) Admit(context.Context, *Call) (func(), error) { return func() {}, nil }

func (f *runningFleet) Begin(context.Context, *Call) (*Answer, error) { return nil, nil }

func (f *runningFleet) BeforeDispatch(context.Context, *Call, units.Attempt, units.Upstream) error {
	if rapid.IntRange(0, 19).Draw(f.t, "record fails") == 0 {
		return &Refusal{
			Status:   http.StatusServiceUnavailable,
			Kind:     ProblemUnready,
			Executed: ExecutedNo,
		}
	}
	return nil
}

func (f *runningFleet) Finish(_ context.Context, _ *Call, _ *Answer, refusal *Refusal) *Refusal {
	return refusal
}

// choose returns one of the upstreams that are left.
func (f *runningFleet) choose(tried, only []units.Upstream) *tracker.Upstream {
	var left []int
	for i := range f.incarnations {
		if f.incarnations[i] > 0 && !slices.Contains(tried, nameOf(i)) && (len(only) == 0 || slices.Contains(only, nameOf(i))) {
			left = append(left, i)
		}
	}
	if len(left) == 0 {
		return nil
	}
	i := rapid.SampledFrom(left).Draw(f.t, "upstream")
	return &tracker.Upstream{
		Name:        nameOf(i),
		Incarnation: f.incarnations[i],
		Local:       &tracker.LocalState{},
	}
}

func (f *runningFleet) Pick(_ *Call, tried []units.Upstream) *tracker.Upstream {
	return f.choose(tried, nil)
}

func (f *runningFleet) PickRelease(_ *Call, _ units.Release, tried []units.Upstream) (*tracker.Upstream, bool) {
	return f.choose(tried, nil), false
}

func (f *runningFleet) PickAgain(_ *Call, _ units.Release, ran, tried []units.Upstream) (*tracker.Upstream, bool) {
	return f.choose(tried, ran), false
}

func (f *runningFleet) Exchange(_ context.Context, call *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	kinds := []ResultKind{NotRun, OutcomeUnknown, OutcomeUnknown, Failed}
	if call.Stream {
		kinds = append(kinds, Moved, OutcomeUnknown, OutcomeUnknown)
	}
	result := Result{Kind: rapid.SampledFrom(kinds).Draw(f.t, "result")}
	switch result.Kind {
	case NotRun:
		result.Unsent = rapid.Bool().Draw(f.t, "unsent")
		result.ConnectFailed = result.Unsent
		result.NoPath = result.Unsent && rapid.IntRange(0, 9).Draw(f.t, "no path") == 0
	case Failed:
		result.Answer = &Answer{Status: http.StatusInternalServerError}
	case Moved:
		if rapid.Bool().Draw(f.t, "target") {
			result.MoveTarget = f.choose([]units.Upstream{upstream.Name}, nil)
		}
	case Answered, OutcomeUnknown, CallerGone, Unresumable:
	}
	if rapid.Bool().Draw(f.t, "relayed") {
		result.Through = "another-entry"
	}
	// An attempt that breaks off after an earlier connection of its own brought events has run.
	events := call.Stream && result.Kind != Failed && rapid.Bool().Draw(f.t, "events")
	if result.Kind != NotRun || events {
		f.ran[upstreamIncarnation{
			name:        upstream.Name,
			incarnation: upstream.Incarnation,
		}] = true
	}
	if events {
		_ = stream.Begin(nil, upstream, "1")
		_ = stream.Event(stream.Offset()+1, nil, nil)
	}
	if rapid.Bool().Draw(f.t, "ends") {
		f.end(upstream.Name)
	}
	return result
}

// Guards against calls of any kind that run on more upstreams than their route allows, by any way on and any order of
// outcomes; upstreams that have ended do not count.
func TestCallsRunOnNoMoreUpstreamsThanAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// In a bubble, t has no deadline to ask for.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			f := newRunningFleet(t)
			call := &Call{
				ID:           "call-1",
				Deadline:     time.Now().Add(time.Minute),
				MaxAttempts:  rapid.IntRange(1, fleetSize).Draw(t, "max attempts"),
				Repeatable:   rapid.IntRange(0, 3).Draw(t, "repeatable") > 0,
				Stream:       rapid.IntRange(0, 3).Draw(t, "stream") > 0,
				HasCallerKey: rapid.Bool().Draw(t, "key"),
				Adopted:      rapid.Bool().Draw(t, "adopted"),
			}
			if call.Stream && rapid.Bool().Draw(t, "resumes") {
				call.ResumeOffset = 5
			}
			d := &Dispatcher{
				Limiter:   f,
				Recorder:  f,
				Router:    f,
				Exchanger: f,
				HasEnded:  f.hasEnded,
			}
			err := d.Do(context.Background(), call, sink{sim: &simulation{call: call}})
			var refusal *Refusal
			if err != nil && !errors.As(err, &refusal) {
				t.Fatalf("error: got %v, want none or a refusal", err)
			}
			if got, limit := f.serving(), call.MaxAttempts; got > limit {
				t.Fatalf("upstreams that may have run the call and have not ended: got %d, want at most %d", got, limit)
			}
		})
	})
}

// losingFleet loses each attempt after one event, until the last one completes the stream.
type losingFleet struct {
	simulation
	// attempts are the upstreams of the attempts.
	attempts []units.Upstream
	// lossesLeft is how many further attempts are lost.
	lossesLeft int
	// refuses is set if upstreams refuse calls that they have run.
	refuses bool
}

func (f *losingFleet) BeforeDispatch(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

// PickAgain prefers the latest upstream that ran.
func (f *losingFleet) PickAgain(call *Call, release units.Release, ran, tried []units.Upstream) (*tracker.Upstream, bool) {
	latestFirst := slices.Clone(ran)
	slices.Reverse(latestFirst)
	return f.simulation.PickAgain(call, release, latestFirst, tried)
}

func (f *losingFleet) Exchange(_ context.Context, _ *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	if f.refuses && slices.Contains(f.attempts, upstream.Name) {
		f.attempts = append(f.attempts, upstream.Name)
		return Result{Kind: NotRun}
	}
	f.attempts = append(f.attempts, upstream.Name)
	_ = stream.Begin(nil, upstream, "1")
	_ = stream.Event(stream.Offset()+1, nil, nil)
	if f.lossesLeft == 0 {
		return Result{Kind: Answered}
	}
	f.lossesLeft--
	return Result{Kind: OutcomeUnknown}
}

// Guards against streams that end although they may go on: elsewhere where the upstreams that they lost have ended, else
// where they have run before.
func TestStreamsGoOnWithinTheirLimit(t *testing.T) {
	scenarios := map[string]struct {
		maxAttempts  int
		losses       int
		ends         bool
		refuses      bool
		want         []units.Upstream
		wantComplete bool
	}{
		"one attempt, upstreams end":                {maxAttempts: 1, losses: 3, ends: true, want: []units.Upstream{"0", "1", "2", "3"}, wantComplete: true},
		"two attempts, upstreams end":               {maxAttempts: 2, losses: 3, ends: true, want: []units.Upstream{"0", "1", "2", "3"}, wantComplete: true},
		"one attempt, upstreams serve on":           {maxAttempts: 1, losses: 3, want: []units.Upstream{"0", "0", "0", "0"}, wantComplete: true},
		"two attempts, upstreams serve on":          {maxAttempts: 2, losses: 3, want: []units.Upstream{"0", "1", "0", "1"}, wantComplete: true},
		"five attempts, upstreams serve on":         {maxAttempts: 5, losses: 4, want: []units.Upstream{"0", "1", "2", "3", "4"}, wantComplete: true},
		"no limit":                                  {losses: 4, want: []units.Upstream{"0", "1", "2", "3", "4"}, wantComplete: true},
		"two attempts, lost too often":              {maxAttempts: 2, losses: 4, want: []units.Upstream{"0", "1", "0", "1"}},
		"two attempts, refused where they have run": {maxAttempts: 2, losses: 2, refuses: true, want: []units.Upstream{"0", "1", "0", "1"}},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &losingFleet{
					lossesLeft: scenario.losses,
					refuses:    scenario.refuses,
				}
				call := &Call{
					ID:          "call-1",
					Deadline:    time.Now().Add(time.Minute),
					MaxAttempts: scenario.maxAttempts,
					Repeatable:  true,
					Stream:      true,
				}
				d := &Dispatcher{
					Limiter:   f,
					Recorder:  f,
					Router:    f,
					Exchanger: f,
					HasEnded:  func(context.Context, *tracker.Upstream) bool { return scenario.ends },
				}
				startedAt := time.Now()
				err := d.Do(t.Context(), call, sink{sim: &f.simulation})
				if got, want := err == nil, scenario.wantComplete; got != want {
					t.Errorf("complete: got %t (%v), want %t", got, err, want)
				}
				if got, want := f.attempts, scenario.want; !slices.Equal(got, want) {
					t.Errorf("upstreams of the attempts: got %v, want %v", got, want)
				}
				if got, limit := time.Since(startedAt), time.Second; got > limit {
					t.Errorf("time until the end: got %v, want at most %v, as nothing is waited for", got, limit)
				}
			})
		})
	}
}
