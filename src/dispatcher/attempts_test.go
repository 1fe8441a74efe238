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
	// exchanges counts the attempts.
	exchanges int
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

func (f *runningFleet) Exchange(_ context.Context, call *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	f.exchanges++
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
