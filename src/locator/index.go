package locator

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// bucketSize is how many engines the index holds for the blocks of one bucket.
	bucketSize = 8
	engineBits = 20
	stampBits  = 20
	tagShift   = engineBits + stampBits
	engineMask = 1<<engineBits - 1
	stampMask  = 1<<stampBits - 1
	stampUnit  = 250 * time.Millisecond
	// halfLife is the age at which an entry that was not renewed counts half.
	halfLife = 30 * time.Second
	// entryTTL is the age from which an entry counts nothing.
	entryTTL = 4 * time.Minute
	// Every block up to denseBlocks is looked up, and then every sparseStride-th, so that a
	// long prompt costs little more than a short one.
	denseBlocks  = 16
	sparseStride = 4
	// maxMissing is how many looked-up blocks in a row an engine may lack; a gap in its events
	// must not hide the cached blocks after it.
	maxMissing = 1
)

// MaxMatches bounds the engines found for one prompt.
const MaxMatches = bucketSize

// Match is how much of a prompt one engine is likely to have cached.
type Match struct {
	Engine uint32
	// Blocks is the expected number of cached leading blocks.
	Blocks  float64
	missing int
	weight  float64
}

// Index is a table of fixed size that is read and written without locks. Overwriting an entry
// is equivalent to losing an event, which the index has to tolerate anyway.
type Index struct {
	entries []atomic.Uint64
	mask    uint64
}

// New returns an index of 2^bits buckets.
func New(bits int) *Index {
	return &Index{
		entries: make([]atomic.Uint64, bucketSize<<bits),
		mask:    1<<bits - 1,
	}
}

// Add records that an engine has the blocks of a prompt cached.
func (x *Index) Add(now time.Time, engine uint32, blocks []uint64) {
	for i := 0; i < len(blocks); i = nextLookup(i) {
		x.Put(now, engine, blocks[i])
	}
}

// nextLookup returns the position of the next block to look up.
func nextLookup(i int) int {
	if i < denseBlocks {
		return i + 1
	}
	return i + sparseStride
}

// Put records that an engine has one block cached.
func (x *Index) Put(now time.Time, engine uint32, block uint64) {
	bucket := x.bucket(block)
	entry := tag(block) | uint64(engine&engineMask)<<stampBits | stamp(now)
	oldest, oldestAge := 0, int64(-1)
	for i := range bucket {
		stored := bucket[i].Load()
		if stored == 0 || stored>>stampBits == entry>>stampBits {
			bucket[i].Store(entry)
			return
		}
		if age := age(now, stored); age > oldestAge {
			oldest, oldestAge = i, age
		}
	}
	bucket[oldest].Store(entry)
}

// Remove records that an engine evicted a block; it returns how long ago the block was last
// recorded there, and whether it was.
func (x *Index) Remove(now time.Time, engine uint32, block uint64) (unused time.Duration, known bool) {
	bucket := x.bucket(block)
	entry := tag(block) | uint64(engine&engineMask)<<stampBits
	for i := range bucket {
		stored := bucket[i].Load()
		if stored == 0 || stored>>stampBits != entry>>stampBits {
			continue
		}
		bucket[i].CompareAndSwap(stored, 0)
		return time.Duration(age(now, stored)) * stampUnit, true
	}
	return 0, false
}

// Find writes the engines that have the beginning of a prompt cached to found and returns their
// number.
func (x *Index) Find(now time.Time, blocks []uint64, found *[MaxMatches]Match) int {
	if len(blocks) == 0 {
		return 0
	}
	count := x.findFirst(now, blocks[0], found)
	for i := nextLookup(0); i < len(blocks) && x.extendMatches(now, blocks[i], i, found[:count]); i = nextLookup(i) {
		continue
	}
	for i := range found[:count] {
		found[i].Blocks *= found[i].weight
	}
	return count
}

// findFirst finds the engines that have the first block.
func (x *Index) findFirst(now time.Time, block uint64, found *[MaxMatches]Match) int {
	count := 0
	bucket := x.bucket(block)
	for i := range bucket {
		stored := bucket[i].Load()
		if stored == 0 || stored>>tagShift != block>>tagShift {
			continue
		}
		weight := confidence(age(now, stored))
		if weight == 0 {
			continue
		}
		found[count] = Match{
			Engine: uint32(stored >> stampBits & engineMask),
			Blocks: 1,
			weight: weight,
		}
		count++
	}
	return count
}

// extendMatches extends the matches by the block at an index; it reports whether any of them
// may still grow.
func (x *Index) extendMatches(now time.Time, block uint64, index int, matches []Match) bool {
	more := false
	bucket := x.bucket(block)
	for m := range matches {
		match := &matches[m]
		if match.missing > maxMissing {
			continue
		}
		match.missing++
		for i := range bucket {
			stored := bucket[i].Load()
			if stored>>tagShift != block>>tagShift || uint32(stored>>stampBits&engineMask) != match.Engine {
				continue
			}
			if weight := confidence(age(now, stored)); weight > 0 {
				match.missing = 0
				match.Blocks = float64(index + 1)
				match.weight = min(match.weight, weight)
			}
			break
		}
		more = more || match.missing <= maxMissing
	}
	return more
}

// Tokens returns the number of cached tokens, given the size of a block.
func (m *Match) Tokens(perBlock units.Tokens) float64 { return m.Blocks * float64(perBlock) }

// IsEngine reports whether the match is for the engine with this number.
func (m *Match) IsEngine(number uint32) bool { return m.Engine == number&engineMask }

func (x *Index) bucket(block uint64) []atomic.Uint64 {
	at := (block & x.mask) * bucketSize
	return x.entries[at : at+bucketSize]
}

func tag(block uint64) uint64 { return block >> tagShift << tagShift }

func stamp(now time.Time) uint64 { return uint64(now.UnixNano()/int64(stampUnit)) & stampMask }

// age returns the age of an entry in stamp units.
func age(now time.Time, entry uint64) int64 {
	return int64((stamp(now) - entry) & stampMask)
}

// confidences holds the weight of an entry by its age, so that a lookup computes no
// exponential.
var confidences = func() (table [int(entryTTL / stampUnit)]float64) {
	for i := range table {
		table[i] = math.Exp2(-float64(i) * float64(stampUnit) / float64(halfLife))
	}
	return table
}()

func confidence(age int64) float64 {
	if age >= int64(len(confidences)) {
		return 0
	}
	return confidences[age]
}
