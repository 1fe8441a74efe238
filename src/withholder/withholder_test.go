package withholder

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// startTime is the start time of the tests.
var startTime = time.Unix(1000, 0)

const (
	life      units.IncarnationID = 7
	otherLife units.IncarnationID = 8
)

// newWithholder returns a Withholder that extends no back-off.
func newWithholder() *Withholder {
	return &Withholder{Random: func() float64 { return 0 }}
}

// Guards against calls during a back-off: one that a later answer shortens, one that an answer of
// a call under way ends, and one that is lost when the next starts; and against a back-off that
// another incarnation inherits.
func TestBackoffsHoldUntilTheirEnd(t *testing.T) {
	type answer struct {
		at   time.Duration
		id   units.IncarnationID
		wait time.Duration
	}
	cases := map[string]struct {
		answers []answer
		// want is when the upstream may receive calls again.
		want time.Duration
	}{
		"none":                        {},
		"one":                         {answers: []answer{{id: life, wait: 3 * time.Second}}, want: 3 * time.Second},
		"fraction of a second":        {answers: []answer{{id: life, wait: 300 * time.Millisecond}}, want: 300 * time.Millisecond},
		"shorter one later":           {answers: []answer{{id: life, wait: 3 * time.Second}, {at: time.Second, id: life, wait: time.Second}}, want: 3 * time.Second},
		"longer one later":            {answers: []answer{{id: life, wait: 3 * time.Second}, {at: time.Second, id: life, wait: 4 * time.Second}}, want: 5 * time.Second},
		"another one after its end":   {answers: []answer{{id: life, wait: time.Second}, {at: 2 * time.Second, id: life, wait: time.Second}}, want: 3 * time.Second},
		"accepted calls during it":    {answers: append([]answer{{id: life, wait: 3 * time.Second}}, slices.Repeat([]answer{{at: time.Second, id: life}}, maxTrials)...), want: 3 * time.Second},
		"of another incarnation":      {answers: []answer{{id: otherLife, wait: 3 * time.Second}}},
		"beyond any reasonable limit": {answers: []answer{{id: life, wait: 1000 * time.Hour}}, want: maxBackoff},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWithholder()
			for _, a := range c.answers {
				if a.wait > 0 {
					w.RecordBackoff(startTime.Add(a.at), a.id, a.wait)
				} else {
					w.RecordAccepted(startTime.Add(a.at), startTime, a.id)
				}
			}
			last := time.Duration(0)
			for _, a := range c.answers {
				last = max(last, a.at)
			}
			for at := last; at < c.want; at += max(time.Millisecond, c.want/50) {
				now := startTime.Add(at)
				if got := w.StateOf(now, life); got != BackingOff || w.Admit(now, life) != BackingOff {
					t.Fatalf("state after %v: got %s, want %s", at, got, BackingOff)
				}
				if got, want := w.BackoffLeft(now, life), c.want-at; got != want {
					t.Errorf("left after %v: got %v, want %v", at, got, want)
				}
			}
			if got := w.StateOf(startTime.Add(c.want), life); got != Accepting {
				t.Errorf("state after %v: got %s, want %s", c.want, got, Accepting)
			}
			if got := len(w.BackingOff(startTime.Add(max(c.want, 3*time.Second)))); got != 0 {
				t.Errorf("back-offs at the end: got %d, want none", got)
			}
		})
	}
}

// Guards against a burst of calls when a back-off ends: each entry sends single calls first, and
// more with each call that is accepted.
func TestCallsReturnStepByStep(t *testing.T) {
	w := newWithholder()
	w.RecordBackoff(startTime, life, time.Second)
	now := startTime.Add(time.Second)
	rounds := 0
	for allowed := 1; allowed <= maxTrials; allowed *= 2 {
		rounds++
		sentAt := now
		admitted := 0
		for w.StateOf(now, life) == Accepting && admitted <= maxTrials {
			w.Admit(now, life)
			admitted++
		}
		if admitted > allowed {
			t.Fatalf("calls in round %d: got %d, want at most %d", rounds, admitted, allowed)
		}
		now = now.Add(20 * time.Millisecond)
		w.RecordAccepted(now, sentAt, life)
		for range admitted - 1 {
			w.RecordAccepted(now, startTime, life) // Answers to calls from before the back-off.
		}
	}
	if got := w.StateOf(now, life); got != Accepting || w.count.Load() != 0 {
		t.Errorf("after %d accepted calls: got %s and %d upstreams with a state, want %s and none", rounds, got, w.count.Load(), Accepting)
	}
}

// Guards against an upstream that is never used again because the answer to a trial call is lost.
func TestLostTrialIsRepeated(t *testing.T) {
	w := newWithholder()
	w.RecordBackoff(startTime, life, time.Second)
	now := startTime.Add(time.Second)
	w.Admit(now, life)
	if got := w.StateOf(now.Add(trialTimeout/2), life); got != Recovering {
		t.Errorf("state while the answer is awaited: got %s, want %s", got, Recovering)
	}
	now = now.Add(trialTimeout)
	if got := w.StateOf(now, life); got != Accepting {
		t.Fatalf("state after the timeout: got %s, want %s", got, Accepting)
	}
	w.Admit(now, life)
	if got := w.StateOf(now, life); got != Recovering {
		t.Errorf("state after the second trial: got %s, want %s", got, Recovering)
	}
}

// Guards against entries that return to an upstream in the same moment: their back-offs began
// together.
func TestBackoffsEndAtDifferentTimes(t *testing.T) {
	const wait = 3 * time.Second
	ends := make(map[time.Duration]int)
	for range 200 {
		w := &Withholder{}
		w.RecordBackoff(startTime, life, wait)
		left := w.BackoffLeft(startTime, life)
		if left < wait || left > wait+maxSpread {
			t.Fatalf("back-off: got %v, want %v to %v", left, wait, wait+maxSpread)
		}
		ends[left.Truncate(100*time.Millisecond)]++
	}
	for end, count := range ends {
		if count > 50 {
			t.Errorf("entries that return %v after the answer: got %d of 200, want at most 50", end, count)
		}
	}
}

// Guards against calls to an upstream that has said that it is leaving, for as long as a delayed
// heartbeat may bring it back, and against a state that is kept for ever.
func TestLeavingUpstreamStaysWithheld(t *testing.T) {
	w := newWithholder()
	if !w.RecordLeaving(startTime, life) || w.RecordLeaving(startTime, life) {
		t.Error("change: got it not reported at the first notice or reported again, want it reported once")
	}
	w.RecordBackoff(startTime, life, time.Second)
	unknown := func(units.IncarnationID) bool { return false }
	for _, after := range []time.Duration{0, time.Minute, retention} {
		now := startTime.Add(after)
		w.Retain(now, unknown)
		if after < retention && (w.StateOf(now, life) != Leaving || w.Admit(now, life) != Leaving) {
			t.Errorf("state after %v: got %s, want %s", after, w.StateOf(now, life), Leaving)
		}
		if got := w.StateOf(now, otherLife); got != Accepting {
			t.Errorf("state of the next incarnation: got %s, want %s", got, Accepting)
		}
	}
	if got := w.count.Load(); got != 0 {
		t.Errorf("states kept after %v: got %d, want none", retention, got)
	}
	w.RecordLeaving(startTime, life)
	w.Retain(startTime, unknown)
	w.Retain(startTime.Add(time.Second), func(units.IncarnationID) bool { return true })
	w.Retain(startTime.Add(retention), unknown)
	if got := w.StateOf(startTime.Add(retention), life); got != Leaving {
		t.Errorf("state of an upstream that came back: got %s, want %s", got, Leaving)
	}
}

// Guards against a call during any of the back-offs of an upstream, whatever the order of answers.
func TestNoCallDuringAnyBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &Withholder{Random: func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") }}
		now := startTime
		var until time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				wait := time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
				w.RecordBackoff(now, life, wait)
				if end := now.Add(wait); end.After(until) {
					until = end
				}
			case 1:
				w.RecordAccepted(now, now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*time.Millisecond), life)
			case 2:
				w.Retain(now, func(units.IncarnationID) bool { return rapid.Bool().Draw(t, "known") })
			case 3:
				if state := w.Admit(now, life); now.Before(until) && !state.Withheld() {
					t.Fatalf("state %v before the end of a back-off: got %s, want it withheld", until.Sub(now), state)
				}
			}
			if now.After(until.Add(maxSpread+trialTimeout)) && w.StateOf(now, life).Withheld() {
				t.Fatalf("state %v after the last back-off: got %s, want calls to be accepted", now.Sub(until), w.StateOf(now, life))
			}
		}
	})
}

// Guards against a plan that takes upstreams for idle that keep entries away: the fraction of the
// entries that are kept away counts, as long as they report it.
func TestSummaryOfBackoffs(t *testing.T) {
	s := &Summary{}
	s.Record(startTime, "e1", []units.IncarnationID{life, otherLife})
	s.Record(startTime, "e2", []units.IncarnationID{life})
	s.Record(startTime, "e3", nil)
	got := s.Fractions(startTime, 4)
	if got[life] != 0.5 || got[otherLife] != 0.25 {
		t.Errorf("fractions: got %v, want 0.5 and 0.25", got)
	}
	s.Record(startTime.Add(time.Second/2), "e1", []units.IncarnationID{otherLife})
	got = s.Fractions(startTime.Add(reportTTL), 4)
	if got[life] != 0 || got[otherLife] != 0.25 {
		t.Errorf("fractions after e2 fell silent: got %v, want 0 and 0.25", got)
	}
	s.Record(startTime.Add(reportTTL), "e1", nil)
	if got := s.Fractions(startTime.Add(reportTTL), 4); len(got) != 0 {
		t.Errorf("fractions after all back-offs: got %v, want none", got)
	}
}

// Guards against a back-off that is lost, or taken for the earlier incarnation's, because an upstream
// that has started again answers before control announces it; and against a new incarnation that
// counts as leaving because the earlier one did.
func TestAnswersBeforeAnIncarnationIsAnnounced(t *testing.T) {
	const wait = 10 * time.Second
	startedAt := startTime.Add(5 * time.Second)
	announcedAt := startedAt.Add(3 * time.Second)
	cases := map[string]struct {
		record func(w *Withholder)
		want   State
	}{
		"nothing":                            {record: func(*Withholder) {}, want: Accepting},
		"back-off of the earlier one":        {record: func(w *Withholder) { w.RecordBackoff(startTime, life, wait) }, want: Accepting},
		"back-off of the later one":          {record: func(w *Withholder) { w.RecordBackoff(startedAt.Add(time.Second), life, wait) }, want: BackingOff},
		"back-off while clocks differ":       {record: func(w *Withholder) { w.RecordBackoff(startedAt.Add(-time.Second), life, wait) }, want: BackingOff},
		"notice of leaving by the earlier":   {record: func(w *Withholder) { w.RecordLeaving(startTime, life) }, want: Accepting},
		"notice of leaving by the later one": {record: func(w *Withholder) { w.RecordLeaving(startedAt.Add(time.Second), life) }, want: Leaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWithholder()
			c.record(w)
			w.Succeed(life, otherLife, startedAt)
			if got := w.StateOf(announcedAt, otherLife); got != c.want {
				t.Errorf("state of the later incarnation: got %s, want %s", got, c.want)
			}
			if got := w.Admit(announcedAt, life); got != c.want {
				t.Errorf("attempt that was assigned to the earlier one: got %s, want %s", got, c.want)
			}
			w.RecordBackoff(announcedAt, life, wait) // The answer to that attempt.
			if got := w.StateOf(announcedAt.Add(wait/2), otherLife); got == Accepting {
				t.Errorf("state after an answer to that attempt: got %s, want it withheld", got)
			}
		})
	}
}
