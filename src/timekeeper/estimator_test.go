package timekeeper

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// The time of day jumps by two seconds on a third of the instances, including this
// one. Without the median, usage would be counted in the wrong windows.
func TestTrueTimeToleratesJumps(t *testing.T) {
	now := time.Unix(100, 0)
	truth := time.Unix(1_700_000_000, 0)
	cases := map[string]struct {
		own    time.Duration
		others []time.Duration
		want   time.Duration
	}{
		"alone":               {own: time.Millisecond, want: time.Millisecond},
		"own clock ahead":     {own: 2 * time.Second, others: []time.Duration{0, 0, 0}, want: 0},
		"a third back":        {own: 0, others: []time.Duration{0, 0, 0, -2 * time.Second, -2 * time.Second}, want: 0},
		"a third each way":    {own: 2 * time.Second, others: []time.Duration{0, 0, -2 * time.Second}, want: 0},
		"small differences":   {own: 0, others: []time.Duration{-time.Millisecond, time.Millisecond}, want: 0},
		"one other, far away": {own: 0, others: []time.Duration{time.Hour}, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var e Estimator
			for i, off := range c.others {
				e.Record(now, units.Instance(rune('a'+i)), truth.Add(off))
			}
			got := e.TrueTime(now, truth.Add(c.own)).Sub(truth)
			if got != c.want {
				t.Errorf("error of the true time: got %v, want %v", got, c.want)
			}
		})
	}
}

// The last reading of a stopped instance must not distort the median after its expiry.
func TestExpiredReadingsAreIgnored(t *testing.T) {
	var e Estimator
	now := time.Unix(100, 0)
	truth := time.Unix(1_700_000_000, 0)
	e.Record(now, "a", truth.Add(-time.Hour))
	e.Record(now, "b", truth.Add(-time.Hour))
	later := now.Add(readingExpiry + time.Second)
	got := e.TrueTime(later, truth)
	if want := truth; !got.Equal(want) {
		t.Errorf("true time: got %v, want %v", got, want)
	}
}

func TestNowIsMonotonic(t *testing.T) {
	first := Now()
	if second := Now(); second.Before(first) {
		t.Errorf("clock went backwards: got %v after %v", second, first)
	}
}
