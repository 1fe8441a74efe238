package limiter

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// stepsPerRun times rapid's hundred runs is 30,000 steps.
const stepsPerRun = 300

// Shares of a limit move between an entry and others at random, end, and come
// again; calls of all sizes arrive. Over any stretch of time the entry must not
// admit more than its shares earned in it, the burst, and one call: otherwise
// moving a share to and fro would print new allowance.
func TestBucketAdmitsNoMoreThanItsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		held := newBucket(now, parser.Limits{RequestsPerSecond: 10, TokensPerSecond: 1000})
		type moment struct {
			earned, admitted float64
		}
		history := []moment{{}}
		fraction, biggest := 0.0, 0.0
		for range stepsPerRun {
			last := history[len(history)-1]
			elapsed := time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond
			now = now.Add(elapsed)
			last.earned += held.limits.TokensPerSecond * fraction * elapsed.Seconds()
			if rapid.IntRange(0, 4).Draw(t, "moves") == 0 {
				fraction = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fraction")
				held.apply(now, []Share{{Fraction: fraction}})
			}
			cost := rapid.Float64Range(1, 3000).Draw(t, "cost")
			if limit, _ := held.short(now, cost); limit == "" {
				held.take(cost)
				held.running--
				last.admitted += cost
				biggest = max(biggest, cost)
			}
			history = append(history, last)
			for _, from := range history {
				got := last.admitted - from.admitted
				want := last.earned - from.earned + held.limits.TokensPerSecond*burstWindow.Seconds() + biggest
				if got > want+epsilon {
					t.Fatalf("tokens in a stretch: got %f, want at most %f", got, want)
				}
			}
		}
	})
}

// A large account floods a full service while a small one sends one call after
// another and asks again when it is refused. By its weight it is due one token
// for four of the large one's. However long the flood's backlog is and however
// cheap its calls are, the small one must not fall behind by more than a call
// of each and the credit.
func TestFloodDoesNotStarveASmallAccount(t *testing.T) {
	const (
		smallCost = 100
		largeCost = 500
		weight    = 4
	)
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{
			bound:  rapid.IntRange(2, 32).Draw(t, "bound"),
			target: 250 * time.Millisecond,
		}
		dearest := rapid.Float64Range(1, largeCost).Draw(t, "dearest call")
		var small *item
		behind := 0.0
		serve := func(next *item) {
			if next == nil {
				return
			}
			behind += next.cost
			if next.account == "small" {
				behind = 0
				small = nil
			}
		}
		for range stepsPerRun {
			for range rapid.IntRange(1, 4).Draw(t, "flood") {
				next := &item{account: "large", weight: weight, cost: rapid.Float64Range(1, dearest).Draw(t, "cost")}
				verdict, victim := q.arrive(next)
				if verdict == runs {
					serve(next)
				}
				if victim != nil && victim == small {
					small = nil
				}
			}
			if small == nil {
				next := &item{account: "small", weight: 1, cost: smallCost}
				switch verdict, _ := q.arrive(next); verdict {
				case runs:
					serve(next)
				case waits:
					small = next
				case refused:
				}
			}
			if q.running == q.bound {
				serve(q.leave(time.Second))
			}
			// A call of each, and what an account may catch up by its credit.
			if want := float64(weight*(2*smallCost+credit) + largeCost); behind > want {
				t.Fatalf("large account's tokens since the small one's call: got %f, want at most %f", behind, want)
			}
		}
	})
}

// Two accounts of equal weight keep a service full with calls of different
// sizes. What they get must be equal in tokens, not in calls.
func TestSharesAreFairInTokens(t *testing.T) {
	q := &queue{
		bound:  4,
		target: time.Hour,
	}
	got := make(map[units.Account]float64)
	arrive := func(account units.Account, cost float64) {
		q.arrive(&item{account: account, weight: 1, cost: cost})
	}
	for range 8 {
		arrive("short", 10)
		arrive("long", 100)
	}
	for range 2000 {
		next := q.leave(time.Second)
		got[next.account] += next.cost
		arrive(next.account, next.cost)
	}
	if ratio := got["short"] / got["long"]; ratio < 0.95 || ratio > 1.05 {
		t.Errorf("tokens: got %v, want equal parts", got)
	}
}

// A service's queue is full and a call of higher priority comes. The lowest
// priority is given up first, and the account with the most waiting first.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	cases := map[string]struct {
		arriving item
		want     units.Account
	}{
		"higher comes":      {arriving: item{account: "new", weight: 1, cost: 1, priority: 0}, want: "low"},
		"lowest comes":      {arriving: item{account: "new", weight: 1, cost: 1, priority: 9}, want: "new"},
		"most of its class": {arriving: item{account: "low", weight: 1, cost: 1, priority: 2}, want: "low"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &queue{bound: 1}
			q.arrive(&item{account: "high", weight: 1, cost: 1})
			for _, account := range []units.Account{"high", "high", "high", "low"} {
				next := &item{account: account, weight: 1, cost: 1}
				if account == "low" {
					next.priority = 2
				}
				q.arrive(next)
			}
			verdict, victim := q.arrive(&c.arriving)
			if verdict == refused {
				victim = &c.arriving
			}
			if victim == nil || victim.account != c.want {
				t.Errorf("victim: got %+v, want of %s", victim, c.want)
			}
		})
	}
}

// newLimiter returns a limiter whose service has one engine with some slots.
func newLimiter(t *testing.T, slots int, limits parser.Limits) (*Limiter, *dispatcher.Call) {
	t.Helper()
	configuration, err := parser.ParseConfiguration("test", []byte(fmt.Sprintf(`version: 1
brands: [{name: b}]
client-accounts: [{name: a, brand: b, limits: {requests-per-second: %f, concurrency: %d}}]
services: [{name: s, kind: model, brands: [b], models: [m]}]
`, limits.RequestsPerSecond, limits.Concurrency)))
	if err != nil {
		t.Fatal(err)
	}
	l := &Limiter{
		Snapshot: &atomic.Pointer[indexer.Snapshot]{},
	}
	l.Snapshot.Store(indexer.Build(configuration, []*tracker.Upstream{{Name: "u", Service: "s", Slots: slots, Load: tracker.Load{Running: slots}}}))
	return l, &dispatcher.Call{
		Brand:   "b",
		Service: "s",
		Account: &configuration.ClientAccounts[0],
	}
}

// Calls come at twice what a service can run. What cannot be taken soon must be
// refused at once as not run, with when to come again, and what was admitted
// must go on as before.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, call := newLimiter(t, 2, parser.Limits{})
		var releases []func()
		for range 2 {
			release, err := l.Admit(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			releases = append(releases, release)
		}
		results := make(chan error, minQueue)
		for range minQueue {
			go func() {
				release, err := l.Admit(context.Background(), call)
				if err == nil {
					release()
				}
				results <- err
			}()
		}
		synctest.Wait()
		began := time.Now()
		_, err := l.Admit(t.Context(), call)
		if got := time.Since(began); got != 0 {
			t.Errorf("refusal: got after %s, want at once", got)
		}
		checkRefusal(t, err, dispatcher.ProblemOverload)
		for _, release := range releases {
			release()
		}
		for range minQueue {
			if err := <-results; err != nil {
				t.Errorf("waiting call: got %v, want admitted", err)
			}
		}
	})
}

// Calls take four seconds each. The queue must know so and hold only what can
// start within its target; one that took calls for instant would fill without
// end, and refuse each call after a wait in place of at once.
func TestQueueLearnsHowLongCallsTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, call := newLimiter(t, 64, parser.Limits{})
		for range 3 {
			release, err := l.Admit(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			release()
		}
		line := l.queues["s"]
		if got, want := line.mean, 4*time.Second; got != want {
			t.Errorf("mean: got %s, want %s", got, want)
		}
		if got, want := line.limit(), minQueue; got != want {
			t.Errorf("queue's length: got %d, want %d", got, want)
		}
	})
}

func checkRefusal(t *testing.T, err error, kind dispatcher.ProblemKind) {
	t.Helper()
	var refusal *dispatcher.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("error: got %v, want a refusal", err)
	}
	if refusal.Kind != kind || refusal.Executed != dispatcher.ExecutedNo || refusal.RetryAfter <= 0 {
		t.Errorf("refusal: got %+v, want %s, not executed, with a time to ask again", refusal, kind)
	}
}

// An account calls faster than its limit, and holds more calls than it may. It
// is told so, and may go on once time has passed or a call has ended.
func TestAccountsLimitIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, call := newLimiter(t, 100, parser.Limits{RequestsPerSecond: 10, Concurrency: 5})
		var releases []func()
		for range 5 {
			release, err := l.Admit(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			releases = append(releases, release)
		}
		_, err := l.Admit(t.Context(), call)
		checkRefusal(t, err, dispatcher.ProblemLimit)
		for _, release := range releases {
			release()
		}
		admitted := 0
		for range 40 {
			if release, err := l.Admit(t.Context(), call); err == nil {
				admitted++
				release()
			}
		}
		if got, want := admitted, 15; got != want {
			t.Errorf("admitted of the burst's rest: got %d, want %d", got, want)
		}
	})
}

// BenchmarkRefusal measures what a refused call costs an entry that is overloaded.
func BenchmarkRefusal(b *testing.B) {
	configuration, err := parser.ParseConfiguration("test", []byte("version: 1\nbrands: [{name: b}]\n"+
		"client-accounts: [{name: a, brand: b, limits: {concurrency: 1}}]\nservices: [{name: s, kind: model, brands: [b], models: [m]}]\n"))
	if err != nil {
		b.Fatal(err)
	}
	l := &Limiter{
		Snapshot: &atomic.Pointer[indexer.Snapshot]{},
	}
	l.Snapshot.Store(indexer.Build(configuration, nil))
	call := &dispatcher.Call{Brand: "b", Service: "s", Account: &configuration.ClientAccounts[0]}
	if _, err := l.Admit(b.Context(), call); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = l.Admit(b.Context(), call)
	}
}
