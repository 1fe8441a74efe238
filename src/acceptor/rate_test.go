package acceptor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulateRate lets callers open demand connections a second, each with one request, at an instance that reads capacity
// of them a second, and returns the mean rate of accepted connections in the last half of the time.
func simulateRate(r *rate, demand, capacity float64, duration time.Duration) float64 {
	seconds := rateInterval.Seconds()
	unread, accepted, counted := 0.0, 0.0, 0.0
	for passed := time.Duration(0); passed < duration; passed += rateInterval {
		// A refused caller goes elsewhere.
		waiting := demand * seconds
		for waiting >= 1 && r.isOpen() {
			waiting--
			unread++
			r.accept()
			if passed >= duration/2 {
				accepted++
			}
		}
		read := min(unread, capacity*seconds)
		unread -= read
		// Requests that wait for longer than a tenth of a second are read late.
		overloaded := unread > capacity/10 && unread >= minUnread
		r.step(rateInterval, overloaded, int(read))
		if passed >= duration/2 {
			counted += seconds
		}
	}
	return accepted / counted
}

// Guards against an instance that takes many more callers than it serves, and against one that refuses callers whom it
// could serve.
func TestRateFollowsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(100, 2000).Draw(t, "capacity")
		demand := capacity * rapid.Float64Range(0.1, 8).Draw(t, "demand by capacity")
		r := &rate{}
		got := simulateRate(r, demand, capacity, 20*time.Second)
		if demand < 0.9*capacity {
			if r.perSecond != 0 {
				t.Fatalf("limit at a demand of %.0f and a capacity of %.0f: got %.0f, want none", demand, capacity, r.perSecond)
			}
			return
		}
		if least, most := 0.3*capacity, 1.15*capacity; demand > 1.3*capacity && (got < least || got > most) {
			t.Fatalf("accepted at a demand of %.0f and a capacity of %.0f: got %.0f a second, want %.0f to %.0f", demand, capacity, got, least, most)
		}
	})
}

// Guards against limits that begin for a moment of load, that fall to nothing, or that never end.
func TestRateLimits(t *testing.T) {
	step := func(r *rate, n int, overloaded bool, accepted int) {
		for range n {
			for range accepted {
				r.accept()
			}
			r.step(rateInterval, overloaded, accepted)
		}
	}
	cases := map[string]struct {
		do   func(r *rate)
		want func(perSecond float64) bool
	}{
		"calm":                   {do: func(r *rate) { step(r, 100, false, 5) }, want: func(p float64) bool { return p == 0 }},
		"a moment of load":       {do: func(r *rate) { step(r, 50, false, 5); step(r, 5, true, 5); step(r, 5, false, 5) }, want: func(p float64) bool { return p == 0 }},
		"load that lasts":        {do: func(r *rate) { step(r, 50, false, 5); step(r, 6, true, 5) }, want: func(p float64) bool { return p > 60 && p < 100 }},
		"load that does not end": {do: func(r *rate) { step(r, 50, false, 5); step(r, 1000, true, 0) }, want: func(p float64) bool { return p == minRate }},
		"the load ends":          {do: func(r *rate) { step(r, 50, false, 5); step(r, 20, true, 2); step(r, 400, false, 1) }, want: func(p float64) bool { return p == 0 }},
		"few callers after it":   {do: func(r *rate) { step(r, 50, false, 5); step(r, 20, true, 2); step(r, 60, false, 0) }, want: func(p float64) bool { return p == 0 }},
		"it ended a moment ago":  {do: func(r *rate) { step(r, 50, false, 5); step(r, 20, true, 2); step(r, 20, false, 0) }, want: func(p float64) bool { return p > 0 }},
		"callers are still refused": {do: func(r *rate) {
			step(r, 50, false, 5)
			step(r, 20, true, 2)
			for range 100 {
				for r.isOpen() {
					r.accept()
				}
				r.step(rateInterval, false, 2)
			}
		}, want: func(p float64) bool { return p > 0 }},
		"it comes back each time": {do: func(r *rate) { step(r, 50, false, 5); step(r, 20, true, 2); step(r, 30, false, 2); step(r, 2, true, 2) }, want: func(p float64) bool { return p > 0 && p < 50 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &rate{}
			c.do(r)
			if !c.want(r.perSecond) {
				t.Errorf("limit: got %.1f, want another one", r.perSecond)
			}
		})
	}
}
