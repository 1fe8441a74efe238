package relayer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

func ringEntry(i, dataCentres int) units.Instance {
	return units.Instance(fmt.Sprintf("dc-%d-e-%d", i%dataCentres, i))
}

// newRing returns a ring of entries that have just reported; each data centre is one in every
// dataCentres of them, and those of data centre 0 are partitioned if the test says so.
func newRing(now time.Time, entries, dataCentres int, partitioned bool) *Ring {
	r := &Ring{}
	for i := range entries {
		peer := Peer{
			Name:    ringEntry(i, dataCentres),
			Address: fmt.Sprintf("10.0.0.%d:1", i),
		}
		if partitioned && i%dataCentres == 0 {
			peer.Partitioned = []units.Service{"s"}
		}
		r.Record(now, peer)
	}
	return r
}

// Guards against a few peers that get all calls of a data centre that is partitioned, and against
// partitioned peers where others are left.
func TestPartitionedEntriesAreSpreadOverPeers(t *testing.T) {
	const dataCentres = 6
	now := time.Unix(1000, 0)
	for _, entries := range []int{7, 60, 990} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			r := newRing(now, entries, dataCentres, true)
			assigned := make(map[units.Instance]int)
			for i := 0; i < entries; i += dataCentres {
				name := ringEntry(i, dataCentres)
				peers := r.PeersOf(now, name)
				whole := 0
				for _, p := range peers {
					if p.Name == name {
						t.Fatalf("peers of %s: got the entry itself", name)
					}
					if len(p.Partitioned) == 0 {
						whole++
					}
					assigned[p.Name]++
				}
				if want := min(maxPeers, entries*(dataCentres-1)/dataCentres); whole < want {
					t.Errorf("peers of %s that are not partitioned: got %d, want %d", name, whole, want)
				}
			}
			most := 0
			for _, count := range assigned {
				most = max(most, count)
			}
			// Evenly spread, each of the others would have 1.2 of them.
			if want := maxPeers; most > want {
				t.Errorf("partitioned entries of one peer: got %d, want at most %d", most, want)
			}
		})
	}
}

// Guards against offers to entries that have stopped or have not been heard of.
func TestPeersThatAreGoneAreNotAssigned(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRing(now, 4, 1, false)
	names := func(now time.Time) []units.Instance {
		var found []units.Instance
		for _, p := range r.PeersOf(now, "dc-0-e-0") {
			found = append(found, p.Name)
		}
		slices.Sort(found)
		return found
	}
	r.Remove("dc-0-e-1")
	if got, want := names(now), []units.Instance{"dc-0-e-2", "dc-0-e-3"}; !slices.Equal(got, want) {
		t.Errorf("after one has stopped: got %v, want %v", got, want)
	}
	later := now.Add(memberExpiry + time.Millisecond)
	r.Record(later, Peer{Name: "dc-0-e-0"})
	r.Record(later, Peer{Name: "dc-0-e-3"})
	if got, want := names(later), []units.Instance{"dc-0-e-3"}; !slices.Equal(got, want) {
		t.Errorf("after one reports nothing: got %v, want %v", got, want)
	}
	r.Record(now.Add(memberRetention+2*memberExpiry), Peer{Name: "dc-0-e-0"})
	if got := len(r.members); got != 1 {
		t.Errorf("members that are kept: got %d, want 1", got)
	}
}

// Guards against lists of peers that are sent again with each response, and against changes that
// are not.
func TestVersionChangesWithThePeers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRing(now, 2, 1, false)
	before := VersionOf(r.PeersOf(now, "dc-0-e-0"))
	if got := VersionOf(r.PeersOf(now, "dc-0-e-0")); got != before {
		t.Errorf("without a change: got version %d, want %d", got, before)
	}
	changed := r.PeersOf(now, "dc-0-e-0")[0]
	changed.Partitioned = []units.Service{"s"}
	r.Record(now, changed)
	if got := VersionOf(r.PeersOf(now, "dc-0-e-0")); got == before {
		t.Errorf("after a peer was partitioned: got version %d again, want another", got)
	}
}
