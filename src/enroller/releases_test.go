package enroller

import (
	"slices"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a software version that is forgotten while callers may resume streams that began at it.
func TestReleasesInUse(t *testing.T) {
	start := time.Unix(1000, 0)
	heartbeat := func(id units.Upstream, release units.Release, born units.Incarnation) Registration {
		return Registration{
			ID:          id,
			Service:     "s",
			Address:     string(id),
			State:       Ready,
			Release:     release,
			Incarnation: born,
			Sequence:    1,
		}
	}
	cases := map[string]struct {
		change func(table *Table)
		after  time.Duration
		want   []units.Release
	}{
		"one":                        {change: func(*Table) {}, want: []units.Release{"v1"}},
		"another one":                {change: func(table *Table) { table.Record(start, heartbeat("b", "v2", 1), 0) }, want: []units.Release{"v1", "v2"}},
		"none stated":                {change: func(table *Table) { table.Record(start, heartbeat("b", "", 1), 0) }, want: []units.Release{"", "v1"}},
		"of an upstream that left":   {change: func(table *Table) { table.MarkGone(start, "a", 1) }, after: 20 * time.Second, want: []units.Release{"v1"}},
		"of a silent upstream":       {change: func(*Table) {}, after: 59 * time.Second, want: []units.Release{"v1"}},
		"of an earlier incarnation":  {change: func(table *Table) { table.Record(start, heartbeat("a", "v2", 2), 0) }, after: 59 * time.Second, want: []units.Release{"v1", "v2"}},
		"of one that nobody knew":    {change: func(table *Table) { table.MarkGone(start, "b", 1) }, want: []units.Release{"v1"}},
		"long gone":                  {change: func(table *Table) { table.MarkGone(start, "a", 1) }, after: 61 * time.Second},
		"of an incarnation long ago": {change: func(table *Table) { table.Record(start.Add(50*time.Second), heartbeat("a", "v2", 2), 0) }, after: 61 * time.Second, want: []units.Release{"v2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Interval: time.Second}
			table.Record(start, heartbeat("a", "v1", 1), 0)
			c.change(table)
			if got := table.Releases(start.Add(c.after))["s"]; !slices.Equal(got, c.want) {
				t.Errorf("versions after %v: got %q, want %q", c.after, got, c.want)
			}
		})
	}
}
