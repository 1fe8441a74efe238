package aggregator

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// Polls and their responses get lost, and reports move to another control process with a
// ledger of its own. Whatever is lost, a ledger that answers twice in a row must have every
// count of the windows that the entry still reports; for each missing count, calls would not
// be charged.
func TestLedgerHasAllCountsAfterTwoAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counter := &Counter{WindowLength: time.Second}
		reporter := &DeltaReporter{}
		now := time.Unix(100, 0)
		ledgers := map[int]map[key]int64{1: {}, 2: {}}
		last, inRow := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "passes")) * time.Millisecond)
			for range rapid.IntRange(0, 2).Draw(t, "calls") {
				counter.Add(now, units.Account(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")))
			}
			all := counter.Counts(now)
			fresh := reporter.Unacknowledged(all)
			to := rapid.IntRange(1, 2).Draw(t, "to")
			if rapid.IntRange(0, 4).Draw(t, "poll lost") == 0 {
				continue
			}
			for _, c := range fresh {
				ledgers[to][keyOf(c)] = max(ledgers[to][keyOf(c)], c.Calls)
			}
			if rapid.IntRange(0, 4).Draw(t, "answer lost") == 0 {
				continue
			}
			if to != last {
				reporter.Reset()
				last, inRow = to, 1
				continue
			}
			reporter.Acknowledge(fresh, all)
			if inRow++; inRow < 2 {
				continue
			}
			for _, c := range all {
				if got, want := ledgers[to][keyOf(c)], c.Calls; got != want {
					t.Fatalf("count of %v at a ledger that answered %d times in a row: got %d, want %d", keyOf(c), inRow, got, want)
				}
			}
		}
	})
}
