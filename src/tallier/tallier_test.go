package tallier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

const length = 5 * time.Second

var start = time.Unix(1_700_000_000, 0)

// Entries restart, and their messages are lost, repeated and overtaken. Each call
// must count once, in the window in which it began.
func TestCallsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := &Ledger{Length: length}
		want := make(map[Window]map[units.Account]int64)
		counters := []*Counter{{Length: length}, {Length: length}}
		lives := []units.Incarnation{1, 1}
		sent := [][]Count{nil, nil}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "passes")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "entry")
			life := Life{Entry: units.Instance(rune('a' + i)), Incarnation: lives[i]}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				account := units.Account(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"))
				counters[i].Add(now, account)
				window := WindowAt(now, length)
				if want[window] == nil {
					want[window] = make(map[units.Account]int64)
				}
				want[window][account]++
			case 3:
				sent[i] = counters[i].Counts(now)
				ledger.Hear(life, sent[i])
			case 4:
				ledger.Hear(life, sent[i])
			case 5:
				ledger.Hear(life, counters[i].Counts(now))
				counters[i] = &Counter{Length: length}
				sent[i] = nil
				lives[i]++
			}
		}
		for i, c := range counters {
			ledger.Hear(Life{Entry: units.Instance(rune('a' + i)), Incarnation: lives[i]}, c.Counts(now))
		}
		for {
			report, due := ledger.Due(now.Add(time.Minute))
			if !due || len(want[report.Window]) == 0 && report.Window > WindowAt(now, length) {
				break
			}
			for account, calls := range want[report.Window] {
				// Counts that an entry no longer tells have been told before.
				if got := report.Counts[account]; got != calls {
					t.Fatalf("calls of %s in window %d: got %d, want %d", account, report.Window, got, calls)
				}
			}
			ledger.Fix(report)
		}
	})
}

// A leader is lost after it has written a window's counts and before their report
// has arrived. The next leader has heard more since; it must report the same counts.
func TestFixedCountsStay(t *testing.T) {
	ledger := &Ledger{Length: length}
	window := WindowAt(start, length)
	ledger.Fix(Report{Window: window, Counts: map[units.Account]int64{"x": 3}})
	ledger.Hear(Life{Entry: "a"}, []Count{{Window: window, Account: "x", Calls: 9}})
	ledger.Fix(Report{Window: window, Counts: map[units.Account]int64{"x": 9}})
	if got, want := ledger.Fixed()[0].Counts["x"], int64(3); got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
	if report, due := ledger.Due(start.Add(time.Minute)); !due || report.Window != window+1 {
		t.Errorf("next window: got %d %t, want %d", report.Window, due, window+1)
	}
}

func TestWindowIsNotDueBeforeItSettled(t *testing.T) {
	ledger := &Ledger{Length: length}
	window := WindowAt(start, length)
	ledger.Hear(Life{Entry: "a"}, []Count{{Window: window, Account: "x", Calls: 1}})
	end := window.End(length)
	if _, due := ledger.Due(end.Add(settleTime - time.Millisecond)); due {
		t.Error("due before the counts settled: got true, want false")
	}
	if _, due := ledger.Due(end.Add(settleTime)); !due {
		t.Error("due after the counts settled: got false, want true")
	}
}
