package timekeeper

import (
	"testing"
	"time"
)

// TestPausesAreFound guards against a process that takes what arrived while it was frozen for new.
func TestPausesAreFound(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		// checks are when the checks run, at when it is asked, since the first check.
		checks []time.Duration
		at     time.Duration
		want   bool
	}{
		"no check yet":                     {},
		"runs":                             {checks: []time.Duration{0, 50 * time.Millisecond}, at: 100 * time.Millisecond},
		"check a bit late":                 {checks: []time.Duration{0, 200 * time.Millisecond}, at: 210 * time.Millisecond},
		"asked before the check":           {checks: []time.Duration{0}, at: 3 * time.Second, want: true},
		"asked right after the check":      {checks: []time.Duration{0, 3 * time.Second}, at: 3 * time.Second, want: true},
		"asked a moment later":             {checks: []time.Duration{0, 3 * time.Second, 3050 * time.Millisecond}, at: 3060 * time.Millisecond, want: true},
		"asked long after":                 {checks: []time.Duration{0, 3 * time.Second, 3200 * time.Millisecond, 3400 * time.Millisecond}, at: 3500 * time.Millisecond},
		"a second pause, before the check": {checks: []time.Duration{0, time.Second, 1500 * time.Millisecond}, at: 2 * time.Second, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Pauses{}
			for _, check := range c.checks {
				p.check(start.Add(check))
			}
			if got := p.isRecent(start.Add(c.at)); got != c.want {
				t.Errorf("recent: got %t, want %t", got, c.want)
			}
		})
	}
}
