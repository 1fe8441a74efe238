package granter

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const testAllowed = 1_000_000.0

// newLedger returns a ledger with a committed bound that leaves room for all that is allowed.
func newLedger(t *testing.T, now time.Time) *Ledger {
	t.Helper()
	l := &Ledger{
		Window: testWindow,
		Lease:  testLease,
		Since:  start,
	}
	for range 40 {
		l.proposedAt = time.Time{}
		if l.Propose(now, map[units.Account]float64{testAccount: testAllowed}) != nil {
			l.Commit()
		}
		l.account(testAccount).granted += testAllowed / 50
	}
	l.account(testAccount).granted = 0
	return l
}

func report(number uint64, stamp int64, use Use) Report {
	return Report{
		Entry:       "e",
		Incarnation: 1,
		Number:      number,
		Stamp:       stamp,
		Uses:        map[units.Account]Use{testAccount: use},
	}
}

// Guards against what an entry may admit that is not counted: by the ceiling that it reports, by a late poll, by a
// silent entry, and by one that has restarted.
func TestWhatEntriesMayAdmitCounts(t *testing.T) {
	now := start.Add(time.Minute)
	full := Use{Admitted: 100, Ceiling: 1100}
	cases := map[string]struct {
		reports []Report
		after   time.Duration
		want    float64
	}{
		"reported ceiling":        {reports: []Report{report(1, 0, Use{}), report(2, 0, full)}, want: 1100},
		"late poll":               {reports: []Report{report(1, 0, Use{}), report(3, 0, full), report(2, 0, Use{})}, want: 1100},
		"silent entry":            {reports: []Report{report(1, 0, Use{}), report(2, 0, full)}, after: testLease + testWindow - time.Second, want: 1000},
		"silent entry, forgotten": {reports: []Report{report(1, 0, Use{}), report(2, 0, full)}, after: testLease + testWindow + time.Second},
		"restarted entry": {reports: []Report{report(1, 0, Use{}), report(2, 0, full), {
			Entry:       "e",
			Incarnation: 2,
			Number:      1,
		}}, want: 1100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLedger(t, now)
			for _, r := range c.reports {
				l.Record(now, r)
			}
			l.release(now.Add(c.after))
			if got := l.account(testAccount).held(now.Add(c.after)); got != c.want {
				t.Errorf("tokens that count: got %.0f, want %.0f", got, c.want)
			}
		})
	}
}

// Guards against a refund of calls that have left the window, in whose place others would count less.
func TestRefundCountsOnlyWithinTheWindow(t *testing.T) {
	now := start.Add(time.Minute)
	cases := map[string]struct {
		since    time.Time
		stampAge time.Duration
		noStamp  bool
		want     float64
	}{
		"answer to a late response":  {since: start, stampAge: 100 * time.Millisecond, want: 300},
		"late report":                {since: start, stampAge: 3 * time.Second, want: 500},
		"another leadership's stamp": {since: start, noStamp: true, want: 500},
		"leader has just begun":      {since: now.Add(-time.Second), stampAge: 100 * time.Millisecond, want: 500},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLedger(t, now)
			l.Since = c.since
			stamp := now.Add(-c.stampAge).UnixNano()
			if c.noStamp {
				stamp = 0
			}
			l.Record(now, report(1, 0, Use{}))
			l.Record(now, report(2, stamp, Use{Admitted: 500, Ceiling: 500}))
			l.Record(now, report(3, stamp, Use{Admitted: 500, Ceiling: 500, Refunded: 200}))
			if got := l.account(testAccount).held(now); got != c.want {
				t.Errorf("tokens that count: got %.0f, want %.0f", got, c.want)
			}
		})
	}
}

// Guards against an entry that uses a grant after its lease, or a response to a poll that was sent long ago.
func TestGrantsEnd(t *testing.T) {
	cases := map[string]struct {
		responseAge, after time.Duration
		want               bool
	}{
		"in time":           {after: testLease - time.Second, want: true},
		"lease has ended":   {after: testLease + time.Second},
		"response too late": {responseAge: MaxResponseAge + time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &Holder{
				Lease:  testLease,
				Window: testWindow,
			}
			h.Apply(start, start, Response{})
			sentAt := start.Add(-c.responseAge)
			h.Apply(start, sentAt, Response{
				Grants:   true,
				Ceilings: map[units.Account]float64{testAccount: 1000},
			})
			if got := h.Take(start.Add(c.after), testAccount, 10); got != c.want {
				t.Errorf("call taken: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a leader that never learns of a use whose poll or response was lost.
func TestUnansweredReportsAreRepeated(t *testing.T) {
	h := &Holder{
		Lease:  testLease,
		Window: testWindow,
	}
	respond := func() {
		h.Apply(start, start, Response{
			Leadership: 1,
			Grants:     true,
		})
	}
	h.Take(start, testAccount, 10)
	steps := []struct {
		name       string
		leadership Leadership
		answered   bool
		want       int
	}{
		{name: "first poll", leadership: 1, want: 1},
		{name: "after a poll without a response", leadership: 1, answered: true, want: 1},
		{name: "unchanged", leadership: 1, answered: true},
		{name: "new leader", leadership: 2, want: 1},
		{name: "after a poll of the new leader without a response", leadership: 2, want: 1},
	}
	for _, step := range steps {
		if got := len(h.Report(start, step.leadership).Uses); got != step.want {
			t.Errorf("%s, reported accounts: got %d, want %d", step.name, got, step.want)
		}
		if step.answered {
			respond()
		}
	}
}

// Guards against grants that rest on a bound which the next leader may not know.
func TestGrantsWaitForTheLog(t *testing.T) {
	l := &Ledger{
		Window: testWindow,
		Lease:  testLease,
		Since:  start,
	}
	allowed := map[units.Account]float64{testAccount: testAllowed}
	l.Record(start, report(1, 0, Use{Wanted: 1000}))
	if l.Propose(start, allowed) == nil {
		t.Fatal("proposal of a first bound: got none, want one")
	}
	if ceiling, changed := l.Grant(start, "e", testAccount, testAllowed, 1); changed {
		t.Errorf("grant before the bound is committed: got %.0f, want none", ceiling)
	}
	l.Commit()
	if ceiling, changed := l.Grant(start, "e", testAccount, testAllowed, 1); !changed || ceiling < 1000 {
		t.Errorf("grant after the bound is committed: got %.0f, want 1000 or more", ceiling)
	}
}
