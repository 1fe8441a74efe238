package allocator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// One account sends several times its limit through a few entries, and the
// distribution over entries changes. Over all entries together no window may run
// more than the limit allows, and most of the limit must be usable.
func TestHotAccountIsHeldToItsLimit(t *testing.T) { inBothModes(t, testHotAccountIsHeldToItsLimit) }

func testHotAccountIsHeldToItsLimit(t *testing.T, byUrgency bool) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 9).Draw(t, "entries"), byUrgency)
		loadFactor := rapid.Float64Range(1.5, 8).Draw(t, "times")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		weights := make([]float64, len(f.meters))
		for i := range weights {
			weights[i] = random.Float64() * random.Float64()
		}
		const step = 10 * time.Millisecond
		const meanSize = 3000.0
		now := start
		for n := range 3000 {
			now = now.Add(step)
			for i := range f.meters {
				// The entries poll at different steps, and each response takes
				// three steps.
				switch (n + i*7) % 20 {
				case 0:
					f.poll(now, i)
				case 3:
					f.respond(now, i)
				}
			}
			if n == 1500 {
				weights[0], weights[1] = weights[1], weights[0]
			}
			total := 0.0
			for _, w := range weights {
				total += w
			}
			for i, w := range weights {
				expected := loadFactor * f.account.Rate * step.Seconds() * w / total / meanSize
				for random.Float64() < expected {
					expected--
					f.call(now, i, meanSize*2*random.Float64())
				}
			}
		}
		if got, want := f.maximum(), f.allowed(); got > want {
			t.Fatalf("tokens run in one window: got %.0f, want at most %.0f", got, want)
		}
		ran := 0.0
		for _, r := range f.ran {
			ran += r.size
		}
		if got, want := ran, 0.85*f.account.Rate*30; got < want {
			t.Fatalf("ran in total: got %.0f tokens, want at least %.0f", got, want)
		}
	})
}

// The leader is lost while one account sends several times its limit, and the next
// leader knows nothing of what was admitted; entries are killed and restarted in
// the meantime. No window may run more than the limit allows.
func TestLimitHoldsOverALostLeader(t *testing.T) { inBothModes(t, testLimitHoldsOverALostLeader) }

func testLimitHoldsOverALostLeader(t *testing.T, byUrgency bool) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 9).Draw(t, "entries"), byUrgency)
		loadFactor := rapid.Float64Range(1.2, 8).Draw(t, "times")
		lostAt := rapid.IntRange(200, 900).Draw(t, "lost at")
		recoveredAt := lostAt + rapid.IntRange(30, 400).Draw(t, "lost for")
		restarts := rapid.IntRange(0, 2).Draw(t, "restarts")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const step = 10 * time.Millisecond
		const meanSize = 3000.0
		incarnations := make([]units.Incarnation, len(f.meters))
		now := start
		for n := range 2000 {
			now = now.Add(step)
			if n == recoveredAt {
				f.allocator = &Allocator{Lease: 4 * time.Second, Since: now, Window: window}
			}
			if n == lostAt+20 {
				for i := range restarts {
					f.meters[i] = f.newMeter()
					incarnations[i]++
				}
			}
			for i := range f.meters {
				if n >= lostAt && n < recoveredAt {
					continue
				}
				switch (n + i*7) % 20 {
				case 0:
					f.allocator.RecordDemand(now, entryName(i), incarnations[i], f.meters[i].ReportDemand(now))
				case 3:
					f.respond(now, i)
				}
			}
			for i := range f.meters {
				expected := loadFactor * f.account.Rate * step.Seconds() / float64(len(f.meters)) / meanSize
				for random.Float64() < expected {
					expected--
					f.call(now, i, meanSize*2*random.Float64())
				}
			}
		}
		if got, want := f.maximum(), f.allowed(); got > want {
			t.Fatalf("tokens run in one window: got %.0f, want at most %.0f", got, want)
		}
	})
}

// Two leaders are lost within some seconds, the second shortly after it has taken
// over from the first, while one account begins to send several times its limit,
// unevenly and with small or large calls. Entries use their grants without contact,
// each new leader that assumes the account to have room grants more than there is,
// and entries go on admitting at their rate despite a debt. No window may run more
// than the limit allows.
func TestLimitHoldsOverTwoLostLeaders(t *testing.T) { inBothModes(t, testLimitHoldsOverTwoLostLeaders) }

func testLimitHoldsOverTwoLostLeaders(t *testing.T, byUrgency bool) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 9).Draw(t, "entries"), byUrgency)
		loadFactor := rapid.Float64Range(2, 8).Draw(t, "times")
		firstLostAt := rapid.IntRange(400, 700).Draw(t, "first lost at")
		secondLostAt := firstLostAt + rapid.IntRange(100, 500).Draw(t, "second lost after")
		lostFor := rapid.IntRange(30, 250).Draw(t, "lost for")
		hotFrom := firstLostAt + rapid.IntRange(-150, 100).Draw(t, "hot from")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		weights := make([]float64, len(f.meters))
		total := 0.0
		for i := range weights {
			weights[i] = random.Float64() * random.Float64()
			total += weights[i]
		}
		const step = 10 * time.Millisecond
		meanSize := rapid.SampledFrom([]float64{3000, 9000}).Draw(t, "mean size")
		now := start
		for n := range 2000 {
			now = now.Add(step)
			if n == firstLostAt+lostFor || n == secondLostAt+lostFor {
				f.allocator = &Allocator{Lease: 4 * time.Second, Since: now, Window: window}
			}
			if (n < firstLostAt || n >= firstLostAt+lostFor) && (n < secondLostAt || n >= secondLostAt+lostFor) {
				f.pollInTurn(now, n)
			}
			load := loadFactor
			if n < hotFrom {
				load = 0.4
			}
			for i, w := range weights {
				f.sendBurst(now, random, i, load*f.account.Rate*step.Seconds()*w/total, meanSize)
			}
		}
		if got, want := f.maximum(), f.allowed(); got > want {
			t.Fatalf("tokens run in one window: got %.0f, want at most %.0f", got, want)
		}
	})
}

// An account well within its limit sends bursts to one entry after the other.
// Almost none of its calls may be refused.
func TestBurstsWithinTheLimitAreAdmitted(t *testing.T) {
	inBothModes(t, testBurstsWithinTheLimitAreAdmitted)
}

func testBurstsWithinTheLimitAreAdmitted(t *testing.T, byUrgency bool) {
	f := newFleet(9, byUrgency)
	random := rand.New(rand.NewPCG(7, 7))
	now := start
	asked, refused := 0, 0
	// Entries poll for some seconds before the first call, as they do before the
	// load balancer sends them any.
	for n := -400; n < 4000; n++ {
		now = now.Add(10 * time.Millisecond)
		for i := range f.meters {
			switch (n + 400) % 20 {
			case 0:
				f.poll(now, i)
			case 3:
				f.respond(now, i)
			}
		}
		if n < 0 {
			continue
		}
		// Half of the limit on average, in bursts of three calls.
		if random.Float64() < 0.11 {
			i := random.IntN(len(f.meters))
			for range 3 {
				asked++
				if !f.call(now, i, 3000) {
					refused++
				}
			}
		}
	}
	if got, want := refused, asked/150; got > want {
		t.Errorf("refused: got %d of %d, want at most %d", got, asked, want)
	}
}

// An account has run into debt over all entries. Each entry that is notified of the
// debt waits until its share of it is paid; otherwise all of them would go on
// admitting at the account's rate despite the debt.
func TestDebtIsPaidFirst(t *testing.T) { inBothModes(t, testDebtIsPaidFirst) }

func testDebtIsPaidFirst(t *testing.T, byUrgency bool) {
	m := &LocalLimiter{
		Window:    window,
		ByUrgency: byUrgency,
	}
	account := &matcher.Account{Name: "a", CountsTokens: true, Rate: 200_000, Burst: 200_000}
	m.SetShare(start, account, 0.5, -200_000)
	if decision := m.Decide(start.Add(500*time.Millisecond), account, Ask{Size: 1000}); decision.Admitted {
		t.Error("call 0.5 s after a debt of 1 s: got admitted, want refused")
	}
	if decision := m.Decide(start.Add(1200*time.Millisecond), account, Ask{Size: 1000}); !decision.Admitted {
		t.Error("call once the debt is paid: got refused, want admitted")
	}
}

// A call that is larger than an entry's whole share must be admitted eventually.
func TestLargeCallIsNotStarved(t *testing.T) { inBothModes(t, testLargeCallIsNotStarved) }

func testLargeCallIsNotStarved(t *testing.T, byUrgency bool) {
	m := &LocalLimiter{
		Window:    window,
		ByUrgency: byUrgency,
	}
	account := &matcher.Account{Name: "a", Rate: 1000, Burst: 1000}
	if decision := m.Decide(start, account, Ask{Size: 1e9}); !decision.Admitted {
		t.Error("large call at a full bucket: got refused, want admitted")
	}
	if decision := m.Decide(start, account, Ask{Size: 10}); decision.Admitted || decision.RetryAfter <= 0 {
		t.Errorf("call after the large one: got admitted %t with a wait of %v, want refused with a wait", decision.Admitted, decision.RetryAfter)
	}
}

// An account is well within its limit, and its large calls arrive at entries that
// had no recent calls of it and were granted little. They must be admitted: once
// refused, they are retried seconds later. No window may run more than the limit
// allows, whatever the call sizes.
func TestLargeCallsWithinTheLimitRunAnywhere(t *testing.T) {
	inBothModes(t, testLargeCallsWithinTheLimitRunAnywhere)
}

func testLargeCallsWithinTheLimitRunAnywhere(t *testing.T, byUrgency bool) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 30).Draw(t, "entries"), byUrgency)
		f.account.Rate = rapid.Float64Range(30_000, 400_000).Draw(t, "rate")
		f.account.Burst = f.account.Rate
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		meanSize := 0.15 * f.meters[0].Window.burst(f.account)
		asked, refused := 0, 0
		now := start
		for n := -400; n < 3000; n++ {
			now = now.Add(10 * time.Millisecond)
			f.pollInTurn(now, n+400)
			if n >= 0 && random.Float64() < 0.4*f.account.Rate*0.01/meanSize {
				asked++
				if !f.call(now, random.IntN(len(f.meters)), meanSize*(0.5+random.Float64())) {
					refused++
				}
			}
		}
		if got, maximum := refused, 2+asked/25; got > maximum {
			t.Fatalf("refused: got %d of %d, want at most %d", got, asked, maximum)
		}
		if got, want := f.maximum(), f.allowed(); got > want {
			t.Fatalf("tokens run in one window: got %.0f, want at most %.0f", got, want)
		}
	})
}

// One account sends several times its limit in small and large calls through some
// entries, so that its level is near zero all the time. If a call needed room for
// its whole size, the small calls would use up every refill and no large call would
// ever be admitted.
func TestLargeCallsRunBesideSmallOnes(t *testing.T) { inBothModes(t, testLargeCallsRunBesideSmallOnes) }

func testLargeCallsRunBesideSmallOnes(t *testing.T, byUrgency bool) {
	f := newFleet(8, byUrgency)
	random := rand.New(rand.NewPCG(5, 5))
	asked, ran := make(map[float64]int), make(map[float64]int)
	now := start
	for n := -400; n < 2000; n++ {
		now = now.Add(10 * time.Millisecond)
		f.pollInTurn(now, n+400)
		if n < 0 {
			continue
		}
		for _, size := range []float64{2_000, 20_000, 60_000} {
			if random.Float64() < 3*f.account.Rate/3*0.01/size {
				asked[size]++
				if f.call(now, random.IntN(len(f.meters)), size) {
					ran[size]++
				}
			}
		}
	}
	smallest := float64(ran[2_000]) / float64(asked[2_000])
	for size := range asked {
		if got := float64(ran[size]) / float64(asked[size]); got < smallest/4 {
			t.Errorf("fraction admitted of calls of %.0f tokens: got %.2f, want at least a quarter of the %.2f of small calls", size, got, smallest)
		}
	}
	if got, want := f.maximum(), f.allowed(); got > want {
		t.Errorf("tokens run in one window: got %.0f, want at most %.0f", got, want)
	}
}

func TestNewLeaderKeepsSharesUntilSettled(t *testing.T) {
	d := &Allocator{Lease: time.Second, Since: start, Window: window}
	account := &matcher.Account{Name: "a", Rate: 1000, Burst: 1000}
	d.RecordDemand(start, "e1", 1, map[units.Account]Demand{"a": {Rate: 1}})
	if _, _, known := d.Share(start.Add(settleDelay-time.Millisecond), "e1", account); known {
		t.Error("share before all entries have polled: got one, want none")
	}
	d.RecordDemand(start.Add(2*time.Second), "e1", 1, map[units.Account]Demand{"a": {Rate: 1}})
	if got, _, known := d.Share(start.Add(2*time.Second), "e1", account); !known || got != 1 {
		t.Errorf("share: got %v, known %t, want 1", got, known)
	}
}

// An account of a large fleet sends several times its limit through all of two
// hundred entries, with calls of all sizes. Each entry's share is less than one
// call. What the limit allows must still be usable: callers may be refused only for
// exceeding the limit.
func TestHotAccountUsesItsLimitInALargeFleet(t *testing.T) {
	inBothModes(t, testHotAccountUsesItsLimitInALargeFleet)
}

func testHotAccountUsesItsLimitInALargeFleet(t *testing.T, byUrgency bool) {
	cases := map[string]struct {
		entries    int
		rate       float64
		loadFactor float64
		meanSize   float64
	}{
		"eight entries":       {entries: 8, rate: 637_000, loadFactor: 3.4, meanSize: 4_000},
		"sixty entries":       {entries: 60, rate: 637_000, loadFactor: 3.4, meanSize: 4_000},
		"two hundred entries": {entries: 195, rate: 637_000, loadFactor: 3.4, meanSize: 4_000},
		"a smaller account":   {entries: 195, rate: 145_000, loadFactor: 3.4, meanSize: 4_000},
		"large calls":         {entries: 195, rate: 637_000, loadFactor: 3.4, meanSize: 12_000},
		"just above":          {entries: 195, rate: 637_000, loadFactor: 1.2, meanSize: 4_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.entries, byUrgency)
			f.account.Rate, f.account.Burst = c.rate, c.rate
			random := rand.New(rand.NewPCG(1, 1))
			const step = 10 * time.Millisecond
			now := start
			ran := 0.0
			for n := range 4000 {
				now = now.Add(step)
				f.pollInTurn(now, n)
				load := 0.5
				if n > 1000 {
					load = c.loadFactor
				}
				for expected := load * f.account.Rate * step.Seconds() / c.meanSize; random.Float64() < expected; expected-- {
					size := min(c.meanSize*math.Exp(1.2*random.NormFloat64()-0.72), 55_000)
					if f.call(now, random.IntN(c.entries), size) && n > 2000 {
						ran += size
					}
				}
			}
			if got, want := f.maximum(), f.allowed(); got > want {
				t.Errorf("tokens run in one window: got %.0f, want at most %.0f", got, want)
			}
			used := ran / f.account.Rate / 20
			t.Logf("used %.2f of the account's rate; the fullest window had %.2f of its allowance", used, f.maximum()/f.allowed())
			if want := 0.9; used < want {
				t.Errorf("ran over 20 s: got %.2f of the account's rate, want at least %.2f", used, want)
			}
		})
	}
}
