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

// fixedExchanger returns the same result for every attempt, and counts the attempts.
type fixedExchanger struct {
	result dispatcher.Result
	count  int
	after  func()
}

func (f *fixedExchanger) Exchange(context.Context, *dispatcher.Call, units.Attempt, *tracker.Upstream, *dispatcher.Stream) dispatcher.Result {
	f.count++
	f.after()
	return f.result
}

// fixedRouter picks the same upstream for every attempt.
type fixedRouter struct{}

func (fixedRouter) Pick(*dispatcher.Call, []units.Upstream) *tracker.Upstream {
	return &tracker.Upstream{Name: "u", Local: &tracker.LocalState{}}
}

func (f fixedRouter) PickRelease(call *dispatcher.Call, _ units.Release, tried []units.Upstream) (*tracker.Upstream, bool) {
	return f.Pick(call, tried), false
}

func (f fixedRouter) PickAgain(call *dispatcher.Call, _ units.Release, _, tried []units.Upstream) (*tracker.Upstream, bool) {
	return f.Pick(call, tried), false
}

// quarantineMessage is the leader's quarantine of one request.
func quarantineMessage(number uint64, request units.Fingerprint, remaining time.Duration) *messages.Quarantines {
	return &messages.Quarantines{
		Number: number,
		Requests: []*messages.Quarantine{{
			Request: uint64(request),
			Strikes: 1,
			UntilNs: timekeeper.Now().Add(remaining).UnixNano(),
		}},
	}
}

// Guards against an attempt that a quarantine does not stop: a first attempt, a retry of a
// repeatable call, or one that resumes a stream. A refusal states that nothing has run only if
// that is so.
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
			g := newLimitedGateway(t, time.Minute)
			quarantine := func() { g.quarantine.update(quarantineMessage(1, request, time.Minute)) }
			if c.before {
				quarantine()
			}
			x := &fixedExchanger{
				result: dispatcher.Result{Kind: dispatcher.OutcomeUnknown, ConnectionLost: true, Err: io.ErrUnexpectedEOF},
				after:  quarantine,
			}
			d := &dispatcher.Dispatcher{
				Limiter:   (*accountLimiter)(g),
				Recorder:  (*attemptRecorder)(g),
				Router:    fixedRouter{},
				Exchanger: x,
			}
			call := &dispatcher.Call{
				Repeatable:       true,
				Stream:           name == "known as a stream is broken",
				MaxAttempts:      3,
				Deadline:         time.Now().Add(time.Minute),
				BootTimeDeadline: timekeeper.Now().Add(time.Minute),
				Fingerprint:      request,
			}
			err := d.Do(t.Context(), call, nil)
			var refusal *dispatcher.Refusal
			if !errors.As(err, &refusal) || refusal.Kind != dispatcher.ProblemQuarantined {
				t.Fatalf("result: got %v, want it refused as quarantined", err)
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

// Guards against quarantines that an older response undoes, that never end, or that apply to
// other requests.
func TestQuarantineUpdates(t *testing.T) {
	now := timekeeper.Now()
	cases := map[string]struct {
		updates []*messages.Quarantines
		want    bool
	}{
		"none":                         {},
		"quarantined":                  {updates: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute)}, want: true},
		"older update afterwards":      {updates: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute), {Number: 1}}, want: true},
		"released afterwards":          {updates: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute), {Number: 3}}},
		"expired":                      {updates: []*messages.Quarantines{quarantineMessage(2, 7, -time.Minute)}},
		"another request":              {updates: []*messages.Quarantines{quarantineMessage(2, 8, time.Minute)}},
		"response without quarantines": {updates: []*messages.Quarantines{quarantineMessage(2, 7, time.Minute), nil}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &quarantine{}
			for _, m := range c.updates {
				q.update(m)
			}
			if got := q.isQuarantined(now, now, 7); got != c.want {
				t.Errorf("quarantined: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against an entry without a leader that lets a request crash one upstream after the
// other.
func TestEntryQuarantinesByItsOwnLosses(t *testing.T) {
	q := &quarantine{}
	now := timekeeper.Now()
	for n := range 3 {
		if q.isQuarantined(now, now, 7) {
			t.Fatalf("after %d losses: got it quarantined, want it after 3", n)
		}
		q.recordLoss(now, quarantiner.Loss{Request: 7, IncarnationID: units.IncarnationID(n)})
	}
	if !q.isQuarantined(now, now, 7) {
		t.Error("after 3 losses: got it not quarantined, want it quarantined")
	}
	if later := now.Add(localQuarantineTTL); q.isQuarantined(later, later, 7) {
		t.Error("after the entry's own quarantine: got it quarantined, want it left to the leader")
	}
}

// Guards against losses that are reported only once, to an instance that no longer leads.
func TestLossesAreReportedToEachLeader(t *testing.T) {
	p := &poller{gateway: &Gateway{Log: zerolog.Nop()}}
	now := timekeeper.Now()
	p.gateway.evidence.RecordLoss(now, quarantiner.Loss{Request: 7, IncarnationID: 1})
	answer := func(leadership uint64) { p.updateSuspects(now, &messages.EntryPollResponse{Leadership: leadership}) }
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{name: "no leader"},
		{name: "first leader", do: func() { answer(1) }, want: 1},
		{name: "no response yet", want: 1},
		{name: "first leader responds", do: func() { answer(1) }},
		{name: "second leader", do: func() { answer(2) }, want: 1},
		{name: "second leader responds", do: func() { answer(2) }},
		{name: "another loss", do: func() { p.gateway.evidence.RecordLoss(now, quarantiner.Loss{Request: 8, IncarnationID: 2}) }, want: 1},
	}
	for _, step := range steps {
		if step.do != nil {
			step.do()
		}
		if got := len(p.unreportedLosses(now)); got != step.want {
			t.Errorf("%s: got %d losses to report, want %d", step.name, got, step.want)
		}
	}
}
