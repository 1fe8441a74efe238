package placer

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// Entries report their load and all receive one total. An entry that subtracted a report
// other than the one in the total would see calls where there are none and avoid these
// upstreams. The load of entries that are gone must not remain in the total.
func TestTotalMinusOwnReportIsPeerLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s LoadSum
		reported := make(map[units.Instance]map[ReportNumber]map[Hash]InFlightLoad)
		current := make(map[units.Instance]map[Hash]InFlightLoad)
		frozen := make(map[units.Instance]map[Hash]InFlightLoad)
		var total map[Hash]InFlightLoad
		next := ReportNumber(1000)
		entry := rapid.Custom(func(t *rapid.T) units.Instance {
			return units.Instance(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "entry")))
		})
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				from := entry.Draw(t, "from")
				loads := make(map[Hash]InFlightLoad)
				for range rapid.IntRange(0, 3).Draw(t, "upstreams") {
					loads[Hash(rapid.IntRange(0, 4).Draw(t, "upstream"))] = InFlightLoad{
						Calls:         rapid.Int64Range(0, 5).Draw(t, "calls"),
						PrefillTokens: rapid.Int64Range(1, 9).Draw(t, "prefill"),
					}
				}
				next++
				if reported[from] == nil {
					reported[from] = make(map[ReportNumber]map[Hash]InFlightLoad)
				}
				reported[from][next] = loads
				current[from] = loads
				s.Record(from, next, loads)
			},
			"freeze": func(t *rapid.T) {
				gone := entry.Draw(t, "gone")
				delete(current, gone)
				total = s.TakeTotal(func(from units.Instance) bool { return from != gone })
				frozen = maps.Clone(current)
			},
			"": func(t *rapid.T) {
				for from := range current {
					want := make(map[Hash]InFlightLoad)
					for other, loads := range frozen {
						for hash, load := range loads {
							if other == from {
								continue
							}
							sum := want[hash]
							sum.Calls += load.Calls
							sum.PrefillTokens += load.PrefillTokens
							want[hash] = sum
						}
					}
					got := Subtract(total, reported[from][s.LastCounted(from)])
					if frozen[from] == nil && s.LastCounted(from) != 0 {
						t.Fatalf("report of %s in the total: got %d, want none", from, s.LastCounted(from))
					}
					if !maps.Equal(got, want) {
						t.Fatalf("load of the other entries at %s: got %v, want %v", from, got, want)
					}
				}
			},
		})
	})
}
