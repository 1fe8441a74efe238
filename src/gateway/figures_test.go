package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

// One account sends several times its limit. What is refused of it is no work for
// upstreams: counted as work, each call would seem to need fewer of them, and
// control would give back those that all other callers need.
func TestRefusedCallsAreNoLoad(t *testing.T) {
	m := meter.New()
	defer func() { _ = m.Close() }()
	cases := map[string]struct {
		outcome string
		want    float64
	}{
		"answered":       {outcome: "answered", want: 1000},
		"over its limit": {outcome: string(dispatcher.ProblemLimit), want: 0},
		"no control":     {outcome: string(dispatcher.ProblemUnready), want: 0},
		"too late":       {outcome: string(dispatcher.ProblemDeadline), want: 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFigures(m)
			f.served(&dispatcher.Call{Service: "s", Prompt: 1000}, &matcher.Route{}, c.outcome, 0, time.Second)
			loads := f.loads(f.since.Add(time.Second))
			if got := loads[0].GetTokens(); got != c.want {
				t.Errorf("tokens asked for: got %v, want %v", got, c.want)
			}
		})
	}
}

// Most prompts wait behind others before they are read. The measure of the speed
// of reading must come near to what the reading alone takes.
func TestSpeedOfReadingIsLearntUnderLoad(t *testing.T) {
	s := &serviceFigures{least: 10 * time.Millisecond}
	for n := range 400 {
		queue := time.Duration(n%4) * 40 * time.Millisecond
		s.read(s.least+100*time.Millisecond+queue, 10_000)
	}
	if got := s.each; got < 0.8e-5 || got > 1.5e-5 {
		t.Errorf("seconds for a token: got %.2e, want about 1e-5", got)
	}
}

// The shortest wait is what every call waits; only what is beyond it says that
// upstreams are busy.
func TestWaitingIsBeyondTheShortestWait(t *testing.T) {
	m := meter.New()
	defer func() { _ = m.Close() }()
	f := newFigures(m)
	f.since = timekeeper.Now()
	for _, first := range []time.Duration{10 * time.Millisecond, 110 * time.Millisecond} {
		f.served(&dispatcher.Call{Service: "s"}, &matcher.Route{}, "answered", first, time.Second)
	}
	got := f.loads(f.since.Add(time.Second))[0].GetWaiting()
	if got < 0.095 || got > 0.105 {
		t.Errorf("waiting: got %.3f calls, want about 0.1", got)
	}
}
