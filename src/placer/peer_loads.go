package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/units"
)

// Hash identifies an upstream in lists of loads.
type Hash uint64

// HashOf returns the hash of an upstream's name.
func HashOf(name units.Upstream) Hash { return Hash(xxhash.Sum64String(string(name))) }

// InFlightLoad is the load in flight at an upstream.
type InFlightLoad struct {
	Calls int64
	// PrefillTokens is the number of prompt tokens queued for prefill.
	PrefillTokens int64
	// DeferredTokens is how many of them are of deferred calls.
	DeferredTokens int64
}

// PeerLoads is the load of the other entries at one time.
type PeerLoads struct {
	At    time.Time
	Loads map[Hash]InFlightLoad
}

// SetPeerLoads replaces the load of the other entries.
func (p *Placer) SetPeerLoads(peerLoads *PeerLoads) { p.peerLoads.Store(peerLoads) }

// InFlightLoads returns the load that this entry has in flight at the current upstreams.
func (p *Placer) InFlightLoads() map[Hash]InFlightLoad {
	loads := make(map[Hash]InFlightLoad)
	for _, candidates := range p.Fleet() {
		for _, c := range candidates {
			load := InFlightLoad{
				Calls:          c.Local.InFlight.Load(),
				PrefillTokens:  c.Local.PrefillTokens.Load(),
				DeferredTokens: c.Local.Queue.Deferred(),
			}
			if load != (InFlightLoad{}) {
				loads[c.hash] = load
			}
		}
	}
	return loads
}

// Subtract subtracts loads, such as an entry's own, from a total.
func Subtract(loads, own map[Hash]InFlightLoad) map[Hash]InFlightLoad {
	rest := make(map[Hash]InFlightLoad, len(loads))
	for hash, load := range loads {
		load.Calls -= own[hash].Calls
		load.PrefillTokens -= own[hash].PrefillTokens
		// A leader of an earlier version leaves the deferred tokens out of the total.
		load.DeferredTokens = max(0, load.DeferredTokens-own[hash].DeferredTokens)
		if load != (InFlightLoad{}) {
			rest[hash] = load
		}
	}
	return rest
}

// Busiest returns the limit highest loads.
//
// Thousands of upstreams are busy, and hundreds of entries ask for their loads several
// times a second. Entries need to know which upstreams to avoid; the others are compared
// by the load that they report in their own answers.
func Busiest(loads map[Hash]InFlightLoad, limit int) map[Hash]InFlightLoad {
	if len(loads) <= limit {
		return loads
	}
	hashes := slices.SortedFunc(maps.Keys(loads), func(a, b Hash) int {
		return cmp.Or(cmp.Compare(loads[b].weight(), loads[a].weight()), cmp.Compare(a, b))
	})
	busiest := make(map[Hash]InFlightLoad, limit)
	for _, hash := range hashes[:limit] {
		busiest[hash] = loads[hash]
	}
	return busiest
}

// weight ranks loads without the upstreams' numbers of slots, which are not known here.
func (l InFlightLoad) weight() float64 {
	return float64(l.Calls)/defaultSlots + float64(l.PrefillTokens)/fullPrefillTokens
}

// ReportNumber is the sequence number of an entry's load report.
type ReportNumber uint64

// LoadSum adds up the loads that entries report; it is a state machine without a clock.
//
// All entries receive the same total and subtract their own load themselves, so that one
// message serves all entries.
type LoadSum struct {
	entries map[units.Instance]*contribution
	total   map[Hash]InFlightLoad
	// generation counts the totals taken.
	generation uint64
}

// contribution is one entry's load within the total.
type contribution struct {
	loads  map[Hash]InFlightLoad
	report ReportNumber
	// generation is the number of totals taken before the last report, and previousReport
	// the report that the last of these totals included.
	generation     uint64
	previousReport ReportNumber
}

// Record replaces an entry's load by that of its latest report.
func (s *LoadSum) Record(entry units.Instance, report ReportNumber, loads map[Hash]InFlightLoad) {
	if s.entries == nil {
		s.entries = make(map[units.Instance]*contribution)
		s.total = make(map[Hash]InFlightLoad)
	}
	e := s.entries[entry]
	if e == nil {
		e = &contribution{generation: s.generation}
		s.entries[entry] = e
	}
	if e.generation < s.generation {
		e.previousReport = e.report
		e.generation = s.generation
	}
	s.add(e.loads, -1)
	s.add(loads, 1)
	e.report = report
	e.loads = loads
}

func (s *LoadSum) add(loads map[Hash]InFlightLoad, sign int64) {
	for hash, load := range loads {
		sum := s.total[hash]
		sum.Calls += sign * load.Calls
		sum.PrefillTokens += sign * load.PrefillTokens
		sum.DeferredTokens += sign * load.DeferredTokens
		if sum == (InFlightLoad{}) {
			delete(s.total, hash)
			continue
		}
		s.total[hash] = sum
	}
}

// TakeTotal takes a total of the entries that are still members, and drops the others.
func (s *LoadSum) TakeTotal(isMember func(units.Instance) bool) map[Hash]InFlightLoad {
	for entry, e := range s.entries {
		if !isMember(entry) {
			s.add(e.loads, -1)
			delete(s.entries, entry)
		}
	}
	s.generation++
	return maps.Clone(s.total)
}

// Total returns the current total of all entries that have reported. The caller must not
// keep it.
func (s *LoadSum) Total() map[Hash]InFlightLoad { return s.total }

// LastCounted returns which report of an entry the last total taken includes, 0 for none.
func (s *LoadSum) LastCounted(entry units.Instance) ReportNumber {
	e := s.entries[entry]
	switch {
	case e == nil:
		return 0
	case e.generation < s.generation:
		return e.report
	}
	return e.previousReport
}
