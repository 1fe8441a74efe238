package recorder

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// SlotCount is the number of hash slots of the keys; owners are chosen for each slot.
	SlotCount = 1024
	// ownerCount is how many entries hold each record, if the view has as many.
	ownerCount = 3
)

// Slot is the number of a hash slot: a fixed subset of the keys, whose records all have the
// same owners.
type Slot uint32

// Identity is one incarnation of an entry; a restarted entry has a new one and no records.
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

// View is a numbered, immutable set of entries.
type View struct {
	Number  uint64
	Members []Member

	wire *messages.EntryView
	// owners holds each slot's owners as indexes into Members.
	owners [][]int16
}

// NewView builds a view that control has committed and chooses the owners of its slots.
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

// Has reports whether an incarnation of an entry is a member of the view.
func (v *View) Has(id Identity) bool { return hasMember(v.Members, id) }

func hasMember(members []Member, id Identity) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Identity == id })
}

// chooseOwners chooses the members with the highest weights for the slot (rendezvous
// hashing), each from a different data centre as far as possible. With members in three
// data centres, a majority survives the loss of one.
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

// heaviest returns the member with the highest weight that is not yet chosen and, if
// distinctDataCentre is set, not in the data centre of a chosen one; -1 for none.
func heaviest(members []Member, seeds []uint64, slot Slot, chosen []int16, distinctDataCentre bool) int16 {
	slotHash := mix(uint64(slot))
	best := int16(-1)
	var maxWeight uint64
	for i := range members {
		weight := mix(seeds[i] ^ slotHash)
		if best >= 0 && weight <= maxWeight || excluded(members, chosen, int16(i), distinctDataCentre) {
			continue
		}
		best = int16(i)
		maxWeight = weight
	}
	return best
}

func excluded(members []Member, chosen []int16, index int16, distinctDataCentre bool) bool {
	for _, other := range chosen {
		if other == index || distinctDataCentre && members[other].DataCentre == members[index].DataCentre {
			return true
		}
	}
	return false
}

// seedsOf returns a seed for the weights of each member. It depends only on the name, so
// that a restarted entry owns the same slots as before.
func seedsOf(members []Member) []uint64 {
	seeds := make([]uint64, len(members))
	for i, member := range members {
		seeds[i] = xxhash.Sum64String(string(member.Name))
	}
	return seeds
}

// mix is the finalizer of SplitMix64.
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

// majority returns how many of count owners are a majority.
func majority(count int) int { return count/2 + 1 }
