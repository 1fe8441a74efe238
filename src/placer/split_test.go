package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

// newRolloutPlacer returns a placer with ten upstreams of each of two versions.
func newRolloutPlacer(split Split) *Placer {
	p := &Placer{
		Now:         time.Now,
		MaxInFlight: func(*tracker.Upstream) int { return 1000 },
		Random:      rand.New(rand.NewPCG(1, 2)),
		Split:       func(units.Service) (Split, bool) { return split, true },
	}
	var candidates []*Candidate
	for i := range 10 {
		for _, release := range []units.Release{"v1", "v2"} {
			candidates = append(candidates, p.NewCandidate(&tracker.Upstream{
				Name:    units.Upstream(fmt.Sprintf("%s-%d", release, i)),
				Service: "s",
				Release: release,
				Slots:   8,
				Local:   &tracker.LocalState{},
			}, false, false))
		}
	}
	fleet := Fleet{"s": candidates}
	p.Fleet = func() Fleet { return fleet }
	return p
}

// Guards against a version that gets more calls than its share, and against a share that is
// spread over so many upstreams that none of them is under load.
func TestTrafficSplit(t *testing.T) {
	cases := map[string]struct {
		split              Split
		tried              []units.Upstream
		minShare, maxShare float64
		maxUpstreams       int
	}{
		"no share":                    {split: Split{Target: "v2"}},
		"a small share":               {split: Split{Target: "v2", Share: 0.15}, minShare: 0.12, maxShare: 0.18, maxUpstreams: 2},
		"a retry":                     {split: Split{Target: "v2", Share: 0.15}, tried: []units.Upstream{"v1-0"}},
		"all calls":                   {split: Split{Target: "v2", Share: 1}, minShare: 1, maxShare: 1, maxUpstreams: 10},
		"all retries":                 {split: Split{Target: "v2", Share: 1}, tried: []units.Upstream{"v1-0"}, minShare: 1, maxShare: 1, maxUpstreams: 10},
		"completed":                   {split: Split{Target: "v2", TargetOnly: true}, minShare: 1, maxShare: 1, maxUpstreams: 10},
		"target without upstreams":    {split: Split{Target: "v3", Share: 1}, minShare: 0.4, maxShare: 0.6, maxUpstreams: 10},
		"completed without upstreams": {split: Split{Target: "v3", TargetOnly: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newRolloutPlacer(c.split)
			const calls = 2000
			at := make(map[units.Upstream]int)
			target := 0
			for range calls {
				u := p.Pick(&dispatcher.Call{Service: "s"}, c.tried)
				if u == nil {
					continue
				}
				if u.Release == "v2" {
					target++
					at[u.Name]++
				}
			}
			if got := float64(target) / calls; got < c.minShare || got > c.maxShare {
				t.Errorf("share of calls at the target version: got %.3f, want from %.2f to %.2f", got, c.minShare, c.maxShare)
			}
			if got := len(at); got > c.maxUpstreams {
				t.Errorf("upstreams of the target version in use: got %d, want at most %d", got, c.maxUpstreams)
			}
		})
	}
}

// Guards against calls that are refused although the other version accepts them, because all
// upstreams that the target's share goes to have asked for a back-off.
func TestOtherVersionTakesOverDuringBackoffs(t *testing.T) {
	cases := map[string]struct {
		split Split
		want  units.Release
	}{
		"a small share": {split: Split{Target: "v2", Share: 0.15}, want: "v1"},
		"all calls":     {split: Split{Target: "v2", Share: 1}, want: "v1"},
		"completed":     {split: Split{Target: "v2", TargetOnly: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newRolloutPlacer(c.split)
			w := &withholder.Withholder{}
			for i := range 10 {
				w.RecordBackoff(p.Now(), incarnationOf(units.Upstream(fmt.Sprintf("v2-%d", i))), time.Hour)
			}
			p.Withholder = w
			for range 200 {
				got := units.Release("")
				if u := p.Pick(&dispatcher.Call{Service: "s"}, nil); u != nil {
					got = u.Release
				}
				if got != c.want {
					t.Fatalf("version: got %q, want %q", got, c.want)
				}
			}
		})
	}
}
