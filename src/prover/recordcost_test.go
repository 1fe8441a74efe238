package prover

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkRecord measures the latency of a booking at an entry: a repeatable one,
// which has no record, one that is not repeatable, and one that is not repeatable and
// has an idempotency key of the caller.
func BenchmarkRecord(b *testing.B) {
	for _, c := range []struct {
		name       string
		repeatable string
		key        string
	}{
		{name: "repeatable", repeatable: "true"},
		{name: "not-repeatable", repeatable: "false"},
		{name: "not-repeatable-with-key", repeatable: "false", key: "bench"},
	} {
		b.Run(c.name, func(b *testing.B) {
			content, err := os.ReadFile("../../examples/hearthline.yaml")
			if err != nil {
				b.Fatal(err)
			}
			file := filepath.Join(b.TempDir(), "configuration.yaml")
			changed := strings.Replace(string(content), "repeatable: false", "repeatable: "+c.repeatable, 1)
			changed = strings.ReplaceAll(changed, "requests-per-second: 400", "requests-per-second: 40000")
			if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
				b.Fatal(err)
			}
			cluster, _ := startDiary(b, 4, 0, file)
			var latencies []time.Duration
			for i := 0; b.Loop(); i++ {
				key := c.key
				if key != "" {
					key = fmt.Sprintf("%s-%d", c.key, i)
				}
				startedAt := time.Now()
				got := sendBooking(b.Context(), cluster.Entries[0], key, `{"flue":1}`)
				latencies = append(latencies, time.Since(startedAt))
				if want := http.StatusOK; got.status != want {
					b.Fatalf("status: got %d (%s), want %d", got.status, got.body, want)
				}
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
		})
	}
}
