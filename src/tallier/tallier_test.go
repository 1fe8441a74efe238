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
				ledger.Hear(now, life, sent[i])
			case 4:
				ledger.Hear(now, life, sent[i])
			case 5:
				ledger.Hear(now, life, counters[i].Counts(now))
				counters[i] = &Counter{Length: length}
				sent[i] = nil
				lives[i]++
			}
		}
		for i, c := range counters {
			ledger.Hear(now, Life{Entry: units.Instance(rune('a' + i)), Incarnation: lives[i]}, c.Counts(now))
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
	ledger.Hear(start, Life{Entry: "a"}, []Count{{Window: window, Account: "x", Calls: 9}})
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
	ledger.Hear(start, Life{Entry: "a"}, []Count{{Window: window, Account: "x", Calls: 1}})
	end := window.End(length)
	if _, due := ledger.Due(end.Add(settleTime - time.Millisecond)); due {
		t.Error("due before the counts settled: got true, want false")
	}
	if _, due := ledger.Due(end.Add(settleTime)); !due {
		t.Error("due after the counts settled: got false, want true")
	}
}

// Two of some entries are cut off from control, serve on for a while, and are back
// before the report is wanted. Their counts must be in it; an entry that is gone for
// good must not hold up a window that it cannot have counted in.
func TestWindowWaitsForWhoeverMayHaveCounted(t *testing.T) {
	const patience, serves = 7 * time.Second, 4 * time.Second
	window := WindowAt(start, length)
	began, end := window.End(length).Add(-length), window.End(length)
	cases := map[string]struct {
		// last is when the cut entry was heard last, back when it is heard again.
		last time.Time
		back time.Time
		at   time.Time
		due  bool
		want int64
	}{
		"heard after the end":        {last: end.Add(time.Second), at: end.Add(settleTime), due: true, want: 5},
		"cut off within it":          {last: end.Add(-time.Second), at: end.Add(settleTime)},
		"cut off before, and serves": {last: began.Add(-serves), at: end.Add(settleTime)},
		"cut off long before":        {last: began.Add(-serves - time.Second), at: end.Add(settleTime), due: true, want: 2},
		"cut off for too long":       {last: end.Add(-time.Second), at: end.Add(patience), due: true, want: 2},
		"back in time":               {last: end.Add(-time.Second), back: end.Add(6 * time.Second), at: end.Add(6 * time.Second), due: true, want: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ledger := &Ledger{Length: length, Patience: patience, Serves: serves}
			ledger.Hear(end.Add(time.Second), Life{Entry: "a"}, []Count{{Window: window, Account: "x", Calls: 2}})
			counts := []Count{{Window: window, Account: "x", Calls: 3}}
			if c.last.Before(end) {
				ledger.Hear(c.last, Life{Entry: "b"}, nil)
			} else {
				ledger.Hear(c.last, Life{Entry: "b"}, counts)
			}
			if !c.back.IsZero() {
				ledger.Hear(c.back, Life{Entry: "b"}, counts)
			}
			report, due := ledger.Due(c.at)
			if due != c.due || report.Counts["x"] != c.want {
				t.Errorf("report: got %d calls, due %t, want %d, %t", report.Counts["x"], due, c.want, c.due)
			}
		})
	}
}
