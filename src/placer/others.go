package placer

import (
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

// Sum adds up what entries have under way; it is a state machine without a clock.
type Sum struct {
	entries map[units.Instance]map[Hash]UnderWay
	total   map[Hash]UnderWay
}

// Hear takes what an entry has under way now, nil for an entry that is gone.
func (s *Sum) Hear(entry units.Instance, loads map[Hash]UnderWay) {
	if s.entries == nil {
		s.entries = make(map[units.Instance]map[Hash]UnderWay)
		s.total = make(map[Hash]UnderWay)
	}
	s.add(s.entries[entry], -1)
	s.add(loads, 1)
	if loads == nil {
		delete(s.entries, entry)
		return
	}
	s.entries[entry] = loads
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

// Entries returns the entries that were heard.
func (s *Sum) Entries() []units.Instance {
	entries := make([]units.Instance, 0, len(s.entries))
	for entry := range s.entries {
		entries = append(entries, entry)
	}
	return entries
}

// But returns what all entries but one have under way.
func (s *Sum) But(entry units.Instance) map[Hash]UnderWay {
	own := s.entries[entry]
	others := make(map[Hash]UnderWay, len(s.total))
	for hash, sum := range s.total {
		sum.Calls -= own[hash].Calls
		sum.Prefill -= own[hash].Prefill
		if sum != (UnderWay{}) {
			others[hash] = sum
		}
	}
	return others
}
