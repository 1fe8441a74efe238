package locator

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// ways is how many engines the index knows for blocks of one bucket.
	ways       = 8
	holderBits = 20
	stampBits  = 20
	tagShift   = holderBits + stampBits
	holderMask = 1<<holderBits - 1
	stampMask  = 1<<stampBits - 1
	stampUnit  = 250 * time.Millisecond
	// halfLife is when an entry that nothing renewed counts half.
	halfLife = 30 * time.Second
	// forgetAfter is when it counts nothing.
	forgetAfter = 4 * time.Minute
	// Every block up to dense is looked up, and then every sparse-th, so that a
	// long prompt costs little more than a short one.
	dense  = 16
	sparse = 4
	// maxMissing is how many looked-up blocks in a row an engine may lack; a gap
	// in its events must not hide what stands behind.
	maxMissing = 1
)

// MaxMatches bounds the engines found for one prompt.
const MaxMatches = ways

// Match says how much of a prompt one engine is likely to have cached.
type Match struct {
	Holder uint32
	// Blocks is the expected count of leading blocks.
	Blocks float64
	missed int
	weight float64
}

// Index is a table of fixed size that is read and written without locks; an
// entry that is overwritten is a lost event, which the index stands anyway.
type Index struct {
	slots []atomic.Uint64
	mask  uint64
}

// New returns an index of 2^bits buckets.
func New(bits int) *Index {
	return &Index{
		slots: make([]atomic.Uint64, ways<<bits),
		mask:  1<<bits - 1,
	}
}

// Add notes that an engine has the blocks of a prompt cached.
func (x *Index) Add(now time.Time, holder uint32, blocks []uint64) {
	for i := 0; i < len(blocks); i = following(i) {
		x.Put(now, holder, blocks[i])
	}
}

// following returns the index of the next block that is looked up.
func following(i int) int {
	if i < dense {
		return i + 1
	}
	return i + sparse
}

// Put notes that an engine has one block cached.
func (x *Index) Put(now time.Time, holder uint32, block uint64) {
	bucket := x.bucket(block)
	entry := tag(block) | uint64(holder&holderMask)<<stampBits | stamp(now)
	oldest, oldestAge := 0, int64(-1)
	for i := range bucket {
		known := bucket[i].Load()
		if known == 0 || known>>stampBits == entry>>stampBits {
			bucket[i].Store(entry)
			return
		}
		if age := age(now, known); age > oldestAge {
			oldest, oldestAge = i, age
		}
	}
	bucket[oldest].Store(entry)
}

// Remove notes that an engine gave a block up; it returns how long ago the block
// was last noted there, and whether it was.
func (x *Index) Remove(now time.Time, holder uint32, block uint64) (unused time.Duration, known bool) {
	bucket := x.bucket(block)
	entry := tag(block) | uint64(holder&holderMask)<<stampBits
	for i := range bucket {
		held := bucket[i].Load()
		if held == 0 || held>>stampBits != entry>>stampBits {
			continue
		}
		bucket[i].CompareAndSwap(held, 0)
		return time.Duration(age(now, held)) * stampUnit, true
	}
	return 0, false
}

// Find writes the engines that have the beginning of a prompt cached to found
// and returns how many there are.
func (x *Index) Find(now time.Time, blocks []uint64, found *[MaxMatches]Match) int {
	if len(blocks) == 0 {
		return 0
	}
	count := x.first(now, blocks[0], found)
	for i := following(0); i < len(blocks) && x.extend(now, blocks[i], i, found[:count]); i = following(i) {
		continue
	}
	for i := range found[:count] {
		found[i].Blocks *= found[i].weight
	}
	return count
}

// first finds the engines that have the first block.
func (x *Index) first(now time.Time, block uint64, found *[MaxMatches]Match) int {
	count := 0
	bucket := x.bucket(block)
	for i := range bucket {
		known := bucket[i].Load()
		if known == 0 || known>>tagShift != block>>tagShift {
			continue
		}
		weight := confidence(age(now, known))
		if weight == 0 {
			continue
		}
		found[count] = Match{
			Holder: uint32(known >> stampBits & holderMask),
			Blocks: 1,
			weight: weight,
		}
		count++
	}
	return count
}

// extend takes up who has the block at an index; it reports whether anyone may have more.
func (x *Index) extend(now time.Time, block uint64, index int, matches []Match) bool {
	going := false
	bucket := x.bucket(block)
	for m := range matches {
		match := &matches[m]
		if match.missed > maxMissing {
			continue
		}
		match.missed++
		for i := range bucket {
			known := bucket[i].Load()
			if known>>tagShift != block>>tagShift || uint32(known>>stampBits&holderMask) != match.Holder {
				continue
			}
			if weight := confidence(age(now, known)); weight > 0 {
				match.missed = 0
				match.Blocks = float64(index + 1)
				match.weight = min(match.weight, weight)
			}
			break
		}
		going = going || match.missed <= maxMissing
	}
	return going
}

// Tokens returns the tokens that a match stands for, by the size of a block.
func (m *Match) Tokens(perBlock units.Tokens) float64 { return m.Blocks * float64(perBlock) }

// Is reports whether the match is of the engine with a number.
func (m *Match) Is(number uint32) bool { return m.Holder == number&holderMask }

func (x *Index) bucket(block uint64) []atomic.Uint64 {
	at := (block & x.mask) * ways
	return x.slots[at : at+ways]
}

func tag(block uint64) uint64 { return block >> tagShift << tagShift }

func stamp(now time.Time) uint64 { return uint64(now.UnixNano()/int64(stampUnit)) & stampMask }

// age returns the age of an entry in stamp units.
func age(now time.Time, entry uint64) int64 {
	return int64((stamp(now) - entry) & stampMask)
}

// confidences holds the weight of an entry by its age, so that a lookup draws no exponent.
var confidences = func() (table [int(forgetAfter / stampUnit)]float64) {
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
