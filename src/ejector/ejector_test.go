package ejector

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Calls fail at some upstreams, or all of them seem to fail because this entry's
// own network does. If it left them all out it would refuse every caller; so no
// more than a third may be out, none without enough failures, and each only for
// a bounded time.
func TestEjectionsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "total")
		now := time.Unix(0, 0)
		x := &Ejector{}
		out := make(map[Key]time.Time)
		failures := make(map[Key]int)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			key := Key{
				Service:  "ember-llm",
				Upstream: units.Upstream(fmt.Sprint(rapid.IntRange(1, total).Draw(t, "upstream"))),
			}
			if rapid.IntRange(0, 3).Draw(t, "event") == 0 {
				x.Step(now, Succeeded{Key: key})
				if !now.Before(out[key]) {
					failures[key] = 0
				}
				continue
			}
			unreached := rapid.IntRange(0, 4).Draw(t, "unreached") == 0
			failures[key]++
			actions := x.Step(now, Failed{Key: key, Unreached: unreached, Total: total})
			for _, action := range actions {
				eject := action.(Eject)
				if now.Before(out[key]) {
					t.Fatalf("%v: got ejected while it was out, want once", key)
				}
				if failures[key] < threshold && !unreached && out[key].IsZero() {
					t.Fatalf("%v: got ejected after %d failures, want %d", key, failures[key], threshold)
				}
				if got, most := eject.Until.Sub(now), maxTime; got <= 0 || got > most {
					t.Fatalf("%v: got ejected for %s, want at most %s", key, got, most)
				}
				out[key] = eject.Until
			}
			count := 0
			for _, until := range out {
				if now.Before(until) {
					count++
				}
			}
			if got, want := count, max(min(1, total-1), total/maxShare); got > want {
				t.Fatalf("out of %d: got %d, want at most %d", total, got, want)
			}
		}
	})
}

// An engine that cannot be reached is out at once, and comes back with one try:
// callers would otherwise meet it three times in each round.
func TestUnreachedUpstreamIsOutAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	x := &Ejector{}
	failed := Failed{
		Key:       Key{Service: "ember-llm", Upstream: "ember-1"},
		Unreached: true,
		Total:     6,
	}
	for _, want := range []time.Duration{baseTime, 2 * baseTime, 4 * baseTime} {
		actions := x.Step(now, failed)
		if got, want := len(actions), 1; got != want {
			t.Fatalf("actions: got %d, want %d", got, want)
		}
		until := actions[0].(Eject).Until
		if got := until.Sub(now); got != want {
			t.Errorf("ejected for: got %s, want %s", got, want)
		}
		now = until
		failed.Unreached = false
	}
}
