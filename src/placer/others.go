package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/units"
)

// Hash names an upstream in lists of loads.
type Hash uint64

// HashOf returns the hash of an upstream's name.
func HashOf(name units.Upstream) Hash { return Hash(xxhash.Sum64String(string(name))) }

// UnderWay is what is under way at an upstream.
type UnderWay struct {
	Calls int64
	// Prefill is how many prompt tokens wait to be read.
	Prefill int64
}

// Others is what other entries have under way, as of one moment.
type Others struct {
	At    time.Time
	Loads map[Hash]UnderWay
}

// Less returns the loads without a part of them, such as an entry's own.
func Less(loads, part map[Hash]UnderWay) map[Hash]UnderWay {
	rest := make(map[Hash]UnderWay, len(loads))
	for hash, load := range loads {
		load.Calls -= part[hash].Calls
		load.Prefill -= part[hash].Prefill
		if load != (UnderWay{}) {
			rest[hash] = load
		}
	}
	return rest
}

// Busiest returns the most loads that weigh most.
//
// The load it answers: thousands of upstreams are busy, and hundreds of entries ask for
// all of their loads several times a second. Callers need to know which ones to keep away
// from; the others are compared by what they state in their own answers.
func Busiest(loads map[Hash]UnderWay, most int) map[Hash]UnderWay {
	if len(loads) <= most {
		return loads
	}
	hashes := slices.SortedFunc(maps.Keys(loads), func(a, b Hash) int {
		return cmp.Or(cmp.Compare(loads[b].weight(), loads[a].weight()), cmp.Compare(a, b))
	})
	busiest := make(map[Hash]UnderWay, most)
	for _, hash := range hashes[:most] {
		busiest[hash] = loads[hash]
	}
	return busiest
}

// weight ranks loads of upstreams whose number of places is not known.
func (u UnderWay) weight() float64 {
	return float64(u.Calls)/defaultSlots + float64(u.Prefill)/tokensEach
}

// Report numbers what an entry says of itself, in the order in which it says it.
type Report uint64

// Sum adds up what entries have under way; it is a state machine without a clock.
//
// All entries get the same total and take out their own part themselves, so that one
// message serves a whole fleet.
type Sum struct {
	entries map[units.Instance]*summed
	total   map[Hash]UnderWay
	// frozen counts how often a total was taken.
	frozen uint64
}

// summed is one entry's part of the total.
type summed struct {
	loads  map[Hash]UnderWay
	report Report
	// frozen is how often a total had been taken at the last report, before the report
	// that was in the last of them.
	frozen uint64
	before Report
}

// Hear takes what an entry has under way now.
func (s *Sum) Hear(entry units.Instance, report Report, loads map[Hash]UnderWay) {
	if s.entries == nil {
		s.entries = make(map[units.Instance]*summed)
		s.total = make(map[Hash]UnderWay)
	}
	e := s.entries[entry]
	if e == nil {
		e = &summed{frozen: s.frozen}
		s.entries[entry] = e
	}
	if e.frozen < s.frozen {
		e.before = e.report
		e.frozen = s.frozen
	}
	s.add(e.loads, -1)
	s.add(loads, 1)
	e.report = report
	e.loads = loads
}

func (s *Sum) add(loads map[Hash]UnderWay, sign int64) {
	for hash, load := range loads {
		sum := s.total[hash]
		sum.Calls += sign * load.Calls
		sum.Prefill += sign * load.Prefill
		if sum == (UnderWay{}) {
			delete(s.total, hash)
			continue
		}
		s.total[hash] = sum
	}
}

// Freeze returns what the entries that are still there have under way now.
func (s *Sum) Freeze(there func(units.Instance) bool) map[Hash]UnderWay {
	for entry, e := range s.entries {
		if !there(entry) {
			s.add(e.loads, -1)
			delete(s.entries, entry)
		}
	}
	s.frozen++
	return maps.Clone(s.total)
}

// Total returns what all entries that were heard have under way now; the caller must not
// keep it.
func (s *Sum) Total() map[Hash]UnderWay { return s.total }

// Counted returns which report of an entry is in the total that was taken last, 0
// for none.
func (s *Sum) Counted(entry units.Instance) Report {
	e := s.entries[entry]
	switch {
	case e == nil:
		return 0
	case e.frozen < s.frozen:
		return e.report
	}
	return e.before
}
