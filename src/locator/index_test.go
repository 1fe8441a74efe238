package locator

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// prompt returns chained block hashes like those of real prompts; equal beginnings give equal
// hashes.
func prompt(first, length int) []uint64 {
	blocks := make([]uint64, length)
	chain := uint64(first+1) * 0x9e3779b97f4a7c15
	for i := range blocks {
		chain = (chain ^ chain>>29) * 0xbf58476d1ce4e5b9
		blocks[i] = chain
	}
	return blocks
}

// Cache events arrive late, twice, out of order or never, and the index overwrites entries when
// a bucket is full. A wrong entry costs a caller little time, but no match may claim more
// blocks than the prompt has, name an engine that never had the beginning of the prompt, or
// outlast the entry's TTL.
func TestFindReturnsNoMoreThanWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		x := New(3)
		added := make(map[uint32]map[int]time.Time)
		for range 50 {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 20 * time.Second, 2 * time.Minute}).Draw(t, "passed"))
			engine := uint32(rapid.IntRange(1, 12).Draw(t, "holder"))
			first := rapid.IntRange(0, 5).Draw(t, "prompt")
			blocks := prompt(first, rapid.IntRange(1, 40).Draw(t, "length"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				x.Add(now, engine, blocks)
				if added[engine] == nil {
					added[engine] = make(map[int]time.Time)
				}
				added[engine][first] = now
			case 1:
				x.Remove(now, engine, blocks[0])
				delete(added[engine], first)
			default:
				var found [MaxMatches]Match
				for _, match := range found[:x.Find(now, blocks, &found)] {
					at, wasAdded := added[match.Engine][first]
					if !wasAdded || now.Sub(at) > entryTTL+stampUnit {
						t.Fatalf("engine %d: got a match for blocks added at %v, want none at %v", match.Engine, at, now)
					}
					if got, limit := match.Blocks, float64(len(blocks)); got > limit || got <= 0 {
						t.Fatalf("blocks: got %v, want above 0 and at most %v", got, limit)
					}
				}
			}
		}
	})
}

// A long prompt was just computed at an engine, and one of the engine's events was lost. A call
// with the same beginning must still find nearly all of it there, and half as much after the
// half-life.
func TestFindToleratesAGap(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	x := New(8)
	blocks := prompt(1, 16)
	x.Add(now, 5, blocks)
	x.Remove(now, 5, blocks[7])
	var found [MaxMatches]Match
	if got, want := x.Find(now, blocks, &found), 1; got != want {
		t.Fatalf("engines: got %d, want %d", got, want)
	}
	if got, want := found[0].Blocks, 16.0; got != want {
		t.Errorf("blocks with a gap: got %v, want %v", got, want)
	}
	x.Find(now.Add(halfLife), blocks, &found)
	if got, want := found[0].Blocks, 8.0; got != want {
		t.Errorf("blocks after the half-life: got %v, want %v", got, want)
	}
}

// BenchmarkFind measures one lookup of a prompt that several engines have cached.
func BenchmarkFind(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	x := New(14)
	blocks := prompt(1, 64)
	for engine := range uint32(4) {
		x.Add(now, engine+1, blocks[:16*(engine+1)])
	}
	var found [MaxMatches]Match
	b.ReportAllocs()
	for b.Loop() {
		x.Find(now, blocks, &found)
	}
}
