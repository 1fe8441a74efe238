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

// TestMain fixes the seed of the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// stepsPerRun times rapid's hundred runs is 30,000 steps.
const stepsPerRun = 300

// Shares of a limit move between an entry and others at random, expire and return;
// calls of all sizes arrive. Over any span of time the entry must not admit more
// than its shares earned in it, plus the burst and one call; otherwise moving a
// share back and forth would create new allowance.
func TestBucketAdmitsAtMostItsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		limitBucket := newBucket(now, parser.Limits{RequestsPerSecond: 10, TokensPerSecond: 1000})
		type totals struct {
			earned, admitted float64
		}
		history := []totals{{}}
		fraction, largest := 0.0, 0.0
		for range stepsPerRun {
			last := history[len(history)-1]
			elapsed := time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond
			now = now.Add(elapsed)
			last.earned += limitBucket.limits.TokensPerSecond * fraction * elapsed.Seconds()
			if rapid.IntRange(0, 4).Draw(t, "moves") == 0 {
				fraction = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fraction")
				limitBucket.setShares(now, []Share{{Fraction: fraction}})
			}
			cost := rapid.Float64Range(1, 3000).Draw(t, "cost")
			if limit, _ := limitBucket.exhaustedLimit(now, cost); limit == "" {
				limitBucket.charge(cost)
				limitBucket.running--
				last.admitted += cost
				largest = max(largest, cost)
			}
			history = append(history, last)
			for _, from := range history {
				got := last.admitted - from.admitted
				want := last.earned - from.earned + limitBucket.limits.TokensPerSecond*burstWindow.Seconds() + largest
				if got > want+epsilon {
					t.Fatalf("tokens admitted in a time span: got %f, want at most %f", got, want)
				}
			}
		}
	})
}

// A large account floods a full service while a small one sends one call after
// another and retries when refused. By weight the small account is entitled to one
// token for four of the large one's. However long the flood's backlog is and
// however cheap its calls are, the small account must not fall behind by more than
// a call of each account and the credit.
func TestFloodDoesNotStarveASmallAccount(t *testing.T) {
	const (
		smallCost = 100
		largeCost = 500
		weight    = 4
	)
	rapid.Check(t, func(t *rapid.T) {
		q := &callQueue{
			maxRunning: rapid.IntRange(2, 32).Draw(t, "bound"),
			maxWait:    250 * time.Millisecond,
		}
		maxCost := rapid.Float64Range(1, largeCost).Draw(t, "dearest call")
		var small *queuedCall
		largeServed := 0.0
		serve := func(next *queuedCall) {
			if next == nil {
				return
			}
			largeServed += next.cost
			if next.account == "small" {
				largeServed = 0
				small = nil
			}
		}
		for range stepsPerRun {
			for range rapid.IntRange(1, 4).Draw(t, "flood") {
				next := &queuedCall{account: "large", weight: weight, cost: rapid.Float64Range(1, maxCost).Draw(t, "cost")}
				verdict, victim := q.enqueue(next)
				if verdict == verdictRuns {
					serve(next)
				}
				if victim != nil && victim == small {
					small = nil
				}
			}
			if small == nil {
				next := &queuedCall{account: "small", weight: 1, cost: smallCost}
				switch verdict, _ := q.enqueue(next); verdict {
				case verdictRuns:
					serve(next)
				case verdictWaits:
					small = next
				case verdictRefused:
				}
			}
			if q.running == q.maxRunning {
				serve(q.releaseSlot(time.Second))
			}
			// One call of each account, and the credit that an account may catch
			// up.
			if want := float64(weight*(2*smallCost+maxCredit) + largeCost); largeServed > want {
				t.Fatalf("large account's tokens since the small account's last call: got %f, want at most %f", largeServed, want)
			}
		}
	})
}

// Two accounts of equal weight keep a service full with calls of different sizes.
// They must get equal numbers of tokens, not of calls.
func TestSharesAreFairInTokens(t *testing.T) {
	q := &callQueue{
		maxRunning: 4,
		maxWait:    time.Hour,
	}
	got := make(map[units.Account]float64)
	enqueue := func(account units.Account, cost float64) {
		q.enqueue(&queuedCall{account: account, weight: 1, cost: cost})
	}
	for range 8 {
		enqueue("short", 10)
		enqueue("long", 100)
	}
	for range 2000 {
		next := q.releaseSlot(time.Second)
		got[next.account] += next.cost
		enqueue(next.account, next.cost)
	}
	if ratio := got["short"] / got["long"]; ratio < 0.95 || ratio > 1.05 {
		t.Errorf("tokens for each account: got %v, want equal amounts", got)
	}
}

// A service's queue is full and another call arrives. A call of the lowest priority
// must be evicted first, and among these one of the account with the most waiting
// calls.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	cases := map[string]struct {
		arriving queuedCall
		want     units.Account
	}{
		"higher comes":      {arriving: queuedCall{account: "new", weight: 1, cost: 1, priority: 0}, want: "low"},
		"lowest comes":      {arriving: queuedCall{account: "new", weight: 1, cost: 1, priority: 9}, want: "new"},
		"most of its class": {arriving: queuedCall{account: "low", weight: 1, cost: 1, priority: 2}, want: "low"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &callQueue{maxRunning: 1}
			q.enqueue(&queuedCall{account: "high", weight: 1, cost: 1})
			for _, account := range []units.Account{"high", "high", "high", "low"} {
				next := &queuedCall{account: account, weight: 1, cost: 1}
				if account == "low" {
					next.priority = 2
				}
				q.enqueue(next)
			}
			verdict, victim := q.enqueue(&c.arriving)
			if verdict == verdictRefused {
				victim = &c.arriving
			}
			if victim == nil || victim.account != c.want {
				t.Errorf("refused call: got %+v, want one of account %s", victim, c.want)
			}
		})
	}
}

// newLimiter returns a limiter whose service has one engine with the given number
// of slots.
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

// Calls arrive at twice the rate that a service can run. What cannot start soon
// must be refused at once as not executed, with a retry delay, and calls already
// admitted must go on as before.
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
		results := make(chan error, minQueueLength)
		for range minQueueLength {
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
			t.Errorf("time until refusal: got %s, want 0", got)
		}
		checkRefusal(t, err, dispatcher.ProblemOverload)
		for _, release := range releases {
			release()
		}
		for range minQueueLength {
			if err := <-results; err != nil {
				t.Errorf("waiting call: got %v, want admitted", err)
			}
		}
	})
}

// Calls take four seconds each. The queue must measure this and hold only what can
// start within its maximum wait; one that took calls to be instant would grow
// without bound and refuse each call after a wait instead of at once.
func TestQueueTracksMeanServiceTime(t *testing.T) {
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
		serviceQueue := l.queues["s"]
		if got, want := serviceQueue.meanServiceTime, 4*time.Second; got != want {
			t.Errorf("mean service time: got %s, want %s", got, want)
		}
		if got, want := serviceQueue.maxLength(), minQueueLength; got != want {
			t.Errorf("queue's maximum length: got %d, want %d", got, want)
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
		t.Errorf("refusal: got %+v, want %s, not executed, with a retry delay", refusal, kind)
	}
}

// An account calls faster than its limit and holds more concurrent calls than
// allowed. It must be refused with the reason, and admitted again once time has
// passed or a call has ended.
func TestAccountLimitIsEnforced(t *testing.T) {
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
			t.Errorf("calls admitted from the remaining burst: got %d, want %d", got, want)
		}
	})
}

// BenchmarkRefusal measures the cost of a refused call at an overloaded entry.
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
