package auditor

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against missed calls without a cause: each call of a generated log is on time, or
// counted under exactly one cause of its route.
func TestEveryLostCallHasACause(t *testing.T) {
	causes := map[string]func(first, pause, target, gap int) bool{
		causeFirstByteLate: func(first, _, target, _ int) bool { return target > 0 && first > target },
		causePauseTooLong: func(first, pause, target, gap int) bool {
			return (target == 0 || first <= target) && gap > 0 && pause > gap
		},
	}
	rapid.Check(t, func(t *rapid.T) {
		want := make(map[string]int)
		var lines []string
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			route := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "route")
			outcome := rapid.SampledFrom([]string{"answered", "answered", "no-upstream", "limit-reached", "caller-gone"}).Draw(t, "outcome")
			first, pause := rapid.IntRange(0, 900).Draw(t, "first"), rapid.IntRange(0, 900).Draw(t, "pause")
			target, gap := rapid.SampledFrom([]int{0, 400}).Draw(t, "target"), rapid.SampledFrom([]int{0, 500}).Draw(t, "gap")
			cause := outcome
			if outcome == outcomeAnswered {
				cause = "in time"
				for name, holds := range causes {
					if holds(first, pause, target, gap) {
						cause = name
					}
				}
			}
			want[route+" "+cause]++
			line := endedLine("e", "s", 0, 1000, first, pause, outcome, "")
			lines = append(lines, strings.Replace(line, "{", fmt.Sprintf(`{"route":%q,"target-ms":%d,"gap-ms":%d,`, route, target, gap), 1))
		}
		calls, _, err := Read(strings.NewReader(strings.Join(lines, "\n")))
		if err != nil {
			t.Fatal(err)
		}
		audit := NewAudit(calls, 1)
		got := make(map[string]int)
		for _, l := range audit.Routes {
			counted := l.OnTime
			got[l.Route+" in time"] += l.OnTime
			for cause, count := range l.Missed {
				got[l.Route+" "+cause] += count
				counted += count
			}
			if counted != l.Calls {
				t.Errorf("calls of %s: got %d with a cause or in time, want all %d", l.Route, counted, l.Calls)
			}
		}
		for key, count := range want {
			if got[key] != count {
				t.Errorf("%s: got %d, want %d", key, got[key], count)
			}
		}
	})
}
