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

// Calls fail at some upstreams, or all upstreams seem to fail because of a fault in this entry's
// own network. Ejecting all of them would refuse every call. So at most a third may be ejected,
// none without enough failures, and each only for a bounded time.
func TestEjectionsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "total")
		now := time.Unix(0, 0)
		x := &Ejector{}
		ejectedUntil := make(map[Key]time.Time)
		failures := make(map[Key]int)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			key := Key{
				Service:  "ember-llm",
				Upstream: units.Upstream(fmt.Sprint(rapid.IntRange(1, total).Draw(t, "upstream"))),
			}
			if rapid.IntRange(0, 3).Draw(t, "event") == 0 {
				x.Step(now, ExchangeSucceeded{Key: key})
				if !now.Before(ejectedUntil[key]) {
					failures[key] = 0
				}
				continue
			}
			unreached := rapid.IntRange(0, 4).Draw(t, "unreached") == 0
			failures[key]++
			actions := x.Step(now, ExchangeFailed{Key: key, Unreached: unreached, Total: total})
			for _, action := range actions {
				eject := action.(Eject)
				if now.Before(ejectedUntil[key]) {
					t.Fatalf("%v: got a second ejection before the first one ended, want none", key)
				}
				if failures[key] < failureThreshold && !unreached && ejectedUntil[key].IsZero() {
					t.Fatalf("%v: got ejected after %d failures, want at least %d", key, failures[key], failureThreshold)
				}
				if got, most := eject.Until.Sub(now), maxEjection; got <= 0 || got > most {
					t.Fatalf("%v: got ejected for %s, want more than 0 and at most %s", key, got, most)
				}
				ejectedUntil[key] = eject.Until
			}
			count := 0
			for _, until := range ejectedUntil {
				if now.Before(until) {
					count++
				}
			}
			if got, want := count, max(min(1, total-1), total/ejectableDivisor); got > want {
				t.Fatalf("ejected upstreams of %d: got %d, want at most %d", total, got, want)
			}
		}
	})
}

// An upstream that cannot be reached must be ejected at once, and again after one failed call
// on its return: otherwise three calls would fail there in each round.
func TestUnreachableUpstreamIsEjectedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	x := &Ejector{}
	failed := ExchangeFailed{
		Key:       Key{Service: "ember-llm", Upstream: "ember-1"},
		Unreached: true,
		Total:     6,
	}
	for _, want := range []time.Duration{baseEjection, 2 * baseEjection, 4 * baseEjection} {
		actions := x.Step(now, failed)
		if got, want := len(actions), 1; got != want {
			t.Fatalf("actions: got %d, want %d", got, want)
		}
		until := actions[0].(Eject).Until
		if got := until.Sub(now); got != want {
			t.Errorf("duration of the ejection: got %s, want %s", got, want)
		}
		now = until
		failed.Unreached = false
	}
}

// Guards against ejections that outlive what caused them: an upstream that was silent for a moment, or
// an entry's own partition.
func TestUnreachedUpstreamsAreReadmitted(t *testing.T) {
	key := Key{Service: "ember-llm", Upstream: "u"}
	failed := ExchangeFailed{Key: key, Total: 6}
	unreached := ExchangeFailed{Key: key, Unreached: true, Total: 6}
	cases := map[string]struct {
		events []Event
		want   bool
	}{
		"connection made":                  {events: []Event{unreached, UpstreamReached{Key: key}}, want: true},
		"entry partitioned":                {events: []Event{unreached, EntryPartitioned{Service: "ember-llm"}}, want: true},
		"another service":                  {events: []Event{unreached, EntryPartitioned{Service: "diary-app"}}},
		"another upstream":                 {events: []Event{unreached, UpstreamReached{Key: Key{Service: "ember-llm", Upstream: "v"}}}},
		"failing calls, connection made":   {events: []Event{failed, failed, failed, UpstreamReached{Key: key}}},
		"failing calls, entry partitioned": {events: []Event{failed, failed, failed, EntryPartitioned{Service: "ember-llm"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := &Ejector{}
			now := time.Unix(1000, 0)
			var ejected, readmitted bool
			for _, event := range c.events {
				now = now.Add(time.Millisecond)
				for _, action := range x.Step(now, event) {
					switch action.(type) {
					case Eject:
						ejected = true
					case Readmit:
						readmitted = true
					}
				}
			}
			if !ejected || readmitted != c.want {
				t.Errorf("got ejected %t and readmitted %t, want true and %t", ejected, readmitted, c.want)
			}
		})
	}
}
