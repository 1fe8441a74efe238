package retrier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// startTime is longer than entries with a window of ten seconds must be in contact before they use their parts
// of the slack.
const startTime = 20 * time.Second

// stayInContact lets budgets be in contact with a leader for some time.
func stayInContact(now *time.Time, passed time.Duration, entries int, budgets ...*Budget) {
	for end := now.Add(passed); now.Before(end); {
		*now = now.Add(100 * time.Millisecond)
		for _, b := range budgets {
			b.RecordContact(*now, entries)
		}
	}
}

// Upstreams refuse most calls for a while. At all entries together, no window may contain more
// further attempts than the bound allows, under any load.
func TestRetriesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{1, 3, 9, 40}).Draw(t, "entries")
		const ratio, slack = 0.2, 30.0
		streams := rapid.IntRange(0, 100).Draw(t, "streams of 100 retries")
		window := 10 * time.Second
		now := time.Unix(1000, 0)
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = &Budget{
				Window: window,
				Ratio:  ratio,
				Slack:  slack,
				Lease:  entryLease,
				Now:    func() time.Time { return now },
			}
		}
		stayInContact(&now, startTime, entries, budgets...)
		type event struct {
			at      time.Time
			further bool
		}
		var events []event
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "passes")) * time.Millisecond)
			for _, b := range budgets {
				b.RecordContact(now, entries)
			}
			b := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			b.RecordCall("s")
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 3).Draw(t, "refusals") {
				spend := b.AllowRetry
				if rapid.IntRange(1, 100).Draw(t, "retry") <= streams {
					spend = b.AllowResume
				}
				if spend("s") {
					events = append(events, event{at: now, further: true})
				}
			}
		}
		for i, last := range events {
			calls, further := 0.0, 0.0
			for _, e := range events[:i+1] {
				if last.at.Sub(e.at) >= window {
					continue
				}
				if e.further {
					further++
				} else {
					calls++
				}
			}
			if allowed := ratio*calls + slack; further > allowed {
				t.Fatalf("further attempts in one window: got %v, want at most %v", further, allowed)
			}
		}
	})
}

// A fifth of the upstreams is lost with its streams while new calls are refused and retried.
// Streams in progress must still be resumed once retries have used up their fraction.
func TestStreamsResumeWhenRetriesAreExhausted(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Budget{
		Window: 10 * time.Second,
		Ratio:  0.2,
		Slack:  20,
		Lease:  entryLease,
		Now:    func() time.Time { return now },
	}
	stayInContact(&now, startTime, 1, b)
	for b.AllowRetry("s") {
		continue
	}
	if !b.AllowResume("s") {
		t.Error("resuming a stream after retries have used their fraction: got refused, want allowed")
	}
	resumed := 1
	for b.AllowResume("s") {
		resumed++
	}
	if b.AllowRetry("s") {
		t.Error("a retry after streams have used the rest: got allowed, want refused")
	}
	if got, most := resumed+int(retryFraction*20), 20; got > most {
		t.Errorf("retries and resumed streams: got %d, want at most %d", got, most)
	}
}

// Once the window has passed, old counts must be cleared and the slack available again.
func TestOldCountsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Budget{
		Window: 10 * time.Second,
		Ratio:  0.2,
		Slack:  8,
		Lease:  entryLease,
		Now:    func() time.Time { return now },
	}
	stayInContact(&now, startTime, 1, b)
	spend := func() int {
		n := 0
		for b.AllowRetry("s") {
			n++
		}
		return n
	}
	if got, want := spend(), 6; got != want {
		t.Errorf("retries in the first window: got %d, want %d", got, want)
	}
	stayInContact(&now, 5*time.Second, 1, b)
	if got, want := spend(), 0; got != want {
		t.Errorf("further retries in the same window: got %d, want %d", got, want)
	}
	stayInContact(&now, 6*time.Second, 1, b)
	if got, want := spend(), 6; got != want {
		t.Errorf("retries in the next window: got %d, want %d", got, want)
	}
}

// Guards against a report that misses attempts, or repeats those of an earlier report.
func TestReportsCountAttemptsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Budget{
		Window: 10 * time.Second,
		Ratio:  0.2,
		Slack:  8,
		Lease:  entryLease,
		Now:    func() time.Time { return now },
	}
	stayInContact(&now, startTime, 1, b)
	for b.AllowRetry("s") {
		continue
	}
	b.RecordCall("quiet")
	want := Report{
		Entries:    1,
		Service:    "s",
		Attempts:   6,
		Bound:      8,
		SlackShare: 8,
		Allowed:    6,
		Refused:    1,
	}
	if got := b.Reports(); len(got) != 1 || got[0] != want {
		t.Errorf("reports: got %+v, want %+v", got, want)
	}
	if got := b.Reports(); len(got) != 0 {
		t.Errorf("reports of no further attempts: got %+v, want none", got)
	}
}

// Guards against entries that use what others, or their own earlier lives, have spent already, and against a
// part of the slack that is never used again.
func TestSlackShareFollowsMembership(t *testing.T) {
	const slack = 24.0
	type step struct {
		// passed is how long the entry is in contact with a leader that counts this many entries, or out of
		// contact if there are none.
		passed  time.Duration
		entries int
	}
	cases := map[string]struct {
		steps      []step
		firstStart bool
		want       float64
	}{
		"first start of the fleet":              {steps: []step{{passed: 3 * time.Second, entries: 4}}, firstStart: true, want: 6},
		"never in contact":                      {want: 0},
		"a window has passed since the start":   {steps: []step{{passed: 10 * time.Second, entries: 4}}, want: 0},
		"just started":                          {steps: []step{{passed: 5 * time.Second, entries: 4}}, want: 0},
		"in contact for long":                   {steps: []step{{passed: startTime, entries: 4}}, want: 6},
		"others were lost a moment ago":         {steps: []step{{passed: startTime, entries: 4}, {passed: 5 * time.Second, entries: 2}}, want: 6},
		"others were lost long ago":             {steps: []step{{passed: startTime, entries: 4}, {passed: startTime, entries: 2}}, want: 12},
		"others have joined":                    {steps: []step{{passed: startTime, entries: 4}, {passed: 200 * time.Millisecond, entries: 8}}, want: 3},
		"a new leader has heard few":            {steps: []step{{passed: startTime, entries: 4}, {passed: 200 * time.Millisecond, entries: 1}}, want: 6},
		"an election":                           {steps: []step{{passed: startTime, entries: 4}, {passed: 1500 * time.Millisecond}, {passed: 200 * time.Millisecond, entries: 4}}, want: 6},
		"out of contact":                        {steps: []step{{passed: startTime, entries: 4}, {passed: 3 * time.Second}}, want: 0},
		"back in contact":                       {steps: []step{{passed: startTime, entries: 4}, {passed: 3 * time.Second}, {passed: 5 * time.Second, entries: 4}}, want: 0},
		"back in contact for long":              {steps: []step{{passed: startTime, entries: 4}, {passed: 3 * time.Second}, {passed: startTime, entries: 4}}, want: 6},
		"out of contact while others were lost": {steps: []step{{passed: startTime, entries: 4}, {passed: startTime}, {passed: startTime, entries: 2}}, want: 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := &Budget{
				Window:     10 * time.Second,
				Slack:      slack,
				Lease:      entryLease,
				FirstStart: c.firstStart,
				Now:        func() time.Time { return now },
			}
			for _, s := range c.steps {
				if s.entries == 0 {
					now = now.Add(s.passed)
					continue
				}
				stayInContact(&now, s.passed, s.entries, b)
			}
			if got := b.slackShare(); got != c.want {
				t.Errorf("part of the slack: got %v, want %v", got, c.want)
			}
		})
	}
}
