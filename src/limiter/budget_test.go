package limiter

import (
	"testing"

	"pgregory.net/rapid"
)

// Upstreams refuse or die while calls come. However failures and successes
// alternate, attempts beyond the first stay within the saved ones and a fifth
// of the successes; else a fault would multiply the load that caused it.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{}
		earned, spent := 0, 0
		for range stepsPerRun {
			if rapid.IntRange(0, 3).Draw(t, "answered") == 0 {
				b.Earn("s")
				earned++
				continue
			}
			if b.Spend("s") {
				spent++
			}
			if want := mostRetries + float64(earned)*retryRatio; float64(spent) > want+epsilon {
				t.Fatalf("retries: got %d after %d successes, want at most %f", spent, earned, want)
			}
		}
	})
}
