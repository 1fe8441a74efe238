package distributor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxChildren is the maximum number of entries that report to one relay.
	maxChildren = 16
	// maxRelays is the number of relays an entry tries before it contacts control itself.
	maxRelays = 2
)

// Relays returns the entries that one entry reports to, in the order in which to try them. It
// returns none for a relay and for an entry that is not in the view: these report to control.
// Every entry with the same view computes the same result, so the relays need not be assigned.
func Relays(view *messages.EntryView, self units.Instance) []*messages.EntryMember {
	dataCentre := dataCentreOf(view, self)
	var members []*messages.EntryMember
	for _, member := range view.GetMembers() {
		if dataCentre != "" && member.GetDataCentre() == dataCentre {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b *messages.EntryMember) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.GetEntry()), xxhash.Sum64String(b.GetEntry())),
			cmp.Compare(a.GetEntry(), b.GetEntry()),
		)
	})
	relayCount := (len(members) + maxChildren) / (maxChildren + 1)
	rank := slices.IndexFunc(members, func(member *messages.EntryMember) bool {
		return member.GetEntry() == string(self)
	})
	if rank < relayCount {
		return nil
	}
	var relays []*messages.EntryMember
	for i := range min(relayCount, maxRelays) {
		relays = append(relays, members[(rank+i)%relayCount])
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
