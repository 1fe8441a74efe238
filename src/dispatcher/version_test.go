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

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// versionedFleet is a fleet of upstreams of several versions, whose exchanges end in any way.
type versionedFleet struct {
	simulation
	upstreams []*tracker.Upstream
	// releases are the versions whose events the caller has, in order.
	releases []units.Release
}

func newVersionedFleet(t *rapid.T) *versionedFleet {
	f := &versionedFleet{simulation: simulation{t: t}}
	for i := range rapid.IntRange(1, 5).Draw(t, "upstreams") {
		f.upstreams = append(f.upstreams, &tracker.Upstream{
			Name:    units.Upstream(fmt.Sprint(i)),
			Release: rapid.SampledFrom([]units.Release{"", "v1", "v2"}).Draw(t, "release"),
			Local:   &tracker.LocalState{},
		})
	}
	return f
}

func (f *versionedFleet) BeforeDispatch(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

func (f *versionedFleet) pick(tried []units.Upstream, fits func(*tracker.Upstream) bool) *tracker.Upstream {
	for _, u := range f.upstreams {
		if fits(u) && !slices.Contains(tried, u.Name) {
			return u
		}
	}
	return nil
}

func (f *versionedFleet) Pick(_ *Call, tried []units.Upstream) *tracker.Upstream {
	return f.pick(tried, func(*tracker.Upstream) bool { return true })
}

func (f *versionedFleet) PickRelease(_ *Call, release units.Release, tried []units.Upstream) (*tracker.Upstream, bool) {
	same := func(u *tracker.Upstream) bool { return u.Release == release }
	return f.pick(tried, same), !slices.ContainsFunc(f.upstreams, same)
}

func (f *versionedFleet) Exchange(_ context.Context, _ *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	kind := rapid.SampledFrom([]ResultKind{Answered, NotRun, OutcomeUnknown, Moved}).Draw(f.t, "result")
	release := upstream.Release
	if _, isBound := stream.Release(); !isBound {
		isDoubted := rapid.Bool().Draw(f.t, "doubted")
		if stream.SetDoubted(isDoubted); isDoubted {
			release = "another"
		}
	}
	if kind != NotRun && rapid.Bool().Draw(f.t, "begins") {
		if err := stream.Begin(nil, upstream, "1"); err != nil {
			f.t.Fatalf("attempt at version %q: got %v, want a version that continues the stream", upstream.Release, err)
		}
		for range rapid.IntRange(0, 2).Draw(f.t, "events") {
			f.releases = append(f.releases, release)
			_ = stream.Event(stream.Offset()+1, nil, nil)
		}
	}
	result := Result{Kind: kind}
	if kind == Moved {
		result.MoveTarget = rapid.SampledFrom(f.upstreams).Draw(f.t, "target")
	}
	return result
}

// Guards against streams that hold output of two software versions, within one answer or continued by a
// caller, whatever happens to their upstreams and wherever they are moved.
func TestStreamsHoldOneVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newVersionedFleet(t)
		call := &Call{
			ID:         "c",
			Stream:     true,
			Repeatable: true,
			Deadline:   time.Now().Add(shortDeadline),
		}
		if rapid.Bool().Draw(t, "resumes") {
			call.ResumeOffset = 3
			call.Origin = &binder.Origin{Release: rapid.SampledFrom([]units.Release{"", "v1", "v2"}).Draw(t, "began")}
			fleet.releases = append(fleet.releases, call.Origin.Release)
		}
		d := &Dispatcher{
			Limiter:   fleet,
			Recorder:  fleet,
			Router:    fleet,
			Exchanger: fleet,
		}
		_ = d.Do(context.Background(), call, sink{sim: &fleet.simulation})
		if found := slices.Compact(slices.Clone(fleet.releases)); len(found) > 1 {
			t.Fatalf("versions of the stream's events: got %q, want one", fleet.releases)
		}
	})
}

// Guards against a stream that waits until its deadline, or is said to have run, although no upstream of its
// version is left.
func TestStreamOfAVersionThatIsGoneIsRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		releases []units.Release
		// ran is set if an attempt of this call has brought events.
		ran  bool
		want ProblemKind
	}{
		"other versions are left":            {releases: []units.Release{"v2"}, want: ProblemVersionGone},
		"other versions are left, after ran": {releases: []units.Release{"v2"}, ran: true, want: ProblemVersionGone},
		"none is left":                       {want: ProblemDeadline},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &goneFleet{began: !c.ran}
				for _, release := range c.releases {
					fleet.left = append(fleet.left, &tracker.Upstream{Name: "left", Release: release, Local: &tracker.LocalState{}})
				}
				const timeout = 5 * time.Second
				call := &Call{Stream: true, Repeatable: true, Deadline: time.Now().Add(timeout)}
				if !c.ran {
					call.ResumeOffset = 3
					call.Origin = &binder.Origin{Release: "v1"}
				}
				startedAt := time.Now()
				d := &Dispatcher{Limiter: fleet, Recorder: fleet, Router: fleet, Exchanger: fleet}
				err := d.Do(t.Context(), call, noSink{})
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Kind != c.want {
					t.Fatalf("got %v, want %s", err, c.want)
				}
				wantExecuted := ExecutedNo
				if c.ran {
					wantExecuted = ExecutedUnknown
				}
				if refusal.Executed != wantExecuted {
					t.Errorf("executed: got %s, want %s", refusal.Executed, wantExecuted)
				}
				if took := time.Since(startedAt); c.want == ProblemVersionGone && took > 0 {
					t.Errorf("refused after %v, want at once", took)
				}
				if c.want == ProblemVersionGone && refusal.Status != http.StatusServiceUnavailable {
					t.Errorf("status: got %d, want %d", refusal.Status, http.StatusServiceUnavailable)
				}
			})
		})
	}
}

// goneFleet has one upstream of v1, which is gone once it has begun a stream, and others.
type goneFleet struct {
	refusingUpstreams
	began bool
	left  []*tracker.Upstream
}

func (g *goneFleet) Pick(*Call, []units.Upstream) *tracker.Upstream {
	return &tracker.Upstream{Name: "first", Release: "v1", Local: &tracker.LocalState{}}
}

func (g *goneFleet) PickRelease(*Call, units.Release, []units.Upstream) (*tracker.Upstream, bool) {
	return nil, len(g.left) > 0
}

func (g *goneFleet) Exchange(_ context.Context, _ *Call, _ units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	g.began = true
	_ = stream.Begin(nil, upstream, "1")
	_ = stream.Event(1, nil, nil)
	return Result{Kind: OutcomeUnknown}
}
