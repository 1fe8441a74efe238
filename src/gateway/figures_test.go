package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/apportioner"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/retrier"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

// One account sends several times its limit. What is refused of it is no work for
// upstreams: counted as work, each call would seem to need fewer of them, and
// control would give back those that all other callers need.
func TestRefusedCallsAreNoLoad(t *testing.T) {
	cases := map[string]struct {
		spent float64
		lease time.Duration
		want  float64
	}{
		"let in":         {lease: time.Second, want: 1000},
		"over its limit": {spent: 1e6, lease: time.Second, want: 0},
		"no control":     {lease: -time.Second, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := limited(t, c.lease)
			call := &dispatcher.Call{
				Service:    "s",
				Prompt:     1000,
				Size:       1000,
				Account:    &parser.ClientAccount{Name: "a"},
				Credential: "key",
				Expires:    timekeeper.Now().Add(time.Minute),
			}
			_, _ = g.quota.Admit(timekeeper.Now(), g.world.Load().table.Account("a"), c.spent)
			_, _ = (*limits)(g).Admit(t.Context(), call)
			got := 0.0
			for _, load := range g.figures.loads(timekeeper.Now()) {
				got += load.GetTokens()
			}
			if got != c.want {
				t.Errorf("tokens asked for: got %v, want %v", got, c.want)
			}
		})
	}
}

// limited returns an entry with one account that has a limit.
func limited(t *testing.T, lease time.Duration) *Gateway {
	t.Helper()
	m := meter.New()
	t.Cleanup(func() { _ = m.Close() })
	g := &Gateway{
		figures: newFigures(m),
		quota:   &apportioner.LocalLimiter{Window: apportioner.Window{Length: 8 * time.Second}},
		budget:  &retrier.Budget{Window: time.Second, Now: timekeeper.Now},
	}
	g.world.Store(&world{
		lease: timekeeper.Now().Add(lease),
		table: matcher.NewTable(&matcher.Declaration{
			Accounts: []matcher.Account{{
				Name:     "a",
				Keys:     []string{"key"},
				ByTokens: true,
				Rate:     100_000,
				Burst:    100_000,
			}},
		}),
	})
	return g
}

// A stream lasts for seconds. The plan for upstreams must learn of its prompt when
// it comes and not when it is over, and how long it has been under way meanwhile.
func TestLoadIsToldWhenCallsCome(t *testing.T) {
	m := meter.New()
	defer func() { _ = m.Close() }()
	f := newFigures(m)
	now := timekeeper.Now()
	f.admitted(now, &dispatcher.Call{Service: "s", Prompt: 1000})
	load := f.loads(now.Add(2 * time.Second))[0]
	if got, want := load.GetTokens(), 1000.0; got != want {
		t.Errorf("tokens while the call is under way: got %v, want %v", got, want)
	}
	if got, want := load.GetCallSeconds(), 2.0; got != want {
		t.Errorf("seconds under way: got %v, want %v", got, want)
	}
	f.left(now.Add(3*time.Second), "s")
	if got, want := f.loads(now.Add(9 * time.Second))[0].GetCallSeconds(), 3.0; got != want {
		t.Errorf("seconds under way after its end: got %v, want %v", got, want)
	}
}

// Most prompts wait behind others before they are read. The measure of the speed
// of reading must come near to what the reading alone takes.
func TestSpeedOfReadingIsLearntUnderLoad(t *testing.T) {
	s := &serviceFigures{least: 10 * time.Millisecond}
	for n := range 400 {
		queue := time.Duration(n%4) * 40 * time.Millisecond
		s.learn(s.least+100*time.Millisecond+queue, 10_000)
	}
	if got := s.each; got < 0.8e-5 || got > 1.5e-5 {
		t.Errorf("seconds for a token: got %.2e, want about 1e-5", got)
	}
}

// The first prompts find nothing kept at the upstreams and take three times as long.
// An entry of a large fleet gets one prompt a second; by then its word on how many
// upstreams are needed must not go by the first ones any more.
func TestFirstPromptsAreSoonForgotten(t *testing.T) {
	s := &serviceFigures{least: 10 * time.Millisecond}
	s.learn(s.least+300*time.Millisecond, 10_000)
	for n := range 15 {
		queue := time.Duration(n%4) * 40 * time.Millisecond
		s.learn(s.least+100*time.Millisecond+queue, 10_000)
	}
	if got := s.each; got < 0.8e-5 || got > 1.5e-5 {
		t.Errorf("seconds for a token after 15 prompts: got %.2e, want about 1e-5", got)
	}
}

// The shortest wait is what every call waits, whatever its prompt; only what is
// beyond it is reading.
func TestReadingIsBeyondTheShortestWait(t *testing.T) {
	m := meter.New()
	defer func() { _ = m.Close() }()
	f := newFigures(m)
	f.served(&dispatcher.Call{Service: "s"}, "answered", 10*time.Millisecond)
	f.served(&dispatcher.Call{Service: "s", Prompt: 10_000}, "answered", 110*time.Millisecond)
	if got := f.services["s"].each; got < 0.95e-5 || got > 1.05e-5 {
		t.Errorf("seconds for a token: got %.3e, want about 1e-5", got)
	}
}
