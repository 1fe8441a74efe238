package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// lostAt returns attempts that all end like this, and counts them.
type lostAt struct {
	result dispatcher.Result
	count  int
	after  func()
}

func (l *lostAt) Exchange(context.Context, *dispatcher.Call, units.Attempt, *tracker.Upstream, *dispatcher.Stream) dispatcher.Result {
	l.count++
	l.after()
	return l.result
}

// anyUpstream offers the same upstream for every attempt.
type anyUpstream struct{}

func (anyUpstream) Pick(*dispatcher.Call, []units.Upstream) *tracker.Upstream {
	return &tracker.Upstream{Name: "u", Local: &tracker.LocalState{}}
}

// quarantineMessage is what the leader says of one request.
func quarantineMessage(number uint64, request units.Fingerprint, left time.Duration) *messages.Quarantines {
	return &messages.Quarantines{
		Number: number,
		Requests: []*messages.Quarantine{{
			Request: uint64(request),
			Strikes: 1,
			UntilNs: timekeeper.Now().Add(left).UnixNano(),
		}},
	}
}

// Guards against a sender that a quarantine does not stop: a first attempt, one more of a call
// that may be repeated, or one that goes on with a stream. A refusal says that nothing has run
// where nothing has.
func TestQuarantineStopsEachAttempt(t *testing.T) {
	const request units.Fingerprint = 7
	cases := map[string]struct {
		before   bool
		want     int
		executed dispatcher.Executed
	}{
		"known before the call":       {before: true, executed: dispatcher.ExecutedNo},
		"known after its first loss":  {want: 1, executed: dispatcher.ExecutedUnknown},
		"known as a stream is broken": {want: 1, executed: dispatcher.ExecutedUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := limited(t, time.Minute)
			quarantine := func() { g.quarantine.follow(quarantineMessage(1, request, time.Minute)) }
			if c.before {
				quarantine()
			}
			x := &lostAt{
				result: dispatcher.Result{Kind: dispatcher.Lost, Cut: true, Err: io.ErrUnexpectedEOF},
				after:  quarantine,
			}
			d := &dispatcher.Dispatcher{
				Limiter:   (*limits)(g),
				Recorder:  (*attempts)(g),
				Router:    anyUpstream{},
				Exchanger: x,
			}
			call := &dispatcher.Call{
				Repeatable:  true,
				Stream:      name == "known as a stream is broken",
				MaxAttempts: 3,
				Deadline:    time.Now().Add(time.Minute),
				Expires:     timekeeper.Now().Add(time.Minute),
				Fingerprint: request,
			}
			err := d.Do(t.Context(), call, nil)
			var refusal *dispatcher.Refusal
			if !errors.As(err, &refusal) || refusal.Kind != dispatcher.ProblemQuarantined {
				t.Fatalf("end: got %v, want it refused as quarantined", err)
			}
			if refusal.Executed != c.executed || refusal.Status != http.StatusServiceUnavailable {
				t.Errorf("refusal: got status %d executed %q, want 503 and %q", refusal.Status, refusal.Executed, c.executed)
			}
			if x.count != c.want {
				t.Errorf("attempts: got %d, want %d", x.count, c.want)
			}
		})
	}
}

// Guards against quarantines that an older answer undoes, that never end, or that touch others.
func TestQuarantinesAtAnEntry(t *testing.T) {
	now := timekeeper.Now()
	cases := map[string]struct {
		told []*messages.Quarantines
		want bool
	}{
		"none":                   {},
		"told":                   {told: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute)}, want: true},
		"told, then older news":  {told: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute), {Number: 1}}, want: true},
		"told, then released":    {told: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute), {Number: 3}}},
		"over":                   {told: []*messages.Quarantines{quarantineMessage(2, 7, -time.Minute)}},
		"another request's":      {told: []*messages.Quarantines{quarantineMessage(2, 8, time.Minute)}},
		"an answer without them": {told: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute), nil}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &quarantine{}
			for _, m := range c.told {
				q.follow(m)
			}
			if got := q.holds(now, now, 7); got != c.want {
				t.Errorf("quarantined: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against an entry without a leader that lets a request end one upstream after the other.
func TestEntryStopsWhatItSawItself(t *testing.T) {
	q := &quarantine{}
	now := timekeeper.Now()
	for n := range 3 {
		if q.holds(now, now, 7) {
			t.Fatalf("after %d losses: got it quarantined, want it after 3", n)
		}
		q.lose(now, quarantiner.Loss{Request: 7, Life: units.Life(n)})
	}
	if !q.holds(now, now, 7) {
		t.Error("after 3 losses: got it not quarantined, want it quarantined")
	}
	if later := now.Add(entryQuarantine); q.holds(later, later, 7) {
		t.Error("after the entry's own quarantine: got it quarantined, want it left to the leader")
	}
}

// Guards against a leader's news that is told once and heard by nobody who leads.
func TestLossesAreToldUntilALeaderHasHeardThem(t *testing.T) {
	p := &poller{gateway: &Gateway{Log: zerolog.Nop()}}
	now := timekeeper.Now()
	p.gateway.evidence.Lose(now, quarantiner.Loss{Request: 7, Life: 1})
	answer := func(leadership uint64) { p.followSuspects(now, &messages.EntryPollResponse{Leadership: leadership}) }
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{name: "no leader is known"},
		{name: "one leads", do: func() { answer(1) }, want: 1},
		{name: "it has not answered", want: 1},
		{name: "it has", do: func() { answer(1) }},
		{name: "another one leads", do: func() { answer(2) }, want: 1},
		{name: "and has heard it", do: func() { answer(2) }},
		{name: "one more is lost", do: func() { p.gateway.evidence.Lose(now, quarantiner.Loss{Request: 8, Life: 2}) }, want: 1},
	}
	for _, step := range steps {
		if step.do != nil {
			step.do()
		}
		if got := len(p.losses(now)); got != step.want {
			t.Errorf("%s: got %d told, want %d", step.name, got, step.want)
		}
	}
}
