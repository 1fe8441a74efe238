package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// refusing is every collaborator of a dispatcher whose upstreams refuse all.
type refusing struct {
	attempts int
	budget   int
	earned   int
	// unsent is how many attempts find no connection before one arrives.
	unsent int
}

func (r *refusing) Admit(context.Context, *Call) (func(), error) { return func() {}, nil }

func (r *refusing) Begin(context.Context, *Call) (*Answer, error) { return nil, nil }

func (r *refusing) Dispatching(context.Context, *Call, units.Attempt, units.Upstream) error {
	return nil
}

func (r *refusing) Finish(_ context.Context, _ *Call, _ *Answer, refusal *Refusal) *Refusal {
	return refusal
}

func (r *refusing) Pick(*Call, []units.Upstream) *tracker.Upstream {
	return &tracker.Upstream{Name: "u", Local: &tracker.LocalState{}}
}

func (r *refusing) Exchange(context.Context, *Call, units.Attempt, *tracker.Upstream, *Stream) Result {
	r.attempts++
	if r.attempts <= r.unsent {
		return Result{Kind: NotRun, Unreached: true, Unsent: true}
	}
	return Result{Kind: NotRun, RetryAfter: 3 * time.Second}
}

func (r *refusing) Earn(units.Service) { r.earned++ }

func (r *refusing) Spend(units.Service) bool {
	r.budget--
	return r.budget >= 0
}

func (r *refusing) Resume(service units.Service) bool { return r.Spend(service) }

type noSink struct{}

func (noSink) Answer(*Answer) error             { return nil }
func (noSink) Begin(http.Header) error          { return nil }
func (noSink) Event(units.Tokens, []byte) error { return nil }
func (noSink) End() error                       { return nil }

// All upstreams refuse. The call is tried again as often as the budget allows,
// each time after a longer wait, and then gets its final answer at once: not
// run, with the longest time that an upstream asked for.
func TestRetriesEndWithTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &refusing{budget: 2}
		d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake, Budget: fake}
		began := time.Now()
		err := d.Do(t.Context(), &Call{Deadline: began.Add(time.Minute)}, noSink{})
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Executed != ExecutedNo || refusal.RetryAfter != 3*time.Second {
			t.Errorf("answer: got %v, want a refusal, not run, with 3s", err)
		}
		if got, want := fake.attempts, 3; got != want {
			t.Errorf("attempts: got %d, want %d", got, want)
		}
		if got, least, most := time.Since(began), 3*firstBackoff/2, 3*firstBackoff; got < least || got > most {
			t.Errorf("waits: got %s, want %s to %s", got, least, most)
		}
		if fake.earned != 0 {
			t.Errorf("earned: got %d, want none for a refused call", fake.earned)
		}
	})
}

// Dozens of upstreams end at once, and the entry finds one after the other gone. None of
// these attempts arrives anywhere; its callers must not be refused for want of a budget
// that bounds arrivals. Those that arrive and are refused count as before.
func TestAttemptsThatArriveNowhereTakeNoBudget(t *testing.T) {
	cases := map[string]struct {
		unsent, budget, want int
	}{
		"no budget left":          {unsent: 3, want: 4},
		"then one that is spent":  {unsent: 2, budget: 1, want: 4},
		"all arrive":              {budget: 1, want: 2},
		"nobody can be connected": {unsent: 100, want: maxFruitless},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &refusing{budget: c.budget, unsent: c.unsent}
				d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake, Budget: fake}
				err := d.Do(t.Context(), &Call{Deadline: time.Now().Add(time.Minute)}, noSink{})
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Executed != ExecutedNo {
					t.Errorf("answer: got %v, want a refusal, not run", err)
				}
				if got := fake.attempts; got != c.want {
					t.Errorf("attempts: got %d, want %d", got, c.want)
				}
			})
		})
	}
}

// torn brings some events, and then finds no connection to go on where it was.
type torn struct {
	refusing
}

func (r *torn) Exchange(_ context.Context, _ *Call, _ units.Attempt, _ *tracker.Upstream, stream *Stream) Result {
	r.attempts++
	_ = stream.Event(units.Tokens(r.attempts), nil, nil)
	return Result{Kind: NotRun, Unreached: true, Unsent: true}
}

// An engine is killed under a stream, and no connection to it can be made again within
// the same attempt. That attempt has arrived: the next one counts against the budget, and
// must be made at all; an entry that took it for one that never arrived ended with its
// process.
func TestAttemptThatBroughtEventsHasArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &torn{refusing{budget: 3}}
		d := &Dispatcher{Limiter: fake, Recorder: fake, Router: fake, Exchanger: fake, Budget: fake}
		err := d.Do(t.Context(), &Call{Deadline: time.Now().Add(time.Minute), Stream: true, Repeatable: true}, noSink{})
		var refusal *Refusal
		if !errors.As(err, &refusal) {
			t.Errorf("answer: got %v, want a refusal", err)
		}
		if got, want := fake.attempts, 4; got != want {
			t.Errorf("attempts: got %d, want %d", got, want)
		}
	})
}

// slow is a budget that has room for streams from then on.
type slow struct {
	from  time.Time
	asked int
}

func (s *slow) Earn(units.Service) {}

func (s *slow) Spend(units.Service) bool { return false }

func (s *slow) Resume(units.Service) bool {
	s.asked++
	return !time.Now().Before(s.from)
}

// Many upstreams are lost at once with their streams, and the budget of all entries
// is spent. A stream must wait for it and go on; where there is none for as long as
// its caller waits, the caller is told so, and not that the call has not run.
func TestStreamsWaitForTheBudget(t *testing.T) {
	cases := map[string]struct {
		room  time.Duration
		whole bool
	}{
		"room at once":   {room: 0, whole: true},
		"room in time":   {room: resumePatience / 2, whole: true},
		"room too late":  {room: 2 * resumePatience},
		"never any room": {room: time.Hour},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				budget := &slow{from: began.Add(c.room)}
				fleet := &calm{back: began}
				d := &Dispatcher{
					Limiter:   fleet,
					Recorder:  fleet,
					Router:    fleet,
					Exchanger: fleet,
					Budget:    budget,
				}
				call := &Call{
					ID:         "call-1",
					Deadline:   began.Add(time.Minute),
					Repeatable: true,
					Stream:     true,
				}
				err := d.Do(t.Context(), call, sink{w: &world{call: call}})
				if got := err == nil; got != c.whole {
					t.Errorf("whole stream: got %t (%v), want %t", got, err, c.whole)
				}
				var refusal *Refusal
				if errors.As(err, &refusal) && refusal.Executed != ExecutedUnknown {
					t.Errorf("what the refusal says: got executed %s, want unknown", refusal.Executed)
				}
				if got, want := time.Since(began), min(c.room, resumePatience)+2*resumeWait; got > want {
					t.Errorf("the call's end: got after %s, want within %s", got, want)
				}
				if budget.asked == 0 {
					t.Error("budget: got not asked, want the attempt counted")
				}
			})
		})
	}
}
