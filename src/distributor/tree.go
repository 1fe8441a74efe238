package distributor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// fanOut is the most entries that report to one relay.
	fanOut = 16
	// relayTries is how many relays an entry tries before it asks control itself.
	relayTries = 2
)

// Relays returns the entries that one entry reports to, in the order to try
// them. It returns none for a relay and for an entry that the view does not
// hold: these report to control. Every entry with the same view reaches the same
// result, so that no one assigns the relays.
func Relays(view *messages.EntryView, self units.Instance) []*messages.EntryMember {
	centre := dataCentreOf(view, self)
	var members []*messages.EntryMember
	for _, member := range view.GetMembers() {
		if centre != "" && member.GetDataCentre() == centre {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b *messages.EntryMember) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.GetEntry()), xxhash.Sum64String(b.GetEntry())),
			cmp.Compare(a.GetEntry(), b.GetEntry()),
		)
	})
	count := (len(members) + fanOut) / (fanOut + 1)
	rank := slices.IndexFunc(members, func(member *messages.EntryMember) bool {
		return member.GetEntry() == string(self)
	})
	if rank < count {
		return nil
	}
	var relays []*messages.EntryMember
	for i := range min(count, relayTries) {
		relays = append(relays, members[(rank+i)%count])
	}
	return relays
}

func dataCentreOf(view *messages.EntryView, self units.Instance) string {
	for _, member := range view.GetMembers() {
		if member.GetEntry() == string(self) {
			return member.GetDataCentre()
		}
	}
	return ""
}
