package prover

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/stager"
)

// startCallers starts several callers, each of which calls the entries in turn
// without pause until ctx ends. answered counts the successful calls; wait returns
// once the callers have ended.
func startCallers(ctx context.Context, entries []*stager.Node, callers int) (answered *atomic.Int64, wait func()) {
	answered = &atomic.Int64{}
	running := &sync.WaitGroup{}
	for i := range callers {
		running.Go(func() {
			for round := i; ctx.Err() == nil; round++ {
				entry := entries[round%len(entries)]
				if getBookings(ctx, entry) == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	return answered, running.Wait
}

func getBookings(ctx context.Context, entry *stager.Node) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry.CallerURL()+"/diary/bookings", nil)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", exampleKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// A client account is limited to 40 calls per second and calls three entries as fast
// as it can, or one entry, which must borrow what the others don't use. If each entry
// counted on its own, it would admit the whole limit, and the three together three
// times the limit. The answered calls must stay within the limit and its burst, and
// must reach four seconds' worth of the limit.
func TestAccountLimitHoldsAcrossEntries(t *testing.T) {
	const rate = 40
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 3)
	if _, err := cluster.StartUpstream("plain", "diary-1", "--service", "diary-app", "--data-centre", "dc-a", "--work", "1ms"); err != nil {
		t.Fatal(err)
	}
	apply(t, cluster, writeExample(t, "2", "requests-per-second: 400", "requests-per-second: 40"))
	for _, entry := range cluster.Entries {
		await(t, "an answer from the diary", func() bool { return getBookings(t.Context(), entry) == http.StatusOK })
	}
	all := cluster.Entries
	for name, entries := range map[string][]*stager.Node{"three entries": all, "one entry": all[:1]} {
		t.Run(name, func(t *testing.T) {
			startedAt := time.Now()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			answered, wait := startCallers(ctx, entries, 3)
			await(t, "enough answers", func() bool { return answered.Load() >= 4*rate })
			stop()
			wait()
			elapsed := time.Since(startedAt)
			// The burst is two seconds' worth of the limit, plus one call for each entry.
			want := rate*(elapsed.Seconds()+2) + float64(len(all))
			if got := float64(answered.Load()); got > want {
				t.Errorf("answered in %s: got %.0f, want at most %.0f", elapsed, got, want)
			}
		})
	}
}

// A service's engine runs 16 calls at once and 64 arrive. Those that cannot run soon
// must be refused as not run, with the time after which to retry; the others must be
// answered completely.
func TestOverloadIsRefusedAsNotRun(t *testing.T) {
	const callers = 64
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	startEngine(t, cluster)
	apply(t, cluster, exampleFile)
	entry := cluster.Entries[0]
	await(t, "ember-1 known", func() bool { return strings.Contains(readDumpText(t, cluster, entry), "name: ember-1") })
	body := strings.Replace(modelBody, `"max_tokens":8`, `"max_tokens":200`, 1)
	var answered, refused atomic.Int64
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			status, content := send(t.Context(), t, http.DefaultClient, http.MethodPost,
				entry.CallerURL()+"/v1/chat/completions", "application/json", body)
			switch {
			case status == http.StatusOK:
				answered.Add(1)
			case strings.Contains(content, `"executed":"no"`) && strings.Contains(content, `"retry-after":`):
				refused.Add(1)
			default:
				t.Errorf("answer: got %d %s, want a complete one or a refusal as not run", status, content)
			}
		})
	}
	running.Wait()
	if answered.Load() < 16 || refused.Load() == 0 {
		t.Errorf("calls: got %d answered and %d refused, want at least 16 and some", answered.Load(), refused.Load())
	}
}
