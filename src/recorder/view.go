package recorder

import (
	"cmp"
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
	for slot := range slots {
		v.owners[slot] = chooseOwners(v.Members, Slot(slot))
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

// chooseOwners ranks the members by rendezvous hashing and takes the first of
// each data centre until there are enough, so that the loss of a data centre
// leaves a majority wherever there are three of them.
func chooseOwners(members []Member, slot Slot) []int16 {
	ranked := make([]int16, len(members))
	weights := make([]uint64, len(members))
	for i, member := range members {
		ranked[i] = int16(i)
		weights[i] = weight(member.Name, slot)
	}
	slices.SortFunc(ranked, func(a, b int16) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(members[a].Name, members[b].Name))
	})
	var chosen, spare []int16
	taken := make(map[units.DataCentre]bool)
	for _, index := range ranked {
		if len(chosen) == ownerCount {
			break
		}
		if taken[members[index].DataCentre] {
			spare = append(spare, index)
			continue
		}
		taken[members[index].DataCentre] = true
		chosen = append(chosen, index)
	}
	missing := min(ownerCount-len(chosen), len(spare))
	return append(chosen, spare[:missing]...)
}

func weight(name units.Instance, slot Slot) uint64 {
	var number [4]byte
	binary.LittleEndian.PutUint32(number[:], uint32(slot))
	digest := xxhash.New()
	_, _ = digest.WriteString(string(name))
	_, _ = digest.Write(number[:])
	return digest.Sum64()
}

// slotOf returns the slot of a key, which is a hash.
func slotOf(key []byte, slots int) Slot {
	return Slot(binary.LittleEndian.Uint32(key) % uint32(slots))
}

// majority returns how many of count owners decide.
func majority(count int) int { return count/2 + 1 }
