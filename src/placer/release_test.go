package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// newReleaseFixture returns a placer with two upstreams of each of two versions.
func newReleaseFixture(split *Split) *fixture {
	f := newFixture(0)
	for _, release := range []units.Release{"v1", "v2"} {
		for i := range 2 {
			f.fleet["s"] = append(f.fleet["s"], f.NewCandidate(&tracker.Upstream{
				Name:    units.Upstream(fmt.Sprintf("%s-%d", release, i)),
				Service: "s",
				Release: release,
				Slots:   8,
				Local:   &tracker.LocalState{},
			}, false, false))
		}
	}
	if split != nil {
		f.Split = func(units.Service) (Split, bool) { return *split, true }
	}
	return f
}

// Guards against a stream that goes on at another version, at one that takes no calls, or not at all though
// an upstream of its version takes it.
func TestPickRelease(t *testing.T) {
	cases := map[string]struct {
		split   *Split
		change  func(f *fixture)
		release units.Release
		tried   []units.Upstream
		want    bool
		gone    bool
	}{
		"of two versions":                     {release: "v2", want: true},
		"one was tried":                       {release: "v2", tried: []units.Upstream{"v2-0"}, want: true},
		"both were tried":                     {release: "v2", tried: []units.Upstream{"v2-0", "v2-1"}},
		"a version that is gone":              {release: "v0", gone: true},
		"no version was stated":               {release: "", gone: true},
		"no upstream at all":                  {release: "v2", change: func(f *fixture) { f.fleet["s"] = nil }},
		"silent ones":                         {release: "v2", change: func(f *fixture) { f.silence(2, 3) }},
		"one is silent":                       {release: "v2", change: func(f *fixture) { f.silence(2) }, want: true},
		"the target of a roll-out":            {split: &Split{Target: "v2", Share: 0.1, Evaluated: true}, release: "v2", want: true},
		"the others in a roll-out":            {split: &Split{Target: "v2", Share: 0.1, Evaluated: true}, release: "v1", want: true},
		"the target while no leader is known": {split: &Split{Target: "v2", Evaluated: true}, release: "v2"},
		"the target after it was taken back":  {split: &Split{Target: "v2"}, release: "v2", gone: true},
		"the others once it is completed":     {split: &Split{Target: "v2", TargetOnly: true}, release: "v1", gone: true},
		"the target once it is completed":     {split: &Split{Target: "v2", TargetOnly: true}, release: "v2", want: true},
		"some may have changed":               {release: "v2", change: func(f *fixture) { f.mayHaveChanged("v2-0") }, want: true},
		"all of it may have changed":          {release: "v2", change: func(f *fixture) { f.mayHaveChanged("v2-0", "v2-1") }},
		"all of the service may have changed": {
			release: "v2", change: func(f *fixture) { f.mayHaveChanged("v1-0", "v1-1", "v2-0", "v2-1") },
		},
		"all may have changed, but are relayed": {
			release: "v2", want: true,
			change: func(f *fixture) {
				f.mayHaveChanged("v1-0", "v1-1", "v2-0", "v2-1")
				f.IsRelayed = func(*tracker.Upstream, units.IncarnationID) bool { return true }
			},
		},
		"all of the only version may have changed": {
			release: "v2",
			change: func(f *fixture) {
				f.fleet["s"] = f.fleet["s"][2:]
				f.mayHaveChanged("v2-0", "v2-1")
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newReleaseFixture(c.split)
			if c.change != nil {
				c.change(f)
			}
			for range 50 {
				u, gone := f.PickRelease(&dispatcher.Call{Service: "s", Stream: true, Repeatable: true}, c.release, c.tried)
				if (u != nil) != c.want || gone != c.gone {
					t.Fatalf("upstream: got %v, gone %t, want one %t, gone %t", u, gone, c.want, c.gone)
				}
				if u != nil && u.Release != c.release {
					t.Fatalf("version: got %q, want %q", u.Release, c.release)
				}
				if u != nil && name == "some may have changed" && u.Name == "v2-0" {
					t.Fatal("got an upstream that may run another version, want the other one")
				}
			}
		})
	}
}

// Guards against new streams at an upstream that may run another version than is recorded for them, and
// against calls without a stream that are kept from it.
func TestNewStreamsAvoidUpstreamsThatMayHaveChanged(t *testing.T) {
	f := newReleaseFixture(nil)
	f.mayHaveChanged("v1-0", "v1-1", "v2-0")
	used := make(map[units.Upstream]bool)
	for range 200 {
		if got := f.Pick(&dispatcher.Call{Service: "s", Stream: true, Repeatable: true}, nil); got.Name != "v2-1" {
			t.Fatalf("stream: got %s, want v2-1", got.Name)
		}
		used[f.Pick(&dispatcher.Call{Service: "s"}, nil).Name] = true
	}
	if len(used) != 4 {
		t.Errorf("upstreams of calls without a stream: got %d, want all 4", len(used))
	}
}

// Guards against upstreams that get no calls for seconds after they were silent for one, though a stream that cannot be
// resumed, or an answer without one, may come from any version.
func TestOtherCallsDoNotAvoidUncertainVersions(t *testing.T) {
	for name, call := range map[string]dispatcher.Call{
		"answer":                           {Service: "s", Repeatable: true},
		"stream that goes on nowhere else": {Service: "s", Stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReleaseFixture(nil)
			f.mayHaveChanged("v1-0", "v1-1", "v2-0")
			used := make(map[units.Upstream]bool)
			for range 200 {
				used[f.Pick(&call, nil).Name] = true
			}
			if len(used) != 4 {
				t.Errorf("upstreams: got %d, want all 4", len(used))
			}
		})
	}
}

// silence makes control hear no more of some upstreams.
func (f *fixture) silence(indexes ...int) {
	for _, i := range indexes {
		f.fleet["s"][i].Silent = true
	}
}

func (f *fixture) mayHaveChanged(names ...units.Upstream) {
	changed := make(map[units.Upstream]bool)
	for _, name := range names {
		changed[name] = true
	}
	f.MayHaveChanged = func(_ time.Time, u *tracker.Upstream, _ units.IncarnationID) bool { return changed[u.Name] }
}

// Guards against a stream at its limit of attempts that goes on where it has not run.
func TestPickAgainKeepsToTheUpstreamsThatRan(t *testing.T) {
	cases := map[string]struct {
		ran, tried []units.Upstream
		want       units.Upstream
		gone       bool
		release    units.Release
	}{
		"one of two":           {release: "v2", ran: []units.Upstream{"v2-1"}, want: "v2-1"},
		"the other was tried":  {release: "v2", ran: []units.Upstream{"v2-0", "v2-1"}, tried: []units.Upstream{"v2-0"}, want: "v2-1"},
		"all were tried":       {release: "v2", ran: []units.Upstream{"v2-1"}, tried: []units.Upstream{"v2-1"}},
		"it is not known":      {release: "v2", ran: []units.Upstream{"v2-7"}},
		"of another version":   {release: "v2", ran: []units.Upstream{"v1-0"}},
		"the version has gone": {release: "v0", ran: []units.Upstream{"v0-0"}, gone: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newReleaseFixture(nil)
			upstream, gone := f.PickAgain(&dispatcher.Call{Service: "s", Stream: true, Repeatable: true}, c.release, c.ran, c.tried)
			var got units.Upstream
			if upstream != nil {
				got = upstream.Name
			}
			if got != c.want || gone != c.gone {
				t.Errorf("upstream: got %q, gone %t, want %q, gone %t", got, gone, c.want, c.gone)
			}
		})
	}
}
