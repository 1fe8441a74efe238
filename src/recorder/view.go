package recorder

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// SlotCount is how many slots the keys are spread over; owners are chosen by slot.
	SlotCount = 1024
	// ownerCount is how many entries hold each record, where there are as many.
	ownerCount = 3
)

// Slot numbers a part of the keys, all of whose records have the same owners.
type Slot uint32

// Identity is one life of an entry; a restarted entry is another one without records.
type Identity struct {
	Name        units.Instance
	Incarnation units.Incarnation
}

// Member is one entry of a view.
type Member struct {
	Identity
	DataCentre units.DataCentre
	Address    string
}

// View is a numbered set of entries; it is not changed once built.
type View struct {
	Number  uint64
	Members []Member

	wire *messages.EntryView
	// owners holds each slot's owners as indexes of members.
	owners [][]int16
}

// NewView returns the view that control has committed, with the owners of each of slots slots.
func NewView(wire *messages.EntryView, slots int) *View {
	v := &View{
		Number: wire.GetNumber(),
		wire:   wire,
		owners: make([][]int16, slots),
	}
	for _, member := range wire.GetMembers() {
		v.Members = append(v.Members, Member{
			Identity: Identity{
				Name:        units.Instance(member.GetEntry()),
				Incarnation: units.Incarnation(member.GetIncarnation()),
			},
			DataCentre: units.DataCentre(member.GetDataCentre()),
			Address:    member.GetPeerAddress(),
		})
	}
	seeds := seedsOf(v.Members)
	for slot := range slots {
		v.owners[slot] = chooseOwners(v.Members, seeds, Slot(slot))
	}
	return v
}

// Owners returns the entries that hold a slot's records.
func (v *View) Owners(slot Slot) []Member {
	owners := make([]Member, 0, ownerCount)
	for _, index := range v.owners[slot] {
		owners = append(owners, v.Members[index])
	}
	return owners
}

// Has reports whether an entry's life belongs to the view.
func (v *View) Has(id Identity) bool { return hasMember(v.Members, id) }

func hasMember(members []Member, id Identity) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Identity == id })
}

// chooseOwners takes the members of the highest weight, each of another data
// centre while there are such, so that the loss of a data centre leaves a majority
// wherever there are three of them.
func chooseOwners(members []Member, seeds []uint64, slot Slot) []int16 {
	chosen := make([]int16, 0, ownerCount)
	for len(chosen) < min(ownerCount, len(members)) {
		next := heaviest(members, seeds, slot, chosen, true)
		if next < 0 {
			next = heaviest(members, seeds, slot, chosen, false)
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// heaviest returns the member of the highest weight that is not chosen yet, nor,
// where apart, in the data centre of one that is; -1 for none.
func heaviest(members []Member, seeds []uint64, slot Slot, chosen []int16, apart bool) int16 {
	spread := mix(uint64(slot))
	best := int16(-1)
	var most uint64
	for i := range members {
		weight := mix(seeds[i] ^ spread)
		if best >= 0 && weight <= most || excluded(members, chosen, int16(i), apart) {
			continue
		}
		best = int16(i)
		most = weight
	}
	return best
}

func excluded(members []Member, chosen []int16, index int16, apart bool) bool {
	for _, other := range chosen {
		if other == index || apart && members[other].DataCentre == members[index].DataCentre {
			return true
		}
	}
	return false
}

// seedsOf returns what each member's weights are made of. The name alone counts, so
// that a restarted entry owns the slots that it owned before.
func seedsOf(members []Member) []uint64 {
	seeds := make([]uint64, len(members))
	for i, member := range members {
		seeds[i] = xxhash.Sum64String(string(member.Name))
	}
	return seeds
}

// mix spreads a number over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// slotOf returns the slot of a key, which is a hash.
func slotOf(key []byte, slots int) Slot {
	return Slot(binary.LittleEndian.Uint32(key) % uint32(slots))
}

// majority returns how many of count owners decide.
func majority(count int) int { return count/2 + 1 }
