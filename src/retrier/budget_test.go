package retrier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
			budgets[i] = &Budget{Window: window, Ratio: ratio, Slack: slack, Now: func() time.Time { return now }}
			budgets[i].SetEntries(entries)
		}
		type event struct {
			at      time.Time
			further bool
		}
		var events []event
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "passes")) * time.Millisecond)
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
	b := &Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 20, Now: func() time.Time { return now }}
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
	b := &Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 8, Now: func() time.Time { return now }}
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
	now = now.Add(5 * time.Second)
	if got, want := spend(), 0; got != want {
		t.Errorf("further retries in the same window: got %d, want %d", got, want)
	}
	now = now.Add(6 * time.Second)
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
		Now:    func() time.Time { return now },
	}
	for b.AllowRetry("s") {
		continue
	}
	b.RecordCall("quiet")
	want := Report{
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
