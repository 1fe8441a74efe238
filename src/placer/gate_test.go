package placer

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// permits is a gate that lets so many calls go to each upstream that has an entry.
type permits struct {
	left   map[units.Life]int
	wanted map[units.Life]int
	// late are upstreams whose last permit is taken between a look and the taking.
	late map[units.Life]bool
}

func (p *permits) Closed(time.Time) map[units.Life]bool {
	closed := make(map[units.Life]bool)
	for life, left := range p.left {
		closed[life] = left <= 0
	}
	return closed
}

func (p *permits) Want(life units.Life) { p.wanted[life]++ }

func (p *permits) Take(_ time.Time, life units.Life) bool {
	left, limited := p.left[life]
	if !limited {
		return true
	}
	if p.late[life] {
		p.left[life] = 0
		return false
	}
	p.left[life]--
	return left > 0
}

func lifeOf(name units.Upstream) units.Life { return units.LifeOf(name, 0) }

// Guards against calls that go to an upstream beyond what it says that it takes: when all others
// are tried, silent or fuller, and when another call has taken the last permit.
func TestPickKeepsToPermits(t *testing.T) {
	const none units.Upstream = ""
	cases := map[string]struct {
		left  map[units.Upstream]int
		late  units.Upstream
		tried []units.Upstream
		// want are the upstreams of the calls, one after the other.
		want []units.Upstream
	}{
		"no limits":               {tried: []units.Upstream{"u0"}, want: []units.Upstream{"u1", "u1"}},
		"no permit for one":       {left: map[units.Upstream]int{"u0": 0}, want: []units.Upstream{"u1", "u1", "u1"}},
		"one permit and no other": {left: map[units.Upstream]int{"u0": 1, "u1": 0}, want: []units.Upstream{"u0", none, none}},
		"none for any":            {left: map[units.Upstream]int{"u0": 0, "u1": 0}, want: []units.Upstream{none}},
		"none, the other tried":   {left: map[units.Upstream]int{"u0": 0}, tried: []units.Upstream{"u1"}, want: []units.Upstream{none}},
		"taken by another call":   {left: map[units.Upstream]int{"u0": 1, "u1": 0}, late: "u0", want: []units.Upstream{none}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2)
			gate := &permits{
				left:   make(map[units.Life]int),
				wanted: make(map[units.Life]int),
				late:   map[units.Life]bool{lifeOf(c.late): true},
			}
			for upstream, left := range c.left {
				gate.left[lifeOf(upstream)] = left
			}
			w.Gate = gate
			for i, want := range c.want {
				got := none
				if u := w.Pick(prompt(1), c.tried); u != nil {
					got = u.Name
				}
				if got != want {
					t.Errorf("call %d: got %q, want %q", i, got, want)
				}
			}
			for upstream, left := range c.left {
				if left == 0 && len(c.tried) == 0 && gate.wanted[lifeOf(upstream)] == 0 {
					t.Errorf("calls for %s: got none noted, want them known to be wanted", upstream)
				}
			}
		})
	}
}
