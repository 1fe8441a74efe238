package placer

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// Entries report what they have under way, and all get one total. An entry that took
// its own part of another moment out of it would see calls where there are none, and
// send its next ones elsewhere; entries that are gone must leave nothing behind.
func TestTotalWithoutOnesOwnIsTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sum
		told := make(map[units.Instance]map[Report]map[Hash]UnderWay)
		now := make(map[units.Instance]map[Hash]UnderWay)
		frozen := make(map[units.Instance]map[Hash]UnderWay)
		var total map[Hash]UnderWay
		next := Report(1000)
		entry := rapid.Custom(func(t *rapid.T) units.Instance {
			return units.Instance(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "entry")))
		})
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				from := entry.Draw(t, "from")
				loads := make(map[Hash]UnderWay)
				for range rapid.IntRange(0, 3).Draw(t, "upstreams") {
					loads[Hash(rapid.IntRange(0, 4).Draw(t, "upstream"))] = UnderWay{
						Calls:   rapid.Int64Range(0, 5).Draw(t, "calls"),
						Prefill: rapid.Int64Range(1, 9).Draw(t, "prefill"),
					}
				}
				next++
				if told[from] == nil {
					told[from] = make(map[Report]map[Hash]UnderWay)
				}
				told[from][next] = loads
				now[from] = loads
				s.Hear(from, next, loads)
			},
			"freeze": func(t *rapid.T) {
				gone := entry.Draw(t, "gone")
				delete(now, gone)
				total = s.Freeze(func(from units.Instance) bool { return from != gone })
				frozen = maps.Clone(now)
			},
			"": func(t *rapid.T) {
				for from := range now {
					want := make(map[Hash]UnderWay)
					for other, loads := range frozen {
						for hash, load := range loads {
							if other == from {
								continue
							}
							sum := want[hash]
							sum.Calls += load.Calls
							sum.Prefill += load.Prefill
							want[hash] = sum
						}
					}
					got := Less(total, told[from][s.Counted(from)])
					if frozen[from] == nil && s.Counted(from) != 0 {
						t.Fatalf("report of %s that is counted: got %d, want none", from, s.Counted(from))
					}
					if !maps.Equal(got, want) {
						t.Fatalf("others of %s: got %v, want %v", from, got, want)
					}
				}
			},
		})
	})
}
