package allocator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An idle account turns hot at all entries at once, with calls of all sizes up to
// its bucket's capacity. Each entry sees room for all of its calls until the next
// response.
func TestBorrowingHoldsTheLimit(t *testing.T) { inBothModes(t, testBorrowingHoldsTheLimit) }

func testBorrowingHoldsTheLimit(t *testing.T, byUrgency bool) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHotAccount(t)
		f := newFleet(h.entries, byUrgency)
		h.play(f)
		if got, want := f.maximum(), f.allowed(); got > want {
			t.Fatalf("tokens run in one window: got %.0f, want at most %.0f", got, want)
		}
	})
}

// Guards against grants that do not hold the limit where shares alone do not: several entries borrow for calls as large as the
// account's burst within one cycle of polls.
func TestGrantsHoldTheLimitWhereEntriesBorrow(t *testing.T) {
	inBothModes(t, testGrantsHoldTheLimitWhereEntriesBorrow)
}

func testGrantsHoldTheLimitWhereEntriesBorrow(t *testing.T, byUrgency bool) {
	check := func(t interface{ Fatalf(string, ...any) }, h hotAccount) {
		f := newFleet(h.entries, byUrgency)
		f.grants = newGrantFleet(f)
		h.play(f)
		if got, want := f.maximum(), f.allowed(); got > want {
			t.Fatalf("%+v: tokens run in one window: got %.0f, want at most %.0f", h, got, want)
		}
	}
	// Shares alone let 810,053 and 762,504 tokens run of 786,834 and 722,719 here.
	check(t, hotAccount{
		entries:    51,
		rate:       65336.8125,
		loadFactor: 4.171875,
		meanSize:   20_000,
		seed:       0x61,
	})
	check(t, hotAccount{
		entries:    21,
		rate:       58860.5,
		loadFactor: 4.171875,
		meanSize:   20_000,
		seed:       0x61,
	})
	rapid.Check(t, func(t *rapid.T) { check(t, drawHotAccount(t)) })
}

// hotAccount is an idle account that turns hot at all entries at once.
type hotAccount struct {
	entries    int
	rate       float64
	loadFactor float64
	meanSize   float64
	seed       uint64
}

func drawHotAccount(t *rapid.T) hotAccount {
	return hotAccount{
		entries:    rapid.IntRange(2, 90).Draw(t, "entries"),
		rate:       rapid.Float64Range(30_000, 1_000_000).Draw(t, "rate"),
		loadFactor: rapid.Float64Range(2, 6).Draw(t, "times"),
		meanSize:   rapid.SampledFrom([]float64{2_000, 8_000, 20_000}).Draw(t, "mean"),
		seed:       rapid.Uint64().Draw(t, "seed"),
	}
}

// play sends the account's calls to a fleet.
func (h hotAccount) play(f *fleet) {
	f.account.Rate = h.rate
	f.account.Burst = f.account.Rate
	random := rand.New(rand.NewPCG(h.seed, 4))
	now := start
	for n := range 3000 {
		// A cycle of polls takes a tenth of a second, as in a fleet of this
		// size.
		now = now.Add(5 * time.Millisecond)
		f.pollInTurn(now, n)
		load := 0.3
		if n > 1200 {
			load = h.loadFactor
		}
		for expected := load * f.account.Rate * 0.005 / h.meanSize; random.Float64() < expected; expected-- {
			size := h.meanSize * math.Exp(1.2*random.NormFloat64()-0.72)
			f.call(now, random.IntN(len(f.meters)), min(size, window.burst(f.account)))
		}
	}
}
