package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// rolledOut returns a placer with ten upstreams of each of two versions.
func rolledOut(split Split) *Placer {
	p := &Placer{
		Now:       time.Now,
		MostCalls: func(*tracker.Upstream) int { return 1000 },
		Random:    rand.New(rand.NewPCG(1, 2)),
		Split:     func(units.Service) (Split, bool) { return split, true },
	}
	var candidates []*Candidate
	for i := range 10 {
		for _, release := range []units.Release{"v1", "v2"} {
			candidates = append(candidates, p.Candidate(&tracker.Upstream{
				Name:    units.Upstream(fmt.Sprintf("%s-%d", release, i)),
				Service: "s",
				Release: release,
				Slots:   8,
				Live:    &tracker.Live{},
			}, false, false))
		}
	}
	fleet := Fleet{"s": candidates}
	p.Fleet = func() Fleet { return fleet }
	return p
}

// Guards against a version that gets more calls than its share, or spreads them so thin that
// it is never under load.
func TestShareOfAVersion(t *testing.T) {
	cases := map[string]struct {
		split         Split
		tried         []units.Upstream
		least, most   float64
		mostUpstreams int
	}{
		"no share":              {split: Split{Target: "v2"}},
		"a small share":         {split: Split{Target: "v2", Share: 0.15}, least: 0.12, most: 0.18, mostUpstreams: 2},
		"a further attempt":     {split: Split{Target: "v2", Share: 0.15}, tried: []units.Upstream{"v1-0"}},
		"all calls":             {split: Split{Target: "v2", Share: 1}, least: 1, most: 1, mostUpstreams: 10},
		"all further attempts":  {split: Split{Target: "v2", Share: 1}, tried: []units.Upstream{"v1-0"}, least: 1, most: 1, mostUpstreams: 10},
		"completed":             {split: Split{Target: "v2", Only: true}, least: 1, most: 1, mostUpstreams: 10},
		"a target without any":  {split: Split{Target: "v3", Share: 1}, least: 0.4, most: 0.6, mostUpstreams: 10},
		"completed without any": {split: Split{Target: "v3", Only: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := rolledOut(c.split)
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
			if got := float64(target) / calls; got < c.least || got > c.most {
				t.Errorf("share of the target: got %.3f, want from %.2f to %.2f", got, c.least, c.most)
			}
			if got := len(at); got > c.mostUpstreams {
				t.Errorf("upstreams of the target: got %d, want at most %d", got, c.mostUpstreams)
			}
		})
	}
}
