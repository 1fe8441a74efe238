package retrier

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	fleetWindow = 10 * time.Second
	fleetRatio  = 0.2
	fleetSlack  = 30.0
	// entryLease is how long the leader counts an entry after its last poll.
	entryLease = 5 * time.Second
)

// fleet is a simulated fleet of entries with one leader.
type fleet struct {
	t   *rapid.T
	now time.Time
	// isFirstStart is set while the fleet starts for the first time.
	isFirstStart bool
	entries      []*fleetEntry
	// heard holds when the leader last heard from each entry, leaderSince when it was elected.
	heard       map[string]time.Time
	leaderSince time.Time
	calls       []time.Time
	attempts    []time.Time
}

// fleetEntry is one entry; its budget is the state of its current life, nil while it is down.
type fleetEntry struct {
	name     string
	budget   *Budget
	returns  time.Time
	cutUntil time.Time
	stopping bool
}

func (f *fleet) start(e *fleetEntry) {
	e.stopping = false
	e.budget = &Budget{
		Window:     fleetWindow,
		Ratio:      fleetRatio,
		Slack:      fleetSlack,
		Lease:      entryLease,
		FirstStart: f.isFirstStart,
		Now:        func() time.Time { return f.now },
	}
}

func (f *fleet) kill(e *fleetEntry, down time.Duration) {
	e.budget = nil
	e.returns = f.now.Add(down)
}

// poll lets an entry poll the leader, and passes the response on as the gateway does.
func (f *fleet) poll(e *fleetEntry) {
	if f.now.Before(f.leaderSince) || f.now.Before(e.cutUntil) {
		return
	}
	f.heard[e.name] = f.now
	if e.stopping {
		delete(f.heard, e.name)
	}
	count := 0
	for _, at := range f.heard {
		if f.now.Sub(at) < entryLease {
			count++
		}
	}
	if !e.stopping {
		e.budget.RecordContact(f.now, max(1, count))
	}
}

// step lets time pass and every entry poll.
func (f *fleet) step(passed time.Duration) {
	f.now = f.now.Add(passed)
	for _, e := range f.entries {
		if e.budget == nil && !f.now.Before(e.returns) {
			f.start(e)
		}
		if e.budget != nil {
			f.poll(e)
		}
	}
}

// call lets an entry receive a call that every upstream refuses.
func (f *fleet) call(e *fleetEntry) {
	e.budget.RecordCall("s")
	f.calls = append(f.calls, f.now)
	for range 8 {
		if !e.budget.AllowRetry("s") {
			break
		}
		f.attempts = append(f.attempts, f.now)
	}
	for range 8 {
		if !e.budget.AllowResume("s") {
			break
		}
		f.attempts = append(f.attempts, f.now)
	}
}

// disrupt draws one disruption.
func (f *fleet) disrupt() {
	e := rapid.SampledFrom(f.entries).Draw(f.t, "entry")
	duration := time.Duration(rapid.IntRange(0, 20_000).Draw(f.t, "ms")) * time.Millisecond
	switch rapid.SampledFrom([]string{"kill", "kill all", "kill half", "cut", "leader", "stop", "join"}).Draw(f.t, "disruption") {
	case "kill":
		f.kill(e, duration)
	case "kill all":
		for _, each := range f.entries {
			f.kill(each, duration/20)
		}
	case "kill half":
		for _, each := range f.entries[:len(f.entries)/2] {
			f.kill(each, duration)
		}
	case "cut":
		e.cutUntil = f.now.Add(duration)
	case "leader":
		clear(f.heard)
		f.leaderSince = f.now.Add(duration / 10)
	case "stop":
		e.stopping = true
	case "join":
		f.entries = append(f.entries, &fleetEntry{name: fmt.Sprintf("joined-%d", len(f.entries))})
	}
}

// Guards against a fleet that sends more further attempts than allowed because entries that start
// again have spent nothing, or because those that stay divide the slack among fewer.
func TestBoundHoldsWhileEntriesComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			t:     t,
			now:   time.Unix(1000, 0),
			heard: make(map[string]time.Time),
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			f.entries = append(f.entries, &fleetEntry{name: fmt.Sprintf("entry-%d", i)})
		}
		f.leaderSince = f.now
		f.isFirstStart = true
		f.step(0)
		f.isFirstStart = false
		// The fleet may have been up for a while when the disruptions begin.
		for range rapid.IntRange(0, 300).Draw(t, "steps before") {
			f.step(100 * time.Millisecond)
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			f.step(time.Duration(rapid.IntRange(20, 400).Draw(t, "passes")) * time.Millisecond)
			for range rapid.IntRange(0, 6).Draw(t, "calls") {
				if e := rapid.SampledFrom(f.entries).Draw(t, "called"); e.budget != nil {
					f.call(e)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "disrupted") == 0 {
				f.disrupt()
			}
		}
		f.check()
	})
}

// check checks the bound in each window that ends with an attempt.
func (f *fleet) check() {
	within := func(times []time.Time, from, to time.Time) float64 {
		n := 0.0
		for _, at := range times {
			if !at.Before(from) && !at.After(to) {
				n++
			}
		}
		return n
	}
	for _, last := range f.attempts {
		from := last.Add(-fleetWindow + time.Millisecond)
		// The calls of the window, the one before or the one half a window before count.
		calls := 0.0
		for _, before := range []time.Duration{0, fleetWindow / 2, fleetWindow} {
			calls = max(calls, within(f.calls, from.Add(-before), last.Add(-before)))
		}
		if got, want := within(f.attempts, from, last), fleetRatio*calls+fleetSlack; got > want {
			f.t.Fatalf("further attempts in the window to %s: got %.0f, want at most %.1f for %.0f calls", last.Sub(time.Unix(1000, 0)), got, want, calls)
		}
	}
}
