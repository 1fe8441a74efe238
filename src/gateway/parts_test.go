package gateway

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// prefixes returns the parts of a prompt, the last of which is the request's own.
func prefixes(ids ...uint64) []dispatcher.PromptPrefix {
	var all []dispatcher.PromptPrefix
	for _, id := range ids {
		all = append(all, dispatcher.PromptPrefix{
			ID:     id,
			Tokens: 10,
		})
	}
	return all
}

// partsMessage is the leader's quarantine of a combination of parts.
func partsMessage(remaining time.Duration, parts ...uint64) *messages.Quarantine {
	var decoded []units.PromptPart
	for _, part := range parts {
		decoded = append(decoded, units.PromptPart(part))
	}
	return &messages.Quarantine{
		Request: uint64(quarantiner.KeyOfParts(decoded)),
		Parts:   parts,
		Strikes: 1,
		UntilNs: timekeeper.Now().Add(remaining).UnixNano(),
	}
}

// Guards against requests with a quarantined part that are sent on, and against harmless ones that are refused
// because they share some of the parts.
func TestQuarantinedPartsStopRequests(t *testing.T) {
	cases := map[string]struct {
		quarantines []*messages.Quarantine
		parts       []uint64
		want        bool
	}{
		"none":                             {parts: []uint64{1, 7, 9}},
		"the part":                         {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 7)}, parts: []uint64{1, 7, 9}, want: true},
		"the part comes first":             {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 7)}, parts: []uint64{7, 1, 9}, want: true},
		"the part comes last":              {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 7)}, parts: []uint64{1, 9, 7}},
		"the part is the only one":         {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 7)}, parts: []uint64{7}},
		"no parts":                         {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 7)}},
		"another part":                     {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 8)}, parts: []uint64{1, 7, 9}},
		"both parts of a combination":      {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 1, 7)}, parts: []uint64{7, 2, 1, 9}, want: true},
		"one part of a combination":        {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 1, 7)}, parts: []uint64{1, 2, 9}},
		"expired":                          {quarantines: []*messages.Quarantine{partsMessage(-time.Minute, 7)}, parts: []uint64{1, 7, 9}},
		"an expired and a valid one":       {quarantines: []*messages.Quarantine{partsMessage(-time.Minute, 1), partsMessage(time.Minute, 7)}, parts: []uint64{1, 7, 9}, want: true},
		"the part after a thousand others": {quarantines: []*messages.Quarantine{partsMessage(time.Minute, 7)}, parts: append(make([]uint64, 1000), 7, 9), want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, time.Minute)
			g.quarantine.update(&messages.Quarantines{
				Number:   1,
				Requests: c.quarantines,
			})
			err := g.checkQuarantine(&dispatcher.Call{Prefixes: prefixes(c.parts...)})
			if got := err != nil; got != c.want {
				t.Fatalf("refused: got %v, want %t", err, c.want)
			}
			var refusal *dispatcher.Refusal
			if c.want && (!errors.As(err, &refusal) || refusal.Executed != dispatcher.ExecutedNo || refusal.RetryAfter != 0 || refusal.Status != http.StatusServiceUnavailable) {
				t.Errorf("refusal: got %+v, want 503, not executed, without Retry-After", refusal)
			}
		})
	}
}

// Guards against an entry without a leader that lets requests with one part crash one upstream after the other, and
// against one that blocks a part that has run at it.
func TestEntryQuarantinesPartsByItsOwnLosses(t *testing.T) {
	const fatal = units.PromptPart(7)
	q := &quarantine{}
	now := timekeeper.Now()
	for n := range 4 {
		if got := q.quarantinedParts(now, now, []units.PromptPart{fatal}); got != nil {
			t.Fatalf("after %d losses: got %v quarantined, want none before 4", n, got)
		}
		now = now.Add(time.Second)
		q.recordPartsRun(now, []units.PromptPart{1})
		q.recordLoss(now, quarantiner.Loss{
			Request:       units.Fingerprint(n + 1),
			IncarnationID: units.IncarnationID(n + 1),
			Parts:         []units.PromptPart{1, fatal},
		})
	}
	if got := q.quarantinedParts(now, now, []units.PromptPart{2, fatal}); got == nil {
		t.Error("after 4 losses: got none quarantined, want the part")
	}
	if got := q.quarantinedParts(now, now, []units.PromptPart{1}); got != nil {
		t.Errorf("a part that has run: got %v quarantined, want none", got)
	}
	if later := now.Add(localQuarantineTTL); q.quarantinedParts(later, later, []units.PromptPart{fatal}) != nil {
		t.Error("after the entry's own quarantine: got it quarantined, want it left to the leader")
	}
}

// Guards against a fatal part that counts as harmless because of an answer that shows nothing, and against a
// harmless one that is suspected although an answer shows that it is.
func TestAnswersThatClearParts(t *testing.T) {
	cases := map[string]struct {
		result dispatcher.Result
		events int
		want   bool
	}{
		"complete stream":             {result: dispatcher.Result{Kind: dispatcher.Answered}, events: 3, want: true},
		"stream without an event":     {result: dispatcher.Result{Kind: dispatcher.Answered}},
		"complete answer":             {result: dispatcher.Result{Kind: dispatcher.Answered, Answer: &dispatcher.Answer{Status: http.StatusOK}}, want: true},
		"error of the upstream":       {result: dispatcher.Result{Kind: dispatcher.Answered, Answer: &dispatcher.Answer{Status: http.StatusInternalServerError}}},
		"failure that may be retried": {result: dispatcher.Result{Kind: dispatcher.Failed, Answer: &dispatcher.Answer{Status: http.StatusInternalServerError}}},
		"refusal":                     {result: dispatcher.Result{Kind: dispatcher.NotRun}},
		"cut at once":                 {result: dispatcher.Result{Kind: dispatcher.OutcomeUnknown, AnswerDuration: minPartRunTime / 2}, events: 1},
		"cut after a while":           {result: dispatcher.Result{Kind: dispatcher.OutcomeUnknown, AnswerDuration: minPartRunTime}, events: 1, want: true},
		"caller left at once":         {result: dispatcher.Result{Kind: dispatcher.CallerGone}},
		"caller left after a while":   {result: dispatcher.Result{Kind: dispatcher.CallerGone, AnswerDuration: minPartRunTime}, events: 1, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stream := dispatcher.NewStream(discardSink{}, 4)
			for n := range c.events {
				if err := stream.Event(units.Tokens(5+n), nil, nil); err != nil {
					t.Fatal(err)
				}
			}
			if got := hasWritten(c.result, stream, 4); got != c.want {
				t.Errorf("clears the parts: got %t, want %t", got, c.want)
			}
		})
	}
}

// discardSink discards a stream.
type discardSink struct{}

func (discardSink) Answer(*dispatcher.Answer) error  { return nil }
func (discardSink) Begin(http.Header) error          { return nil }
func (discardSink) Event(units.Tokens, []byte) error { return nil }
func (discardSink) End() error                       { return nil }
