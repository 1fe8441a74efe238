package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// crashGap is the time within which several crashes count as one: upstreams that crash for a common
// cause do so together, whatever they run.
const crashGap = 250 * time.Millisecond

// suspectPart is the evidence against one part.
type suspectPart struct {
	crashes map[units.IncarnationID]crash
	points  Points
	// common holds the parts, itself included, that all calls with it that were lost have in common.
	common     []units.PromptPart
	lastLossAt time.Time
	// thresholdAt is when the points reached the threshold, zero while they are below it.
	thresholdAt time.Time
}

// crash is the crash of an upstream with calls that had a part.
type crash struct {
	at     time.Time
	points Points
}

// keepCommon drops the parts that are not among the given ones from those that all lost calls have in common.
func (s *suspectPart) keepCommon(parts []units.PromptPart) {
	s.common = slices.DeleteFunc(s.common, func(p units.PromptPart) bool { return !slices.Contains(parts, p) })
}

// sumPoints returns the points of the crashes. Those that came together count as the one with most points.
func (s *suspectPart) sumPoints() Points {
	total, counted := Points(0), Points(0)
	var groupAt time.Time
	for _, c := range slices.SortedFunc(maps.Values(s.crashes), func(a, b crash) int { return a.at.Compare(b.at) }) {
		if c.at.Sub(groupAt) >= crashGap {
			groupAt, counted = c.at, 0
		}
		total += max(0, c.points-counted)
		counted = max(counted, c.points)
	}
	return total
}

// compare orders suspects by how likely they are the cause of their crashes: a part that crashes upstreams is in
// all of them, and mostly in a call that was not answered.
func (s *suspectPart) compare(other *suspectPart) int {
	return cmp.Or(cmp.Compare(len(s.crashes), len(other.crashes)), cmp.Compare(s.points, other.points))
}

// before returns the evidence of the crashes up to a time.
func (s *suspectPart) before(end time.Time) *suspectPart {
	earlier := &suspectPart{crashes: maps.Clone(s.crashes)}
	maps.DeleteFunc(earlier.crashes, func(_ units.IncarnationID, c crash) bool { return c.at.After(end) })
	earlier.points = earlier.sumPoints()
	return earlier
}

// containsAll reports whether all crashes include some.
func containsAll(all, some map[units.IncarnationID]crash) bool {
	for id := range some {
		if _, found := all[id]; !found {
			return false
		}
	}
	return true
}
