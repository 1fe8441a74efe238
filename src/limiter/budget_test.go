package limiter

import (
	"testing"

	"pgregory.net/rapid"
)

// Upstreams refuse or fail while calls arrive. However failures and successes
// alternate, attempts beyond the first must stay within the saved retries plus a
// fifth of the successes; otherwise a fault would multiply the load that caused it.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &RetryBudget{}
		earned, spent := 0, 0
		for range stepsPerRun {
			if rapid.IntRange(0, 3).Draw(t, "answered") == 0 {
				b.RecordAnswer("s")
				earned++
				continue
			}
			if b.AllowRetry("s") {
				spent++
			}
			if want := maxSavedRetries + float64(earned)*retryRatio; float64(spent) > want+epsilon {
				t.Fatalf("retries: got %d after %d successes, want at most %f", spent, earned, want)
			}
		}
	})
}
